// Serves other VMs the objects that this one knows, and lets them wait for
// news.
#ifndef MIMOSACROFT_ENTRY_SPREAD_SERVER_HPP
#define MIMOSACROFT_ENTRY_SPREAD_SERVER_HPP

#include "mimosacroft/entry/spread_codec.hpp"
#include "mimosacroft/entry/store_watch.hpp"
#include "mimosacroft/http/server.hpp"

#include <functional>
#include <string>
#include <vector>

namespace mimosacroft::entry
{

class spread_server
{
public:
    using answer_function =
        std::function<void(http::request_number, const http::response&)>;

    /// The watches must outlive this.
    spread_server(std::vector<const store_watch*> watches,
                  answer_function answer);

    /// Answers at once, or when there is news, or when the wait is over.
    void on_request(http::request_number number, const spread_request& request,
                    base::instant now);
    /// The other VM closed its connection.
    void on_leave(http::request_number number);

    /// There may be news of a kind.
    void serve(const std::string& kind, base::instant now);
    /// Answers those whose wait is over.
    void serve_due(base::instant now);

private:
    struct waiter
    {
        http::request_number number = 0;
        spread_request request;
        base::instant due{};
    };

    const store_watch* watch_of(const std::string& kind) const;
    bool try_answer(const waiter& it, base::instant now);

    std::vector<const store_watch*> watches_;
    answer_function answer_;
    std::vector<waiter> waiters_;
};

} // namespace mimosacroft::entry

#endif
