// A plan with a desk's words at hand. Shared by the tests of the plan.
#pragma once

#include "release/plan.hpp"

namespace pineridge::release::test {

inline Scheme scheme(int zones = 2, int customers = 2) {
    Scheme given;
    given.service = "booking";
    for (int i = 0; i < zones; ++i) given.zones.push_back({"z" + std::to_string(i)});
    for (int i = 0; i < customers; ++i) given.customers.push_back({"c" + std::to_string(i)});
    given.zone = "z0";
    given.stages = {0, 0.05, 0.25, 1};
    given.follow = 3;
    given.evidence = 5;
    given.silent_after = 600000;
    given.settle = 50000, given.hold = 20000, given.step = 10000, given.renew = 40000;
    return given;
}

inline const BuildName kSeven{"booking", 7}, kThree{"donor", 3};

inline Need need(const BuildName &on, int stage, bool strict = false) {
    Need made;
    made.on = on, made.stage = stage, made.strict = strict;
    return made;
}

struct Bench {
    explicit Bench(Scheme given = scheme()) : plan(std::move(given)) {
        plan.clock(now);
        plan.snapshot({rev, {}});
        plan.linked(true);
    }

    void at(Ticks time) { plan.clock(now = time); }
    void pass(Ticks span) { at(now + span); }
    Notice word(Notice::Kind kind) {
        Notice made;
        made.kind = kind;
        made.prev = rev;
        made.rev = ++rev;
        return made;
    }
    Notice offer_word(const BuildName &build, std::vector<Need> needs = {}) {
        Notice made = word(Notice::Kind::offer);
        made.build = build;
        for (Need &need : needs) need.of = build;
        made.needs = std::move(needs);
        return made;
    }
    Notice stage_word(const BuildName &build, int cell, int stage) {
        Notice made = word(Notice::Kind::stage);
        made.build = build;
        made.zone = plan.scheme().zones[plan.scheme().zone_of(cell)].name;
        made.customer = plan.scheme().customers[plan.scheme().customer_of(cell)].name;
        made.stage = stage;
        return made;
    }
    Notice freeze_word(const std::string &id, const std::string &zone = "", const std::string &customer = "",
                       const std::string &service = "") {
        Notice made = word(Notice::Kind::freeze);
        made.freeze = {id, zone, customer, service};
        return made;
    }
    void offer(const BuildName &build, std::vector<Need> needs = {}) {
        plan.notice(offer_word(build, std::move(needs)));
    }
    void stage(const BuildName &build, int cell, int stage) { plan.notice(stage_word(build, cell, stage)); }
    void stage_all(const BuildName &build, int to) {
        for (int cell = 0; cell < static_cast<int>(plan.scheme().cells()); ++cell) stage(build, cell, to);
    }
    void pull(const BuildName &build) {
        Notice made = word(Notice::Kind::pull);
        made.build = build;
        plan.notice(made);
    }
    void freeze(const std::string &id, const std::string &zone = "", const std::string &customer = "",
                const std::string &service = "") {
        plan.notice(freeze_word(id, zone, customer, service));
    }
    void lift(const std::string &id) {
        Notice made = word(Notice::Kind::lift);
        made.freeze.id = id;
        plan.notice(made);
    }
    void cap(double cap, const std::string &zone = "", const std::string &customer = "") {
        Notice made = word(Notice::Kind::cap);
        made.cap = cap, made.zone = zone, made.customer = customer;
        plan.notice(made);
    }
    std::vector<Opinion> opinions() {
        std::vector<Opinion> all;
        while (auto one = plan.next_opinion()) all.push_back(*one);
        return all;
    }
    std::vector<int> stages(const BuildName &build) const {
        std::vector<int> all;
        for (int cell = 0; cell < static_cast<int>(plan.scheme().cells()); ++cell)
            all.push_back(plan.stage(build, cell));
        return all;
    }

    Ticks now = 1000000;
    std::int64_t rev = 10;
    Plan plan;
};

} // namespace pineridge::release::test
