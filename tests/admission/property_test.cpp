// Random comings and goings at a door, under random rules that change: what must hold after each.
#include "admission/connection_limiter.hpp"

#include <memory>
#include <rapidcheck.h>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

struct Move {
    int kind, who, from;
};
std::ostream &operator<<(std::ostream &out, const Move &move) {
    return out << "{" << move.kind << "," << move.who << "," << move.from << "}";
}

rc::Gen<Move> moves() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 24)),
        [](const auto &t) {
            return Move{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
        });
}

// Three crowds: 10.0.0.0/8, 11.0.0.0/8 and the others.
Entrance random_rules() {
    Entrance rules;
    rules.crowds.clear();
    for (const char *name : {"others", "desks", "kiosks"}) {
        Crowd crowd{name};
        crowd.weight = *rc::gen::inRange(1, 5);
        crowd.reserve = *rc::gen::inRange(0, 4);
        crowd.most = *rc::gen::element(0, 5, 12);
        crowd.per_address = *rc::gen::element(0, 2, 4);
        crowd.per_network = *rc::gen::element(0, 3, 6);
        if (crowd.most > 0) crowd.most = std::max(crowd.most, crowd.reserve);
        rules.crowds.push_back(crowd);
    }
    rules.networks = Networks({{read_network("10.0.0.0/8"), 1}, {read_network("11.0.0.0/8"), 2}});
    rules.addresses = 64;
    return rules;
}

Number address(int from) {
    const std::uint32_t first[] = {0x01000000, 0x0a000000, 0x0b000000};
    return number_of(
        boost::asio::ip::address_v4(first[from % 3] + static_cast<std::uint32_t>(from / 3) * 100));
}

void hold(bool held, const char *name) {
    if (!held) RC_FAIL(name);
}

void play(const std::vector<Move> &all) {
    constexpr std::size_t kRoom = 12;
    std::vector<Entrance> rules{random_rules(), random_rules()};
    std::size_t now_rules = 0;
    ConnectionLimiter limiter(rules[0], kRoom, 1);
    std::vector<std::unique_ptr<ClientConnection>> inside;
    std::vector<int> rpcs; // open, by guest
    Ticks now = 0;
    const auto drop = [&](std::size_t at) {
        limiter.closed(*inside[at]);
        inside.erase(inside.begin() + static_cast<std::ptrdiff_t>(at));
        rpcs.erase(rpcs.begin() + static_cast<std::ptrdiff_t>(at));
    };
    for (const Move &move : all) {
        now += 20;
        const std::size_t who = inside.empty() ? 0 : static_cast<std::size_t>(move.who) % inside.size();
        if (move.kind < 6) {
            const Entrance &at = rules[now_rules];
            auto guest = std::make_unique<ClientConnection>();
            const int crowd = std::max(0, at.networks.group_of(address(move.from)));
            const int before = limiter.open_connections(crowd);
            const std::size_t open = limiter.open_connections();
            const ConnectionDecision said = limiter.try_admit(*guest, address(move.from), now);
            if (said.evicted) {
                std::size_t gone = 0;
                while (inside[gone].get() != said.evicted) ++gone;
                hold(rpcs[gone] == 0, "one with an RPC open went");
                drop(gone);
            }
            if (said.admitted()) {
                const Crowd &rule = at.crowds[static_cast<std::size_t>(crowd)];
                hold(rule.most == 0 || before < rule.most, "over most");
                inside.push_back(std::move(guest));
                rpcs.push_back(0);
            } else {
                hold(said.retry_after >= 2000 && said.retry_after <= 400000, "no time to come back");
                // Room that is its own is never refused for want of room.
                if (said.reason == RefusalReason::no_capacity && open < kRoom)
                    hold(before >= at.crowds[static_cast<std::size_t>(crowd)].reserve,
                         "its reserve was refused");
            }
        } else if (inside.empty()) {
            continue;
        } else if (move.kind < 8) {
            limiter.rpc_started(*inside[who]);
            ++rpcs[who];
        } else if (move.kind < 10) {
            if (rpcs[who] == 0) continue;
            limiter.rpc_finished(*inside[who], move.from % 2 == 0, now);
            --rpcs[who];
        } else if (move.kind == 10) {
            drop(who);
        } else {
            now_rules = 1 - now_rules;
            limiter.set_rules(rules[now_rules]);
        }
        hold(limiter.open_connections() == inside.size() && limiter.open_connections() <= kRoom,
             "those inside are counted");
        int by_crowd = 0;
        for (int i = 0; i < 3; ++i) by_crowd += limiter.open_connections(i);
        hold(by_crowd == static_cast<int>(inside.size()), "crowds add up");
        hold(limiter.source_count() <= 64 + 2 * kRoom + 2, "addresses are bounded");
        const ClientConnection *const next = limiter.next_to_evict(now + 100000, 0);
        for (std::size_t i = 0; i < inside.size(); ++i)
            hold(inside[i].get() != next || rpcs[i] == 0, "the next to go has an RPC open");
    }
    while (!inside.empty()) drop(0);
    hold(limiter.open_connections() == 0, "all have left");
}

} // namespace

int main() {
    return rc::check("a door keeps its word", [] { play(*rc::gen::container<std::vector<Move>>(moves())); })
               ? 0
               : 1;
}
