// Who gets a connection, and who goes first when room runs out. Told of what opens, asks, is answered and
// closes, and of the time; knows no socket. It says no to connections alone: what becomes of an RPC that has
// come in is the counter's matter (counter.hpp), and then the module's.
#pragma once

#include "admission/sources.hpp"
#include "chance.hpp"
#include "settings/entrance.hpp"

#include <array>
#include <optional>

namespace pineridge::admission {

enum class Why { welcome, crowd_full, address_full, network_full, opens_too_fast, no_room };

// One connection. Owned by whoever owns the connection; stands still while it is with the door.
struct Guest {
    // Free for whoever owns it.
    void *owner = nullptr;

    // The door's.
    Number address{};
    int crowd = 0;
    Source *source = nullptr, *network = nullptr;
    int open_rpcs = 0;
    bool used = false; // has had an RPC served
    Ticks idle_since = 0;
    int shelf = -1; // where it waits to be closed for room: -1, none
    std::list<Guest *>::iterator place{}, seat{}; // on its shelf; among all
};

struct Reception {
    Why why = Why::welcome;
    Guest *instead = nullptr; // goes for it: to be closed by the owner, which tells so
    Ticks back = 0; // when refused: time to come back, spread
    bool welcome() const { return why == Why::welcome; }
};

class Door {
  public:
    // `room`: connections at once. The rules outlive the door or the next call of `rules`.
    Door(const Entrance &rules, std::size_t room, std::uint64_t seed);

    // A connection from there asks to come in. Welcome, the guest is with the door until it has left.
    Reception opened(Guest &guest, const Number &address, Ticks now);
    void asked(Guest &guest); // an RPC of it is taken
    void answered(Guest &guest, bool served, Ticks now); // it has its final answer
    void left(Guest &guest);

    // The guest to go first, for no newcomer: where descriptors are short elsewhere. Never one with an RPC
    // open, nor one that has been idle for less than `rested`.
    Guest *first_to_go(Ticks now, Ticks rested);

    void rules(const Entrance &rules); // others hold from now on; nobody is put out for it

    // What holds for an address, and why, in lines for a person.
    std::string explain(const Number &address, Ticks now) const;

    std::size_t open() const { return open_; }
    int open(int crowd) const { return static_cast<int>(crowds_[static_cast<std::size_t>(crowd)].open); }
    std::size_t sources() const { return sources_.size(); }
    std::uint64_t refused(Why why) const { return refused_[static_cast<std::size_t>(why)]; }
    std::uint64_t made_way() const { return made_way_; }

    // A connection idle for less is not closed for a newcomer: its next command may be under way.
    static constexpr Ticks kRested = 30;

  private:
    // Shelves, from which guests go: those that only opened first, of them those from an address that has
    // earned nothing; then those that had an RPC served. On each, the one idle longest first. An address
    // alone makes nobody known: behind a gateway a flood has the same as its victims.
    enum Shelf { strangers, vouched, known, kShelves };
    struct Held {
        std::size_t open = 0;
        std::array<std::list<Guest *>, kShelves> shelves{};
    };

    Why bound(const Guest &guest) const;
    bool has_room_for(int crowd) const;
    double share_of(int crowd, int newcomer) const;
    Guest *oldest(Held &held, Shelf shelf, Ticks now, Ticks rested) const;
    Guest *to_go(const Guest *newcomer, Ticks now, Ticks rested);
    void shelve(Guest &guest, Ticks now);
    void unshelve(Guest &guest);
    void look_up(Guest &guest); // its crowd and sources, by its address
    void seat(Guest &guest, Ticks now);
    Reception refuse(Guest &guest, Why why, Ticks least);
    Network network_of(const Number &address) const;
    const Crowd &crowd(int at) const { return rules_->crowds[static_cast<std::size_t>(at)]; }

    const Entrance *rules_;
    std::size_t room_, open_ = 0;
    Sources sources_;
    std::vector<Held> crowds_;
    std::array<std::uint64_t, 6> refused_{};
    std::list<Guest *> guests_;
    std::uint64_t made_way_ = 0;
    Pcg dice_;
};

} // namespace pineridge::admission
