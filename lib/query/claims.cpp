// Claims of idempotency keys in the platform.
#include "mimosacroft/query/claims.hpp"

#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/base/utc_time.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdlib>
#include <utility>

namespace mimosacroft::query
{

namespace
{

// Texts with their lengths before them, so that no two lists are alike.
template <std::size_t N>
std::string digest_of(const std::array<std::string, N>& parts)
{
    std::string all;
    for (const auto& it : parts)
        all += std::to_string(it.size()) + ":" + it;
    return base::sha256_hex(all);
}

// Whether a write may have taken effect although its reply does not say so.
bool is_unclear(const base::result<wire::http_reply>& reply)
{
    return reply ? reply->status >= wire::status_internal_error
                 : reply.error().code != base::error_code::unreachable;
}

bool has_status(const base::result<wire::http_reply>& reply, unsigned status)
{
    return reply && reply->status == status;
}

std::string describe(const base::result<wire::http_reply>& reply)
{
    return reply ? "status " + std::to_string(reply->status)
                 : base::to_string(reply.error());
}

} // namespace

std::string claim_name(const search_request& request)
{
    const auto& key = request.idempotency_key;
    const auto digest = digest_of<3>({request.caller, request.search, key});
    return time_of_key(key) ? std::string(dated_prefix(key)) + digest : digest;
}

std::string claim_fingerprint(const search_request& request)
{
    return digest_of<3>({request.search, request.routing_key, request.body});
}

claims::claims(claims_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed)
{
}

std::uint64_t claims::acquire(claim_request request, base::instant now,
                              core::effects& out)
{
    const auto id = ++last_id_;
    auto& made = open_[id];
    made.record.vm = options_.vm;
    made.record.incarnation = options_.incarnation;
    made.record.nonce = std::to_string(random_()) + "-" +
                        std::to_string(random_()) + "-" + std::to_string(id);
    made.record.fingerprint = request.fingerprint;
    made.record.created_s = request.created_s;
    made.started = now;
    made.deadline = request.deadline;
    made.request = std::move(request);
    // A request that will not run by this VM's clock creates nothing.
    const bool outside = is_outside(made, made.request.created_s);
    enter(id, outside ? step::confirm : step::create, now, out);
    arm(id);
    return id;
}

void claims::record(std::uint64_t id, search_answer answer, base::instant now,
                    core::effects& out)
{
    auto& it = open_.at(id);
    assert(it.step == step::held && "only a won claim is recorded");
    answer.spans.clear();
    it.record.done = true;
    it.record.answer = std::move(answer);
    if (encode_claim(it.record).size() > options_.max_record_bytes)
        it.record.answer.reset();
    it.deadline = now + options_.record_time;
    enter(id, step::record, now, out);
    arm(id);
}

void claims::release(std::uint64_t id, base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    assert(it.step == step::held && "only a won claim is released");
    it.deadline = now + options_.record_time;
    enter(id, step::release, now, out);
    arm(id);
}

void claims::enter(std::uint64_t id, claims::step step, base::instant now,
                   core::effects& out)
{
    auto& it = open_.at(id);
    it.step = step;
    it.pause = options_.first_retry;
    call(id, now, out);
}

void claims::call(std::uint64_t id, base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    core::http_call made;
    made.owner = core::call_owner::claims;
    made.id = ++last_call_;
    made.address = options_.platform_address;
    made.deadline = std::min(now + options_.call_timeout, it.deadline);
    const auto kind = it.request.key_s ? dated_claim_kind : undated_claim_kind;
    made.request.path =
        "/v1/objects/" + std::string(kind) + "/" + it.request.name;
    if (it.step == step::create || it.step == step::record)
    {
        made.request.method = "PUT";
        made.request.body = encode_claim(it.record);
        made.request.headers["content-type"] = "application/json";
    }
    if (it.step == step::release)
        made.request.method = "DELETE";
    if (it.step != step::confirm && it.step != step::find)
        made.request.headers["if-match"] =
            std::to_string(it.step == step::create ? 0 : it.version);
    it.call = made.id;
    calls_[made.id] = id;
    out.emplace_back(std::move(made));
}

void claims::retry(open_claim& it, base::instant now)
{
    it.retry = now + it.pause;
    it.pause = std::min(2 * it.pause, options_.longest_retry);
}

void claims::on_http_reply(std::uint64_t call, const reply_result& reply,
                           base::instant now, core::effects& out)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    const auto id = found->second;
    calls_.erase(found);
    auto& it = open_.at(id);
    it.call = 0;
    if (is_unclear(reply))
        out.emplace_back(core::log_event{core::event_id::claim_unclear,
                                         {{"peer", options_.platform_address},
                                          {"step", "claim"},
                                          {"reason", describe(reply)}}});
    take_reply(id, reply, now, out);
    arm(id);
}

