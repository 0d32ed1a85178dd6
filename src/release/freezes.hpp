// The freezes that stand, from the settings and from the desk. Knows no clock: time is told.
// Each covers from its start until it ends, and for the settling time after; several add up.
#pragma once

#include "settings/scheme.hpp"

#include <algorithm>

namespace pineridge::release {

class Freezes {
  public:
    explicit Freezes(const Scheme &scheme) : scheme_(scheme) {
        for (const Freeze &window : scheme.freezes) standing_.push_back({window, true, scheme});
    }

    // A freeze of the desk; one told again under its id takes its place. Beyond the bound all stands still
    // until a snapshot: stops a freeze that could not be kept from being passed over.
    void add(const Freeze &freeze) {
        const auto at = find(freeze.id);
        if (at != standing_.end())
            *at = {freeze, false, scheme_};
        else if (standing_.size() < scheme_.most_freezes + scheme_.freezes.size())
            standing_.push_back({freeze, false, scheme_});
        else
            overfull_ = true;
    }
    void lift(const std::string &id, Ticks now) {
        const auto at = find(id);
        if (at == standing_.end()) return;
        if (at->freeze.from > now)
            standing_.erase(at);
        else
            at->freeze.to = std::min(at->freeze.to, now);
    }
    // A snapshot's freezes follow: those of the desk that it lacks are lifted.
    void replace(const std::vector<Freeze> &told, Ticks now) {
        std::vector<std::string> gone;
        for (const Standing &one : standing_) {
            const auto same = [&](const Freeze &freeze) { return freeze.id == one.freeze.id; };
            if (!one.own && std::none_of(told.begin(), told.end(), same)) gone.push_back(one.freeze.id);
        }
        for (const std::string &id : gone) lift(id, now);
        overfull_ = false;
        for (const Freeze &freeze : told) add(freeze);
    }
    void prune(Ticks now) {
        std::erase_if(standing_, [&](const Standing &one) { return end(one) <= now; });
    }

    bool covers(const std::string &service, int zone, int customer, Ticks now) const {
        return overfull_ || std::any_of(standing_.begin(), standing_.end(), [&](const Standing &one) {
                   return stands(one, service, zone, customer, now);
               });
    }
    // Did a window of the settings stand then? The desk does not know of those.
    bool own_covers(const std::string &service, int zone, int customer, Ticks then) const {
        return std::any_of(standing_.begin(), standing_.end(), [&](const Standing &one) {
            return one.own && stands(one, service, zone, customer, then);
        });
    }
    std::size_t size() const { return standing_.size(); }

  private:
    static constexpr int kAny = -1, kUnknown = -2;
    struct Standing {
        Standing(Freeze told, bool is_own, const Scheme &scheme)
            : freeze(std::move(told)), own(is_own),
              zone(freeze.zone.empty() ? kAny : scheme.zone_at(freeze.zone)),
              customer(freeze.customer.empty() ? kAny : scheme.customer_at(freeze.customer)) {
            if (!freeze.zone.empty() && zone < 0) zone = kUnknown;
            if (!freeze.customer.empty() && customer < 0) customer = kUnknown;
        }
        Freeze freeze;
        bool own; // of the settings: no word of the desk lifts it
        int zone, customer;
    };

    // A part that is asked about as any (-1) is covered in part by a freeze of one.
    static bool fits(int frozen, int asked) { return frozen == kAny || asked == kAny || frozen == asked; }
    bool stands(const Standing &one, const std::string &service, int zone, int customer, Ticks at) const {
        return one.freeze.from <= at && at < end(one) && fits(one.zone, zone) &&
               fits(one.customer, customer) && (one.freeze.service.empty() || one.freeze.service == service);
    }
    Ticks end(const Standing &one) const { return one.freeze.to + scheme_.settle; }
    std::vector<Standing>::iterator find(const std::string &id) {
        return std::find_if(standing_.begin(), standing_.end(),
                            [&](const Standing &one) { return !one.own && one.freeze.id == id; });
    }

    const Scheme &scheme_;
    std::vector<Standing> standing_;
    bool overfull_ = false;
};

} // namespace pineridge::release
