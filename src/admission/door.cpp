#include "admission/door.hpp"

#include <algorithm>
#include <sstream>

namespace pineridge::admission {

namespace {

constexpr int kAddressBits = 128, kBitsBeforeV4 = 96;
// A refused client comes back after so long at least, and up to twice that: they were refused together.
constexpr Ticks kBack = 2000;

bool is_v4(const Number &address) { return cut(address, kBitsBeforeV4) == Number{0, 0xffff00000000}; }

} // namespace

Door::Door(const Entrance &rules, std::size_t room, std::uint64_t seed)
    : rules_(&rules), room_(room),
      sources_(static_cast<std::size_t>(rules.addresses), rules.trust_half, seed),
      crowds_(rules.crowds.size()), dice_{seed} {}

Network Door::network_of(const Number &address) const {
    const int bits = is_v4(address) ? kBitsBeforeV4 + rules_->prefix4 : rules_->prefix6;
    return {cut(address, bits), bits};
}

Reception Door::opened(Guest &guest, const Number &address, Ticks now) {
    guest.address = address;
    look_up(guest);
    const Crowd &rule = crowd(guest.crowd);
    Bucket &opens = guest.source->opens;
    if (rule.opens > 0 && !opens.take(rule.opens, rule.burst, now))
        return refuse(guest, Why::opens_too_fast, opens.until(rule.opens));
    if (const Why why = bound(guest); why != Why::welcome) return refuse(guest, why, 0);
    Reception said;
    if (!has_room_for(guest.crowd)) {
        said.instead = to_go(&guest, now, kRested);
        if (!said.instead) return refuse(guest, Why::no_room, 0);
        ++made_way_;
    }
    guest.seat = guests_.insert(guests_.end(), &guest);
    seat(guest, now);
    return said;
}

void Door::look_up(Guest &guest) {
    guest.crowd = std::max(0, rules_->networks.group_of(guest.address));
    const Crowd &rule = crowd(guest.crowd);
    guest.source = &sources_.at({guest.address, kAddressBits}, rule.burst);
    ++guest.source->open; // so that the next call cannot forget it
    guest.network = rule.per_network > 0 ? &sources_.at(network_of(guest.address), 0) : nullptr;
    --guest.source->open;
}

void Door::seat(Guest &guest, Ticks now) {
    sources_.opened(*guest.source);
    if (guest.network) sources_.opened(*guest.network);
    ++open_;
    ++crowds_[static_cast<std::size_t>(guest.crowd)].open;
    if (guest.open_rpcs == 0) shelve(guest, now);
}

Why Door::bound(const Guest &guest) const {
    const Crowd &rule = crowd(guest.crowd);
    if (rule.most > 0 && open(guest.crowd) >= rule.most) return Why::crowd_full;
    if (rule.per_address > 0 && guest.source->open >= rule.per_address) return Why::address_full;
    if (guest.network && guest.network->open >= rule.per_network) return Why::network_full;
    return Why::welcome;
}

// What others have reserved and not yet taken is no room for this crowd.
bool Door::has_room_for(int at) const {
    if (open_ >= room_) return false;
    if (open(at) < crowd(at).reserve) return true;
    std::size_t kept = 0;
    for (std::size_t i = 0; i < crowds_.size(); ++i)
        if (static_cast<int>(i) != at)
            kept += static_cast<std::size_t>(
                std::max(0, crowd(static_cast<int>(i)).reserve - open(static_cast<int>(i))));
    return open_ + kept < room_;
}

// What a crowd may hold where all that are here want more: its reserve, and its part of what none has
// reserved.
double Door::share_of(int at, int newcomer) const {
    double weights = 0, reserved = 0;
    for (std::size_t i = 0; i < crowds_.size(); ++i) {
        const Crowd &rule = crowd(static_cast<int>(i));
        reserved += rule.reserve;
        if (crowds_[i].open > 0 || static_cast<int>(i) == newcomer) weights += rule.weight;
    }
    const double rest = std::max(0.0, static_cast<double>(room_) - reserved);
    return crowd(at).reserve + rest * crowd(at).weight / weights;
}

Guest *Door::oldest(Held &held, Shelf shelf, Ticks now, Ticks rested) const {
    auto &guests = held.shelves[shelf];
    if (guests.empty() || now - guests.front()->idle_since < rested) return nullptr;
    return guests.front();
}

// From the crowd furthest above its share, strangers first. A newcomer takes the place of one of its own
// crowd where that is the one, or of one in a crowd above its share while its own is below.
Guest *Door::to_go(const Guest *newcomer, Ticks now, Ticks rested) {
    std::vector<std::pair<double, int>> order; // by how far above
    for (std::size_t i = 0; i < crowds_.size(); ++i) {
        const int at = static_cast<int>(i);
        const bool own = newcomer && newcomer->crowd == at;
        const double over =
            static_cast<double>(crowds_[i].open + own) - share_of(at, newcomer ? newcomer->crowd : -1);
        if (crowds_[i].open > 0 && (own || !newcomer || over > 0)) order.emplace_back(-over, at);
    }
    std::sort(order.begin(), order.end());
    const bool under = newcomer && static_cast<double>(open(newcomer->crowd)) + 1 <=
                                       share_of(newcomer->crowd, newcomer->crowd);
    const bool trusted = newcomer && sources_.trusts(*newcomer->source, now);
    for (const auto &[over, at] : order) {
        Held &held = crowds_[static_cast<std::size_t>(at)];
        const bool own = newcomer && newcomer->crowd == at;
        if (newcomer && !own && !under) continue;
        for (const Shelf shelf : {strangers, vouched})
            if (Guest *const found = oldest(held, shelf, now, rested)) return found;
        // One that is known goes for no stranger of its own crowd.
        if (newcomer && own && !trusted) continue;
        if (Guest *const found = oldest(held, known, now, rested)) return found;
    }
    return nullptr;
}

Guest *Door::first_to_go(Ticks now, Ticks rested) { return to_go(nullptr, now, rested); }

void Door::asked(Guest &guest) {
    ++guest.open_rpcs;
    unshelve(guest);
}

void Door::answered(Guest &guest, bool served, Ticks now) {
    --guest.open_rpcs;
    if (served) {
        guest.used = true;
        sources_.earn(*guest.source, now);
    }
    if (guest.open_rpcs == 0) shelve(guest, now);
}

void Door::left(Guest &guest) {
    unshelve(guest);
    guests_.erase(guest.seat);
    --open_;
    --crowds_[static_cast<std::size_t>(guest.crowd)].open;
    if (guest.network) sources_.closed(*guest.network);
    sources_.closed(*guest.source);
    guest.source = guest.network = nullptr;
}

void Door::shelve(Guest &guest, Ticks now) {
    unshelve(guest);
    guest.idle_since = now;
    guest.shelf = guest.used ? known : sources_.trusts(*guest.source, now) ? vouched : strangers;
    auto &shelf =
        crowds_[static_cast<std::size_t>(guest.crowd)].shelves[static_cast<std::size_t>(guest.shelf)];
    guest.place = shelf.insert(shelf.end(), &guest);
}

void Door::unshelve(Guest &guest) {
    if (guest.shelf < 0) return;
    crowds_[static_cast<std::size_t>(guest.crowd)].shelves[static_cast<std::size_t>(guest.shelf)].erase(
        guest.place);
    guest.shelf = -1;
}

Reception Door::refuse(Guest &guest, Why why, Ticks least) {
    ++refused_[static_cast<std::size_t>(why)];
    guest.source = guest.network = nullptr;
    const Ticks back = std::max(kBack, least);
    return {why, nullptr, back + static_cast<Ticks>(static_cast<double>(back) * dice_.unit())};
}

// Guests stay where they are and count in the crowd that their address belongs to now. A bound below what is
// open refuses until enough have left: nobody is put out for a change of rules.
void Door::rules(const Entrance &rules) {
    for (Guest *const guest : guests_) {
        unshelve(*guest);
        if (guest->network) sources_.closed(*guest->network);
        sources_.closed(*guest->source);
    }
    rules_ = &rules;
    open_ = 0;
    crowds_ = std::vector<Held>(rules.crowds.size());
    for (Guest *const guest : guests_) {
        look_up(*guest);
        seat(*guest, guest->idle_since);
    }
}

std::string Door::explain(const Number &address, Ticks now) const {
    std::ostringstream lines;
    const auto *entry = rules_->networks.entry_of(address);
    const int at = entry ? entry->group : 0;
    const Crowd &rule = crowd(at);
    lines << "crowd " << rule.name << ": "
          << (entry ? "by network " + entry->network.text() : std::string("in no network")) << "\n";
    lines << "connections of the crowd: " << open(at) << " open, " << rule.reserve << " reserved, share "
          << static_cast<long>(share_of(at, at)) << " of " << room_;
    if (rule.most > 0) lines << ", at most " << rule.most;
    lines << "\n";
    const Source *const source = sources_.find({address, kAddressBits});
    lines << "of the address: " << (source ? source->open : 0) << " open";
    if (rule.per_address > 0) lines << ", at most " << rule.per_address;
    if (rule.opens > 0) lines << ", " << rule.opens << " opened a second, " << rule.burst << " at once";
    lines << "\n";
    if (rule.per_network > 0) {
        const Network network = network_of(address);
        const Source *const wide = sources_.find(network);
        lines << "of its network " << network.text() << ": " << (wide ? wide->open : 0) << " open, at most "
              << rule.per_network << "\n";
    }
    const double earned = source ? sources_.earned(*source, now) : 0;
    lines << "trust: " << earned << " RPCs served, fading; "
          << (earned >= Sources::kTrusted ? "kept before strangers"
                                          : "a stranger: goes first when room runs out")
          << "\n";
    return lines.str();
}

} // namespace pineridge::admission
