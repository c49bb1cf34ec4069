// The faults of a soak.
#include "faults.hpp"

#include "mimosacroft/base/names.hpp"

#include <array>

namespace mimosacroft::tests
{

enum class fault_kind
{
    kill_vm,
    stop_vm,
    pause_vm,
    signal_settings,
    silent_settings,
    store_fails,
    history_forgotten,
    store_link_fails,
    peer_link_fails,
    server_link_fails,
    server_fails,
    server_replaced,
    server_leaves,
    configuration_changes,
    store_restored,
    server_limits,
    server_repeats
};

} // namespace mimosacroft::tests

template <>
struct mimosacroft::base::enum_names<mimosacroft::tests::fault_kind>
{
    static constexpr std::array<std::string_view, 17> table = {
        "kill_vm",           "stop_vm",
        "pause_vm",          "signal_settings",
        "silent_settings",   "store_fails",
        "history_forgotten", "store_link_fails",
        "peer_link_fails",   "server_link_fails",
        "server_fails",      "server_replaced",
        "server_leaves",     "configuration_changes",
        "store_restored",    "server_limits",
        "server_repeats"};
};

template <>
struct mimosacroft::base::enum_names<mimosacroft::tests::link_mode>
{
    static constexpr std::array<std::string_view, 7> table = {
        "passes",     "delays",   "resets", "is_silent",
        "loses_back", "corrupts", "repeats"};
};

template <>
struct mimosacroft::base::enum_names<mimosacroft::tests::store_mode>
{
    static constexpr std::array<std::string_view, 5> table = {
        "serves", "refuses", "limits", "is_silent", "loses_answers"};
};

template <>
struct mimosacroft::base::enum_names<mimosacroft::tests::server_mode>
{
    static constexpr std::array<std::string_view, 6> table = {
        "works", "is_slow", "is_dark", "fails", "refuses", "sheds"};
};

