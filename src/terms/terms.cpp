#include "terms/terms.hpp"

#include <algorithm>

namespace pineridge {

namespace {

Method read_method(const json &from) {
    Method method{};
    method.repeat_policy = word<RepeatPolicy>(from, "repeat",
                                              {{"read_like", RepeatPolicy::idempotent},
                                               {"idempotency_key", RepeatPolicy::tokened},
                                               {"non_idempotent", RepeatPolicy::non_idempotent}});
    method.token_scope = word<TokenScope>(
        from, "group", {{"all", TokenScope::all}, {"zone", TokenScope::zone}, {"cell", TokenScope::cell}});
    method.soft_deadline = ticks(from, "aim");
    method.token_window = ticks(from, "window");
    method.utility = number(from, "worth");
    method.streams_answer = flag(from, "stream");
    return method;
}

RolloutConfig read_rollout(const json &from) {
    RolloutConfig rollout{};
    rollout.advance_policy = word<AdvancePolicy>(from, "control",
                                                 {{"first_voice", AdvancePolicy::any_vote},
                                                  {"by_count", AdvancePolicy::share_of_votes},
                                                  {"automatic", AdvancePolicy::timer}});
    rollout.replaces_hosts = word<bool>(from, "swap", {{"parallel", false}, {"replace", true}});
    rollout.cap_by_method = word<bool>(from, "capScope", {{"all", false}, {"each_class", true}});
    rollout.sticky_keys = flag(from, "keysStay");
    rollout.key_affinity = mark(from, "warmKeys");
    rollout.guarded_stages = whole(from, "guardedStages");
    rollout.votes_to_advance = whole(from, "toAdvance");
    rollout.picks_above_cap = number(from, "uncounted");
    rollout.flag_share = number(from, "flagShare");
    rollout.exposure_window = ticks(from, "window");
    rollout.vote_lifetime = ticks(from, "voteTtl");
    if (has(from, "voteAllowance")) rollout.votes_per_s = number(from, "voteAllowance");
    if (rollout.votes_per_s < 0) wrong("voteAllowance", "below 0");
    rollout.stage_shares = numbers(from, "rings");
    rollout.stage_caps = numbers(from, "stageCap");
    if (rollout.stage_shares.empty()) wrong("rings", "empty");
    if (rollout.stage_caps.empty()) wrong("stageCap", "empty");
    return rollout;
}

} // namespace

DeploymentConfig read_terms(const json &profile) {
    DeploymentConfig terms{};
    const json &allowed = need(profile, "permissions");
    const json &rules = need(profile, "rules");
    terms.instances = std::max(1, whole(profile, "instances"));
    if (has(profile, "ordinal")) terms.ordinal = place(profile, "ordinal", terms.instances);
    terms.requests_host_list = word<bool>(profile, "membershipMode", {{"push", false}, {"ask", true}});
    terms.may_cancel = flag(allowed, "cancel");
    terms.exchanges_summaries = flag(allowed, "peers");
    terms.second_copies = flag(allowed, "secondCopies");
    terms.advise_retry_after = flag(allowed, "retryAfter");
    terms.max_picks = whole(allowed, "maxAttempts");
    terms.max_retry_after = ticks(allowed, "maxRetryAfter");
    if (has(allowed, "keepalive")) terms.keepalive = ticks(allowed, "keepalive");
    if (terms.keepalive < 0) wrong("keepalive", "below 0");
    terms.utility_per_work = word<bool>(profile, "valueBy", {{"request", false}, {"work", true}});
    terms.warm_up_time = ticks(rules, "warmUp");
    terms.overload_window = ticks(rules, "overloadFor");
    terms.cold_capacity_share = number(rules, "coldShare");
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
