// The freezes in force, from the settings and from the desk. Reads no clock: callers pass the time.
// A freeze covers cells from its start until the settling time after its end. Several freezes add up: a cell
// is frozen while any of them covers it.
#pragma once

#include "settings/release.hpp"

#include <algorithm>

namespace pineridge::release {

class Freezes {
  public:
    explicit Freezes(const ReleaseSettings &scheme) : scheme_(scheme) {
        for (const Freeze &window : scheme.freezes) entries_.push_back({window, true, scheme});
    }

    // Adds a freeze of the desk, or replaces the one with the same id. Beyond the bound everything is frozen
    // until the next snapshot, so that a freeze that could not be stored is never violated.
    void add(const Freeze &freeze) {
        const auto at = find(freeze.id);
        if (at != entries_.end())
            *at = {freeze, false, scheme_};
        else if (entries_.size() < scheme_.max_freezes + scheme_.freezes.size())
            entries_.push_back({freeze, false, scheme_});
        else
            overflowed_ = true;
    }
    // Ends a freeze of the desk at `now`; one that has not started yet is removed, without a settling time.
    void lift(const std::string &id, Ticks now) {
        const auto at = find(id);
        if (at == entries_.end()) return;
        if (at->freeze.from > now)
            entries_.erase(at);
        else
            at->freeze.to = std::min(at->freeze.to, now);
    }
    // Replaces the desk's freezes by those of a snapshot: the ones that the snapshot lacks are lifted.
    void replace(const std::vector<Freeze> &current, Ticks now) {
        std::vector<std::string> missing;
        for (const Entry &entry : entries_) {
            const auto same = [&](const Freeze &freeze) { return freeze.id == entry.freeze.id; };
            if (!entry.configured && std::none_of(current.begin(), current.end(), same))
                missing.push_back(entry.freeze.id);
        }
        for (const std::string &id : missing) lift(id, now);
        overflowed_ = false;
        for (const Freeze &freeze : current) add(freeze);
    }
    // Removes the freezes whose settling time is over.
    void prune(Ticks now) {
        std::erase_if(entries_, [&](const Entry &entry) { return end(entry) <= now; });
    }

    // Whether any freeze covers the service in this zone and customer. A zone or customer of -1 stands for
    // all of them and is covered as soon as a freeze covers one.
    bool covers(const std::string &service, int zone, int customer, Ticks now) const {
        return overflowed_ || std::any_of(entries_.begin(), entries_.end(), [&](const Entry &entry) {
                   return active(entry, service, zone, customer, now);
               });
    }
    // The same for the freeze windows of the settings alone, which the desk does not know.
    bool configured_covers(const std::string &service, int zone, int customer, Ticks time) const {
        return std::any_of(entries_.begin(), entries_.end(), [&](const Entry &entry) {
            return entry.configured && active(entry, service, zone, customer, time);
        });
    }
    std::size_t size() const { return entries_.size(); }

  private:
    static constexpr int kAny = -1, kUnknown = -2;
    struct Entry {
        Entry(Freeze given, bool from_settings, const ReleaseSettings &scheme)
            : freeze(std::move(given)), configured(from_settings),
              zone(freeze.zone.empty() ? kAny : scheme.zone_index(freeze.zone)),
              customer(freeze.customer.empty() ? kAny : scheme.customer_index(freeze.customer)) {
            if (!freeze.zone.empty() && zone < 0) zone = kUnknown;
            if (!freeze.customer.empty() && customer < 0) customer = kUnknown;
        }
        Freeze freeze;
        bool configured; // from the settings: the desk cannot lift it
        int zone, customer;
    };

    static bool matches(int frozen, int asked) { return frozen == kAny || asked == kAny || frozen == asked; }
    bool active(const Entry &entry, const std::string &service, int zone, int customer, Ticks time) const {
        return entry.freeze.from <= time && time < end(entry) && matches(entry.zone, zone) &&
               matches(entry.customer, customer) &&
               (entry.freeze.service.empty() || entry.freeze.service == service);
    }
    Ticks end(const Entry &entry) const { return entry.freeze.to + scheme_.freeze_settle_time; }
    std::vector<Entry>::iterator find(const std::string &id) {
        return std::find_if(entries_.begin(), entries_.end(),
                            [&](const Entry &entry) { return !entry.configured && entry.freeze.id == id; });
    }

    const ReleaseSettings &scheme_;
    std::vector<Entry> entries_;
    bool overflowed_ = false;
};

} // namespace pineridge::release