namespace mimosacroft::tests
{

namespace
{

using base::milliseconds;

constexpr milliseconds shortest_fault{300};
constexpr milliseconds longest_pause{2'000};
constexpr milliseconds leaving_time{8'000};
constexpr milliseconds limited_time{9'000};
constexpr milliseconds oldest_copy{4'000};
constexpr milliseconds longest_restore{1'500};

std::size_t draw(std::minstd_rand& random, std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
}

milliseconds draw_time(std::minstd_rand& random, milliseconds most)
{
    std::uniform_int_distribution<milliseconds::rep> time(
        shortest_fault.count(), most.count());
    return milliseconds(time(random));
}

// Half of the time one of the servers that also run what may run once only;
// they are listed last.
std::size_t draw_server(const world& in, std::minstd_rand& random)
{
    constexpr std::size_t single_servers = 3;
    const auto n = in.servers();
    return draw(random, 2) == 0 ? draw(random, n)
                                : n - 1 - draw(random, single_servers);
}

/// Any mode but the first, which is the healthy one.
template <typename Mode>
Mode draw_harm(std::minstd_rand& random)
{
    constexpr auto n = base::enum_names<Mode>::table.size();
    return static_cast<Mode>(1 + draw(random, n - 1));
}

template <typename Mode>
std::string text_of(Mode mode, milliseconds length)
{
    return " " + std::string(base::name_of(mode)) + " for " +
           std::to_string(length.count()) + " ms";
}

// Bytes come twice only from servers, not from the store or VMs.
link_mode draw_link_harm(std::minstd_rand& random, bool is_server)
{
    auto out = draw_harm<link_mode>(random);
    while (!is_server && out == link_mode::repeats)
        out = draw_harm<link_mode>(random);
    return out;
}

// A server that rejects some requests and sends its answers twice.
std::string repeat_answers(world& in, standin_server& it,
                           std::minstd_rand& random)
{
    const auto length = draw_time(random, longest_fault);
    it.set_mode(server_mode::sheds);
    it.link().set_mode(link_mode::repeats);
    in.after(length,
             [&it]
             {
                 it.set_mode(server_mode::works);
                 it.link().set_mode(link_mode::passes);
             });
    return " for " + std::to_string(length.count()) + " ms";
}

// Harms a link, and mends it after a while.
std::string harm(world& in, proxy& link, std::minstd_rand& random,
                 bool is_trouble)
{
    const auto mode = draw_link_harm(random, !is_trouble);
    const auto length = draw_time(random, longest_fault);
    if (is_trouble)
        in.note_trouble(length);
    link.set_mode(mode);
    in.after(length, [&link] { link.set_mode(link_mode::passes); });
    return text_of(mode, length);
}

std::string fail_store(world& in, std::minstd_rand& random)
{
    const auto mode = draw_harm<store_mode>(random);
    const auto length = draw_time(random, longest_fault);
    in.note_trouble(length);
    in.store().set_mode(mode);
    in.after(length, [&in] { in.store().set_mode(store_mode::serves); });
    return text_of(mode, length);
}

std::string fail_server(world& in, standin_server& it, std::minstd_rand& random)
{
    const auto mode = draw_harm<server_mode>(random);
    const auto length = draw_time(random, longest_fault);
    it.set_mode(mode);
    if (mode == server_mode::refuses)
        in.note_refusing(it, length);
    in.after(length, [&it] { it.set_mode(server_mode::works); });
    return text_of(mode, length);
}

std::string start(world& in, fault_kind kind, std::minstd_rand& random)
{
    const auto vm = draw(random, in.vms());
    const auto server = draw_server(in, random);
    auto at_vm = " " + std::to_string(vm);
    auto at_server = " " + in.server(server).entry().id;
    switch (kind)
    {
    case fault_kind::kill_vm:
        in.kill_vm(vm, draw_time(random, milliseconds(1'000)));
        return at_vm;
    case fault_kind::stop_vm:
        in.stop_vm(vm);
        return at_vm;
    case fault_kind::pause_vm:
        in.pause_vm(vm, draw_time(random, longest_pause));
        return at_vm;
    case fault_kind::signal_settings:
    case fault_kind::silent_settings:
        in.change_settings(vm, kind == fault_kind::signal_settings);
        return at_vm;
    case fault_kind::store_fails:
        return fail_store(in, random);
    case fault_kind::history_forgotten:
        in.store().compact_history();
        return {};
    case fault_kind::store_link_fails:
        return at_vm + harm(in, in.store_link(vm), random, true);
    case fault_kind::peer_link_fails:
        return at_vm + harm(in, in.peer_link(vm), random, true);
    case fault_kind::server_link_fails:
        return at_server + harm(in, in.server(server).link(), random, false);
    case fault_kind::server_fails:
        return at_server + fail_server(in, in.server(server), random);
    case fault_kind::server_replaced:
        in.replace_server(server);
        return at_server;
    case fault_kind::server_leaves:
        in.set_leaving(server, true);
        in.after(leaving_time,
                 [&in, server] { in.set_leaving(server, false); });
        return at_server;
    case fault_kind::configuration_changes:
        in.change_configuration();
        return {};
    case fault_kind::store_restored:
        in.restore_store(draw_time(random, oldest_copy),
                         draw_time(random, longest_restore));
        return {};
    case fault_kind::server_limits:
        in.limit_server(server, limited_time);
        return at_server;
    case fault_kind::server_repeats:
        return at_server + repeat_answers(in, in.server(server), random);
    }
    return {};
}

} // namespace

std::string start_fault(world& in, std::minstd_rand& random)
{
    constexpr auto n = base::enum_names<fault_kind>::table.size();
    const auto kind = static_cast<fault_kind>(draw(random, n));
    return std::string(base::name_of(kind)) + start(in, kind, random);
}

} // namespace mimosacroft::tests