void claims::take_reply(std::uint64_t id, const reply_result& reply,
                        base::instant now, core::effects& out)
{
    switch (open_.at(id).step)
    {
    case step::create:
        return on_created(id, reply, now, out);
    case step::confirm:
        return on_read(id, reply, now, out);
    case step::find:
        return on_found(id, reply, now, out);
    case step::record:
    case step::release:
        return on_written(id, reply, now, out);
    case step::held:
        break;
    }
    assert(false && "a held claim has no open call");
}

void claims::on_created(std::uint64_t id, const reply_result& reply,
                        base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    const auto when = check_key(it, reply, now);
    if (has_status(reply, wire::status_conflict))
    {
        const auto stored = decode_conflict(reply->body);
        return stored ? judge(id, *stored, when, now, out)
                      : enter(id, step::confirm, now, out);
    }
    if (has_status(reply, wire::status_ok))
    {
        it.maybe_created = true;
        const auto version = decode_version(reply->body);
        return version ? win(id, *version, when, now, out)
                       : enter(id, step::confirm, now, out);
    }
    if (is_unclear(reply))
    {
        it.maybe_created = true;
        it.step = step::confirm;
    }
    retry(it, now);
}

void claims::on_read(std::uint64_t id, const reply_result& reply,
                     base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    const auto when = check_key(it, reply, now);
    if (has_status(reply, wire::status_ok))
        if (const auto stored = decode_claim(reply->body))
            return judge(id, *stored, when, now, out);
    if (has_status(reply, wire::status_not_found))
    {
        if (when != key_time::valid)
            return refuse_key(id, when);
        it.step = step::create;
    }
    retry(it, now);
}

bool claims::is_outside(const open_claim& it, std::int64_t clock_s) const
{
    const auto& key_s = it.request.key_s;
    return key_s && std::abs(clock_s - *key_s) > options_.retention.count();
}

std::int64_t claims::own_clock_s(const open_claim& it, base::instant now) const
{
    const auto since =
        std::chrono::duration_cast<base::seconds>(now - it.started);
    return it.request.created_s + since.count();
}

// A claim may have been removed already if its key is old by any clock, so
// that a request runs only if neither this VM's clock nor the platform's, at
// or after the create, says so.
claims::key_time claims::check_key(const open_claim& it,
                                   const reply_result& reply,
                                   base::instant now) const
{
    const auto own_s = own_clock_s(it, now);
    auto platform_s = own_s;
    if (reply)
        platform_s =
            base::parse_http_date(wire::header_of(reply->headers, "date"))
                .value_or(own_s);
    const bool own = is_outside(it, own_s);
    const bool other = is_outside(it, platform_s);
    if (own != other)
        return key_time::disputed;
    return own ? key_time::outside : key_time::valid;
}

void claims::win(std::uint64_t id, std::uint64_t version, key_time when,
                 base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    it.version = version;
    it.step = step::held;
    if (when == key_time::valid)
    {
        decisions_.push_back({id, claim_verdict::won, {}, {}});
        return;
    }
    decisions_.push_back(refusal(id, when));
    release(id, now, out);
}

claim_decision claims::refusal(std::uint64_t id, key_time when) const
{
    if (when == key_time::outside)
        return {id,
                claim_verdict::expired,
                {},
                "idempotency_key: found a time that is more than " +
                    std::to_string(options_.retention.count()) +
                    " s from now, allowed is a newer key"};
    return {id,
            claim_verdict::not_run,
            {},
            "the clocks of this VM and of the platform differ on whether the "
            "idempotency key is too old"};
}

void claims::refuse_key(std::uint64_t id, key_time when)
{
    decisions_.push_back(refusal(id, when));
    close(id);
}

