// Serves the store's objects, as this VM knows them, to other VMs. A watch is
// held until there is a change or its wait ends.
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

    /// Answers at once if possible. Otherwise holds the request until there is
    /// something to answer or its wait ends.
    void on_request(http::request_number number, const spread_request& request,
                    base::instant now);
    /// The other VM closed its connection: drops its request.
    void on_leave(http::request_number number);

    /// Answers a held request at once, without objects if there are none yet.
    void give_up(http::request_number number);

    /// Answers held requests for objects of `kind` that can be answered now. To
    /// be called when such objects may have changed.
    void answer_waiting(const std::string& kind, base::instant now);
    /// Answers held requests that can be answered now, among them those whose
    /// wait has ended.
    void answer_due(base::instant now);

private:
    struct pending_request
    {
        http::request_number number = 0;
        spread_request request;
        base::instant answer_by{}; ///< end of the wait
    };

    const store_watch* find_watch(const std::string& kind) const;
    /// Returns whether the request was answered; if not, it is to be held.
    bool try_answer(const pending_request& pending, base::instant now);

    std::vector<const store_watch*> watches_;
    answer_function answer_;
    std::vector<pending_request> pending_;
};

} // namespace mimosacroft::entry

#endif
