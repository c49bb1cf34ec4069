// A server for the soak.
#include "standin_server.hpp"

#include "../support/loopback.hpp"

#include <memory>

namespace mimosacroft::tests
{

namespace
{

using base::milliseconds;

constexpr milliseconds work_time{5};
constexpr milliseconds slow_work_time{400};
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;

} // namespace

standin_server::standin_server(http::asio::io_context& io, ledger& seen,
                               gateway::server_entry entry,
                               const http::tcp::endpoint& at,
                               const http::tcp::endpoint& link)
    : io_(io), seen_(seen), entry_(std::move(entry)),
      server_(io, at,
              {.on_request = [this](auto number, auto&& message)
               { on_request(number, message); },
               .on_leave = [](auto) {}}),
      link_(io, link, at)
{
    entry_.address = text_of(link);
}

void standin_server::set_leaving(bool leaving)
{
    // It comes back as a new incarnation.
    if (entry_.leaving && !leaving)
        ++entry_.started_at;
    entry_.leaving = leaving;
}

std::string standin_server::replace()
{
    auto old = entry_.id;
    entry_.id += "x";
    entry_.started_at += ++replaced_;
    return old;
}

void standin_server::on_request(http::request_number number,
                                const http::request& message)
{
    const auto question = decode_received_request(message);
    if (question.expected_server != entry_.id)
    {
        server_.answer(number,
                       make_not_executed_reply(question, status_misdirected));
        return;
    }
    const bool runs = !rejects_next();
    seen_.arrivals.push_back(
        {base::now(), question.id, entry_.service, entry_.id, runs});
    if (!runs)
    {
        auto reply = make_not_executed_reply(question, status_unavailable);
        if (mode_ == server_mode::refuses)
            state_pause(reply, soak_pause);
        answer(number, std::move(reply));
    }
    else if (mode_ == server_mode::fails)
        answer(number, make_failure_reply(question));
    else if (mode_ != server_mode::is_dark)
        finish(number, question);
}

bool standin_server::rejects_next()
{
    if (mode_ == server_mode::sheds)
        return ++shed_requests_ % 2 == 0;
    return mode_ == server_mode::refuses;
}

void standin_server::answer(http::request_number number, http::response reply)
{
    if (limit_ > 0)
        state_limit(reply, limit_);
    if (entry_.leaving)
        state_leaving(reply);
    server_.answer(number, reply);
}

void standin_server::finish(http::request_number number,
                            const received_request& question)
{
    const bool is_shard = entry_.service.starts_with("shard");
    const auto signature = signature_of(entry_.id, question.id, entry_.service);
    seen_.issued.insert(signature);
    const auto reply = make_success_reply(question, signature,
                                          is_shard ? records_of(entry_.service)
                                                   : body_of(question.id));
    const auto timer = std::make_shared<http::asio::steady_timer>(
        io_, mode_ == server_mode::is_slow ? slow_work_time : work_time);
    timer->async_wait([this, number, reply, timer](const http::error_code&)
                      { answer(number, reply); });
}

} // namespace mimosacroft::tests
