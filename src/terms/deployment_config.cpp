#include "terms/deployment_config.hpp"

#include <algorithm>

namespace pineridge {

namespace {

Method read_method(const json &object) {
    Method method{};
    method.repeat_policy = read_enum<RepeatPolicy>(object, "repeat",
                                                   {{"read_like", RepeatPolicy::idempotent},
                                                    {"idempotency_key", RepeatPolicy::tokened},
                                                    {"non_idempotent", RepeatPolicy::non_idempotent}});
    method.token_scope = read_enum<TokenScope>(
        object, "group", {{"all", TokenScope::all}, {"zone", TokenScope::zone}, {"cell", TokenScope::cell}});
    method.soft_deadline = read_ticks(object, "aim");
    method.token_window = read_ticks(object, "window");
    method.utility = read_number(object, "worth");
    method.streams_answer = read_bool(object, "stream");
    return method;
}

RolloutConfig read_rollout(const json &object) {
    RolloutConfig rollout{};
    rollout.advance_policy = read_enum<AdvancePolicy>(object, "control",
                                                      {{"first_voice", AdvancePolicy::any_vote},
                                                       {"by_count", AdvancePolicy::share_of_votes},
                                                       {"automatic", AdvancePolicy::timer}});
    rollout.replaces_hosts = read_enum<bool>(object, "swap", {{"parallel", false}, {"replace", true}});
    rollout.cap_by_method = read_enum<bool>(object, "capScope", {{"all", false}, {"each_class", true}});
    rollout.sticky_keys = read_bool(object, "keysStay");
    rollout.key_affinity = read_optional_bool(object, "warmKeys");
    rollout.guarded_stages = read_int(object, "guardedStages");
    rollout.votes_to_advance = read_int(object, "toAdvance");
    rollout.picks_above_cap = read_number(object, "uncounted");
    rollout.flag_share = read_number(object, "flagShare");
    rollout.exposure_window = read_ticks(object, "window");
    rollout.vote_lifetime = read_ticks(object, "voteTtl");
    if (has_field(object, "voteAllowance")) rollout.votes_per_s = read_number(object, "voteAllowance");
    if (rollout.votes_per_s < 0) throw_field_error("voteAllowance", "below 0");
    rollout.stage_shares = read_numbers(object, "rings");
    rollout.stage_caps = read_numbers(object, "stageCap");
    if (rollout.stage_shares.empty()) throw_field_error("rings", "empty");
    if (rollout.stage_caps.empty()) throw_field_error("stageCap", "empty");
    return rollout;
}

} // namespace

DeploymentConfig read_deployment_config(const json &profile) {
    DeploymentConfig config{};
    const json &permissions = required_field(profile, "permissions");
    const json &rules = required_field(profile, "rules");
    config.instances = std::max(1, read_int(profile, "instances"));
    if (has_field(profile, "ordinal")) config.ordinal = read_index(profile, "ordinal", config.instances);
    config.requests_host_list = read_enum<bool>(profile, "membershipMode", {{"push", false}, {"ask", true}});
    config.may_cancel = read_bool(permissions, "cancel");
    config.exchanges_summaries = read_bool(permissions, "peers");
    config.second_copies = read_bool(permissions, "secondCopies");
    config.advise_retry_after = read_bool(permissions, "retryAfter");
    config.max_picks = read_int(permissions, "maxAttempts");
    config.max_retry_after = read_ticks(permissions, "maxRetryAfter");
    if (has_field(permissions, "keepalive")) config.keepalive = read_ticks(permissions, "keepalive");
    if (config.keepalive < 0) throw_field_error("keepalive", "below 0");
    config.utility_per_work = read_enum<bool>(profile, "valueBy", {{"request", false}, {"work", true}});
    config.warm_up_time = read_ticks(rules, "warmUp");
    config.overload_window = read_ticks(rules, "overloadFor");
    config.cold_capacity_share = read_number(rules, "coldShare");
    config.overload_multiple = read_number(rules, "tipMultiple");
    for (const json &method : read_array(profile, "classes")) config.methods.push_back(read_method(method));
    if (config.methods.empty()) throw_field_error("classes", "empty");
    if (has_field(profile, "tenants"))
        for (const json &tenant : read_array(profile, "tenants"))
            config.tenant_quotas.push_back(has_field(tenant, "quotaPerS") ? read_number(tenant, "quotaPerS")
                                                                          : 0);
    const json &report = required_field(profile, "report");
    if (has_field(report, "fields"))
        for (const json &name : read_array(report, "fields"))
            config.report_fields.push_back(name.is_string() ? name.get<std::string>() : "");
    config.rollout = read_rollout(required_field(profile, "familyInfo"));
    return config;
}

} // namespace pineridge
