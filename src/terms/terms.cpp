#include "terms/terms.hpp"

#include <algorithm>

namespace pineridge {

namespace {

Method read_method(const json &from) {
    Method method{};
    method.repeat = word<Repeat>(from, "repeat",
                                 {{"read_like", Repeat::idempotent},
                                  {"idempotency_key", Repeat::tokened},
                                  {"non_idempotent", Repeat::non_idempotent}});
    method.group =
        word<Group>(from, "group", {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    method.soft_deadline = ticks(from, "aim");
    method.window = ticks(from, "window");
    method.utility = number(from, "worth");
    method.stream = flag(from, "stream");
    return method;
}

Rollout read_rollout(const json &from) {
    Rollout rollout{};
    rollout.advance = word<Advance>(from, "control",
                                    {{"first_voice", Advance::any_vote},
                                     {"by_count", Advance::share_of_votes},
                                     {"automatic", Advance::timer}});
    rollout.replaces = word<bool>(from, "swap", {{"parallel", false}, {"replace", true}});
    rollout.cap_by_method = word<bool>(from, "capScope", {{"all", false}, {"each_class", true}});
    rollout.keys_stay = flag(from, "keysStay");
    rollout.warm_keys = mark(from, "warmKeys");
    rollout.guarded_stages = whole(from, "guardedStages");
    rollout.on_votes = whole(from, "toAdvance");
    rollout.free_picks = number(from, "uncounted");
    rollout.flag_share = number(from, "flagShare");
    rollout.window = ticks(from, "window");
    rollout.vote_life = ticks(from, "voteTtl");
    if (has(from, "voteAllowance")) rollout.votes_per_s = number(from, "voteAllowance");
    if (rollout.votes_per_s < 0) wrong("voteAllowance", "below 0");
    rollout.places = numbers(from, "rings");
    rollout.caps = numbers(from, "stageCap");
    if (rollout.places.empty()) wrong("rings", "empty");
    if (rollout.caps.empty()) wrong("stageCap", "empty");
    return rollout;
}

} // namespace

Terms read_terms(const json &profile) {
    Terms terms{};
    const json &allowed = need(profile, "permissions");
    const json &rules = need(profile, "rules");
    terms.instances = std::max(1, whole(profile, "instances"));
    if (has(profile, "ordinal")) terms.ordinal = place(profile, "ordinal", terms.instances);
    terms.list_by_asking = word<bool>(profile, "membershipMode", {{"push", false}, {"ask", true}});
    terms.may_cut = flag(allowed, "cancel");
    terms.peers = flag(allowed, "peers");
    terms.second_copies = flag(allowed, "secondCopies");
    terms.advise_pause = flag(allowed, "retryAfter");
    terms.max_picks = whole(allowed, "maxAttempts");
    terms.max_pause = ticks(allowed, "maxRetryAfter");
    if (has(allowed, "keepalive")) terms.keepalive = ticks(allowed, "keepalive");
    if (terms.keepalive < 0) wrong("keepalive", "below 0");
    terms.utility_by_work = word<bool>(profile, "valueBy", {{"request", false}, {"work", true}});
    terms.cold_for = ticks(rules, "warmUp");
    terms.overload_for = ticks(rules, "overloadFor");
    terms.cold_share = number(rules, "coldShare");
    terms.overload_multiple = number(rules, "tipMultiple");
    for (const json &method : list(profile, "classes")) terms.methods.push_back(read_method(method));
    if (terms.methods.empty()) wrong("classes", "empty");
    if (has(profile, "tenants"))
        for (const json &tenant : list(profile, "tenants"))
            terms.tenant_quotas.push_back(has(tenant, "quotaPerS") ? number(tenant, "quotaPerS") : 0);
    const json &fields = need(profile, "report");
    if (has(fields, "fields"))
        for (const json &name : list(fields, "fields"))
            terms.report_fields.push_back(name.is_string() ? name.get<std::string>() : "");
    terms.rollout = read_rollout(need(profile, "familyInfo"));
    return terms;
}

} // namespace pineridge
