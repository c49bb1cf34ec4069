// Removes claims whose keys are too old to be sent again.
#include "mimosacroft/query/claim_sweeper.hpp"

#include "mimosacroft/base/utc_time.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>

namespace mimosacroft::query
{

namespace
{

std::string objects_path()
{
    return "/v1/objects/" + std::string(dated_claim_kind);
}

// Reads the names and versions of a list; one that can't be read is empty.
std::vector<old_claim> read_list(const std::string& body)
{
    std::vector<old_claim> out;
    const auto in = nlohmann::json::parse(body, nullptr, false);
    if (!in.is_object() || !in.contains("objects") || !in["objects"].is_array())
        return out;
    for (const auto& it : in["objects"])
        if (it.is_object() && it.contains("name") && it["name"].is_string() &&
            it.contains("version") && it["version"].is_number_unsigned())
            out.push_back({it["name"].get<std::string>(),
                           it["version"].get<std::uint64_t>()});
    return out;
}

} // namespace

claim_sweeper::claim_sweeper(claim_sweeper_options options, std::uint64_t seed,
                             call_permit may_call)
    : options_(std::move(options)), random_(seed),
      may_call_(std::move(may_call))
{
}

void claim_sweeper::on_wall_clock(std::int64_t seconds, base::instant now)
{
    wall_s_ = seconds;
    wall_read_ = now;
}

void claim_sweeper::on_claim_won(base::instant now)
{
    const auto most = 4 * static_cast<double>(options_.removed);
    credit_ = std::min(credit_ + options_.removals_per_claim, most);
    const bool idle = call_ == 0 && queue_.empty();
    if (idle && credit_ >= static_cast<double>(options_.removed))
        due_ = std::min(due_, std::max(now, nothing_old_));
}

void claim_sweeper::on_tick(std::size_t members, base::instant now,
                            core::effects& out)
{
    members_ = std::max<std::size_t>(1, members);
    if (!std::exchange(scheduled_, true))
        rest({}, now);
    if (stopped_ || call_ != 0 || now < due_)
        return;
    if (wall_s_ == 0)
        return rest({}, now);
    if (!may_call_(now))
    {
        due_ = now + options_.budget_retry;
        return;
    }
    if (queue_.empty())
        list(now, out);
    else
        remove_next(now, out);
}

base::instant claim_sweeper::next_wakeup() const
{
    return stopped_ || call_ != 0 ? base::never : due_;
}

// Ends in a pause of about as many periods as there are VMs, so that the fleet
// as a whole keeps to one sweep in a period.
void claim_sweeper::rest(base::duration least, base::instant now)
{
    const base::milliseconds all =
        options_.fleet_period * static_cast<long long>(members_);
    std::uniform_int_distribution<long long> pause(all.count() / 2,
                                                   3 * all.count() / 2);
    const base::milliseconds drawn(pause(random_));
    due_ = now + std::max<base::duration>(least, drawn);
}

void claim_sweeper::call(wire::http_request request, base::instant now,
                         core::effects& out)
{
    core::http_call made;
    made.owner = core::call_owner::sweeper;
    made.id = call_ = ++last_call_;
    made.address = options_.platform_address;
    made.deadline = now + options_.call_timeout;
    made.request = std::move(request);
    out.emplace_back(std::move(made));
}

void claim_sweeper::list(base::instant now, core::effects& out)
{
    wire::http_request request;
    request.path = objects_path();
    request.query = "values=no&limit=" + std::to_string(options_.listed);
    call(std::move(request), now, out);
}

void claim_sweeper::remove_next(base::instant now, core::effects& out)
{
    const auto& next = queue_.back();
    wire::http_request request;
    request.method = "DELETE";
    request.path = objects_path() + "/" + next.name;
    request.headers["if-match"] = std::to_string(next.version);
    call(std::move(request), now, out);
}

void claim_sweeper::on_http_reply(std::uint64_t call, const reply_result& reply,
                                  base::instant now, core::effects& out)
{
    if (call != call_)
        return;
    call_ = 0;
    if (queue_.empty())
        on_listed(reply, now, out);
    else
        on_removed(reply, now);
    if (queue_.empty() && removed_ > removed_before_)
        end_sweep(out);
}

bool claim_sweeper::clocks_agree(std::int64_t platform_s, base::instant now,
                                 core::effects& out) const
{
    const auto since =
        std::chrono::duration_cast<base::seconds>(now - wall_read_);
    const auto off = wall_s_ + since.count() - platform_s;
    if (std::abs(off) <= options_.clock_tolerance.count())
        return true;
    out.emplace_back(core::log_event{core::event_id::clock_differs,
                                     {{"peer", options_.platform_address},
                                      {"ahead_s", std::to_string(off)}}});
    return false;
}

void claim_sweeper::on_listed(const reply_result& reply, base::instant now,
                              core::effects& out)
{
    rest({}, now);
    if (!reply || reply->status != wire::status_ok)
        return;
    const auto date =
        base::parse_http_date(wire::header_of(reply->headers, "date"));
    if (!date || !clocks_agree(*date, now, out))
        return;
    auto all = read_list(reply->body);
    // Both clocks agree up to the tolerance, which the lifetime allows for.
    const auto newest_old = *date - claim_lifetime.count();
    const auto is_young = [newest_old](const old_claim& it)
    {
        const auto when = time_of_key(it.name);
        return !when || *when >= newest_old;
    };
    const auto first_young = std::ranges::find_if(all, is_young);
    if (first_young == all.begin())
    {
        const auto when = all.empty() ? std::nullopt : time_of_key(all[0].name);
        const base::seconds wait(when ? *when - newest_old : 0);
        const base::duration most = options_.longest_rest;
        nothing_old_ =
            now + (when ? std::min<base::duration>(wait, most) : most);
        credit_ = 0;
        return rest(nothing_old_ - now, now);
    }
    std::erase_if(all, is_young);
    // Other VMs may be at the same list.
    std::ranges::shuffle(all, random_);
    all.resize(std::min(all.size(), options_.removed));
    queue_ = std::move(all);
    due_ = now;
}

// After any other reply the delete may have taken effect or not; the next
// sweep's list says so.
void claim_sweeper::on_removed(const reply_result& reply, base::instant now)
{
    const bool lost = reply && (reply->status == wire::status_not_found ||
                                reply->status == wire::status_conflict);
    const bool done = reply && reply->status == wire::status_ok;
    if (!lost && !done)
    {
        queue_.clear();
        return rest({}, now);
    }
    removed_ += done ? 1 : 0;
    lost_races_ += lost ? 1 : 0;
    credit_ = std::max(0.0, credit_ - 1);
    queue_.pop_back();
    const bool go_on =
        !queue_.empty() || credit_ >= static_cast<double>(options_.removed);
    if (go_on)
        due_ = now;
    else
        rest({}, now);
}

void claim_sweeper::end_sweep(core::effects& out)
{
    out.emplace_back(
        core::log_event{core::event_id::claims_removed,
                        {{"claims", std::to_string(removed_ - removed_before_)},
                         {"lost_races", std::to_string(lost_races_)}}});
    removed_before_ = removed_;
}

} // namespace mimosacroft::query
