// Tests of the mutual authentication of peers.
#include "mimosacroft/wire/handshake.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

namespace
{

wire::hello hello_of(const std::string& vm, char nonce)
{
    return {wire::protocol_version, vm, 1, std::string(16, nonce)};
}

// Runs both sides against each other and gives the accepting side's result.
base::result<std::optional<wire::message>> meet(wire::handshake& a,
                                                wire::handshake& b)
{
    auto a_proof = a.receive(b.own());
    auto b_proof = b.receive(a.own());
    if (!a_proof)
        return a_proof;
    if (!b_proof)
        return b_proof;
    const auto first = a.receive(**b_proof);
    return first ? b.receive(**a_proof) : first;
}

} // namespace

TEST_GROUP(handshake){};

TEST(handshake, peers_with_the_same_secret_accept_each_other)
{
    wire::handshake a(wire::link_side::connecting, hello_of("a", 'x'), "s");
    wire::handshake b(wire::link_side::accepting, hello_of("b", 'y'), "s");
    CHECK(meet(a, b).has_value());
    CHECK(a.done());
    CHECK(b.done());
    STRCMP_EQUAL("a", b.peer().vm.c_str());
}

TEST(handshake, refuses_another_fleets_secret)
{
    wire::handshake a(wire::link_side::connecting, hello_of("a", 'x'), "s");
    wire::handshake b(wire::link_side::accepting, hello_of("b", 'y'), "t");
    const auto it = meet(a, b);
    CHECK_FALSE(it.has_value());
    CHECK(it.error().code == base::error_code::unauthorized);
    CHECK_FALSE(a.done() && b.done());
}

TEST(handshake, refuses_another_protocol_version)
{
    wire::handshake a(wire::link_side::accepting, hello_of("a", 'x'), "s");
    auto foreign = hello_of("b", 'y');
    ++foreign.version;
    CHECK_FALSE(a.receive(foreign).has_value());
}

TEST(handshake, refuses_a_reflected_proof)
{
    wire::handshake a(wire::link_side::connecting, hello_of("a", 'x'), "s");
    const auto proof = a.receive(a.own());
    CHECK(proof.has_value());
    CHECK_FALSE(a.receive(**proof).has_value());
}

TEST(handshake, refuses_a_message_before_it_is_done)
{
    wire::handshake a(wire::link_side::accepting, hello_of("a", 'x'), "s");
    CHECK_FALSE(a.receive(wire::digest{}).has_value());
}
