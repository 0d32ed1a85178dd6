// A release plan together with the updates of a simulated desk. Shared by the plan's tests.
#pragma once

#include "release/plan.hpp"

namespace pineridge::release::test {

inline ReleaseSettings scheme(int zones = 2, int customers = 2) {
    ReleaseSettings result;
    result.service = "booking";
    for (int i = 0; i < zones; ++i) result.zones.push_back({"z" + std::to_string(i)});
    for (int i = 0; i < customers; ++i) result.customers.push_back({"c" + std::to_string(i)});
    result.zone = "z0";
    result.stages = {0, 0.05, 0.25, 1};
    result.wave_gate_stage = 3;
    result.min_picks = 5;
    result.silent_after = 600000;
    result.freeze_settle_time = 50000;
    result.rollback_delay = 20000;
    result.rollback_step = 10000;
    result.opinion_interval = 40000;
    return result;
}

// A build of the router's own service, and one of another service that it may depend on.
inline const BuildName kBuild{"booking", 7}, kRequiredBuild{"donor", 3};

inline Dependency dependency(const BuildName &on, int stage, bool strict = false) {
    Dependency result;
    result.required = on;
    result.stage = stage;
    result.strict = strict;
    return result;
}

// A plan that is connected to its desk and has applied an empty snapshot.
struct PlanFixture {
    explicit PlanFixture(ReleaseSettings given = scheme()) : plan(std::move(given)) {
        plan.set_time(now);
        plan.apply_snapshot({rev, {}});
        plan.set_desk_connected(true);
    }

    void set_time(Ticks time) { plan.set_time(now = time); }
    void advance(Ticks duration) { set_time(now + duration); }

    // The desk's next update; the caller passes it to the plan.
    Update next_update(Update::Kind kind) {
        Update update;
        update.kind = kind;
        update.prev = rev;
        update.rev = ++rev;
        return update;
    }
    Update offer_update(const BuildName &build, std::vector<Dependency> dependencies = {}) {
        Update update = next_update(Update::Kind::offer);
        update.build = build;
        for (Dependency &dependency : dependencies) dependency.dependent = build;
        update.dependencies = std::move(dependencies);
        return update;
    }
    Update stage_update(const BuildName &build, int cell, int stage) {
        Update update = next_update(Update::Kind::stage);
        update.build = build;
        update.zone = plan.scheme().zones[plan.scheme().zone_of(cell)].name;
        update.customer = plan.scheme().customers[plan.scheme().customer_of(cell)].name;
        update.stage = stage;
        return update;
    }
    Update freeze_update(const std::string &id, const std::string &zone = "",
                         const std::string &customer = "", const std::string &service = "") {
        Update update = next_update(Update::Kind::freeze);
        update.freeze = {id, zone, customer, service};
        return update;
    }

    // Each of these applies the desk's next update to the plan.
    void offer(const BuildName &build, std::vector<Dependency> dependencies = {}) {
        plan.apply_update(offer_update(build, std::move(dependencies)));
    }
    void stage(const BuildName &build, int cell, int stage) {
        plan.apply_update(stage_update(build, cell, stage));
    }
    void stage_all(const BuildName &build, int to) {
        for (int cell = 0; cell < static_cast<int>(plan.scheme().cell_count()); ++cell)
            stage(build, cell, to);
    }
    void pull(const BuildName &build) {
        Update update = next_update(Update::Kind::pull);
        update.build = build;
        plan.apply_update(update);
    }
    void freeze(const std::string &id, const std::string &zone = "", const std::string &customer = "",
                const std::string &service = "") {
        plan.apply_update(freeze_update(id, zone, customer, service));
    }
    void lift(const std::string &id) {
        Update update = next_update(Update::Kind::lift);
        update.freeze.id = id;
        plan.apply_update(update);
    }
    void cap(double cap, const std::string &zone = "", const std::string &customer = "") {
        Update update = next_update(Update::Kind::cap);
        update.cap = cap;
        update.zone = zone;
        update.customer = customer;
        plan.apply_update(update);
    }

    std::vector<Opinion> opinions() {
        std::vector<Opinion> result;
        while (auto opinion = plan.next_opinion()) result.push_back(*opinion);
        return result;
    }
    // The build's stage in each cell.
    std::vector<int> stages(const BuildName &build) const {
        std::vector<int> result;
        for (int cell = 0; cell < static_cast<int>(plan.scheme().cell_count()); ++cell)
            result.push_back(plan.stage(build, cell));
        return result;
    }

    Ticks now = 1000000;
    std::int64_t rev = 10;
    Plan plan;
};

} // namespace pineridge::release::test
