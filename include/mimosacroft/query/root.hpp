// The root of queries: admits a caller's request, pins the epoch, has the
// shards asked for, and decides the answer.
#ifndef MIMOSACROFT_QUERY_ROOT_HPP
#define MIMOSACROFT_QUERY_ROOT_HPP

#include "mimosacroft/query/scatter.hpp"
#include "mimosacroft/query/search.hpp"

#include <map>

namespace mimosacroft::query
{

class root
{
public:
    root(const fleet::agent& fleet, query::scatter& scatter);

    /// Admits a request. Its answer comes by take_answers().
    void start(search_request request, base::instant now, core::effects& out);

    /// Takes the result of a scatter job; false if the job is not a root's.
    bool on_scattered(scatter_result& result, base::instant now,
                      core::effects& out);

    /// Queries without an answer yet.
    std::size_t open() const { return open_.size(); }

    std::vector<search_answer> take_answers();

private:
    struct open_query
    {
        search_request request;
        search_answer answer; ///< filled as far as known
        std::vector<wire::shard_task> tasks;
        base::instant started;
    };

    void reject(const search_request& request, std::string why);
    std::vector<wire::shard_task> tasks_of(const model::search& search,
                                           const model::index& index,
                                           const search_request& request) const;

    const fleet::agent& fleet_;
    query::scatter& scatter_;
    std::uint64_t last_query_ = 0;
    std::map<std::uint64_t, open_query> open_; ///< by scatter job
    std::vector<search_answer> answers_;
};

} // namespace mimosacroft::query

#endif