// Decides by the claim that the platform holds.
void claims::judge(std::uint64_t id, const stored_claim& stored, key_time when,
                   base::instant now, core::effects& out)
{
    const auto& it = open_.at(id);
    const auto& held = stored.record;
    if (held.nonce == it.record.nonce)
        return win(id, stored.version, when, now, out);
    if (when == key_time::outside)
        return refuse_key(id, when);
    if (held.fingerprint != it.record.fingerprint)
        return lose(id, claim_verdict::mismatch,
                    "idempotency_key: found a key that was used with another "
                    "request, allowed is a new key for each request");
    // A key without a time is as old as its claim.
    const auto age_s = it.record.created_s - held.created_s;
    if (!it.request.key_s && age_s > options_.retention.count())
        return lose(id, claim_verdict::expired,
                    "idempotency_key: found a key older than " +
                        std::to_string(options_.retention.count()) +
                        " s, allowed is a newer one");
    if (!held.done)
        return lose(id, claim_verdict::unknown,
                    "an earlier request with this idempotency key has no "
                    "recorded result");
    if (!held.answer)
        return lose(id, claim_verdict::unknown,
                    "an earlier request with this idempotency key ran; its "
                    "result was too large to record");
    decisions_.push_back({id, claim_verdict::replay, held.answer, {}});
    close(id);
}

void claims::lose(std::uint64_t id, claim_verdict verdict, std::string why)
{
    decisions_.push_back({id, verdict, {}, std::move(why)});
    close(id);
}

void claims::on_found(std::uint64_t id, const reply_result& reply,
                      base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    // A create that is not there yet may still arrive, so that 404 ends
    // nothing.
    const auto stored = has_status(reply, wire::status_ok)
                            ? decode_claim(reply->body)
                            : base::fail(base::error_code::unavailable,
                                         base::step::claim, "", "no claim");
    if (!stored)
        return retry(it, now);
    if (stored->record.nonce != it.record.nonce)
        return close(id);
    it.version = stored->version;
    enter(id, step::release, now, out);
}

// The write is conditional on the version that this claimant made, so that it
// is safe to repeat: once it took effect, a repeat gets a conflict.
void claims::on_written(std::uint64_t id, const reply_result& reply,
                        base::instant now, core::effects&)
{
    const bool ended = has_status(reply, wire::status_ok) ||
                       has_status(reply, wire::status_conflict) ||
                       has_status(reply, wire::status_not_found);
    if (ended)
        close(id);
    else
        retry(open_.at(id), now);
}

void claims::give_up(std::uint64_t id, base::instant now, core::effects& out)
{
    auto& it = open_.at(id);
    if (it.call != 0)
    {
        out.emplace_back(core::abandon_call{core::call_owner::claims, it.call});
        calls_.erase(std::exchange(it.call, 0));
        it.maybe_created = it.maybe_created || it.step == step::create;
    }
    if (it.step != step::create && it.step != step::confirm)
    {
        out.emplace_back(core::log_event{
            core::event_id::claim_not_recorded,
            {{"claim", it.request.name},
             {"step", it.step == step::record ? "record" : "release"}}});
        return close(id);
    }
    decisions_.push_back({id,
                          claim_verdict::not_run,
                          {},
                          "the platform did not confirm the idempotency key "
                          "before the deadline"});
    if (!it.maybe_created)
        return close(id);
    // The claim may stand although its request never runs.
    it.deadline = now + options_.record_time;
    enter(id, step::find, now, out);
}

void claims::close(std::uint64_t id)
{
    due_.erase({open_.at(id).due, id});
    open_.erase(id);
    closed_.push_back(id);
}

// Notes when an open claim is next to be looked at. To be called when its step,
// call, retry or deadline may have changed.
void claims::arm(std::uint64_t id)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    auto& it = found->second;
    due_.erase({it.due, id});
    it.due = base::never;
    if (it.step == step::held)
        return;
    it.due = it.call == 0 ? std::min(it.retry, it.deadline) : it.deadline;
    due_.emplace(it.due, id);
}

void claims::on_tick(base::instant now, core::effects& out)
{
    std::vector<std::uint64_t> late;
    std::vector<std::uint64_t> due;
    for (const auto& [when, id] : due_)
    {
        if (when > now)
            break;
        (open_.at(id).deadline <= now ? late : due).push_back(id);
    }
    std::ranges::sort(late);
    std::ranges::sort(due);
    for (const auto id : due)
    {
        call(id, now, out);
        arm(id);
    }
    for (const auto id : late)
    {
        give_up(id, now, out);
        arm(id);
    }
}

base::instant claims::next_wakeup() const
{
    return due_.empty() ? base::never : due_.begin()->first;
}

std::vector<claim_decision> claims::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::vector<std::uint64_t> claims::take_closed()
{
    return std::exchange(closed_, {});
}

} // namespace mimosacroft::query
