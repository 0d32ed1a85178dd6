// A stand-in registry on loopback that speaks the etcd v3 protocol. It uses grpc++, so that the router's own
// transport is tested against another implementation. It keeps its whole history; tests inject faults through
// its methods, which are safe to call from any thread.
#pragma once

#include "standins/registry/history.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pineridge::standins {

// One change of a key in the registry's history.
struct KeyChange {
    std::int64_t revision;
    std::string key, value;
    bool deleted;
};

// PEM texts. Where `authorities` is not empty, clients must present a certificate that one of them has
// issued.
struct ServerTls {
    std::string certificate, key, authorities{};
};

class Registry {
  public:
    explicit Registry(const ServerTls *tls = nullptr);
    ~Registry();

    std::string address() const;
    std::int64_t put(const std::string &key, const std::string &value);
    std::int64_t remove(const std::string &key);
    void write(const std::vector<KeyChange> &changes); // in one revision, as a transaction does
    void compact(std::int64_t revision);
    std::int64_t revision() const;
    std::map<std::string, std::string> entries() const;

    // Faults.
    void cancel_streams();
    void stop(); // stops listening and ends the open connections
    void start(); // listens again at the same address
    void mute(bool on); // while on, watches stay open and send nothing, not even progress
    void skip_events(int revisions); // watches leave out the next revisions, but still report progress
    // Splits batches into fragments of `events` each. The next stream to send them ends after `break_after` +
    // 1 fragments (-1: never).
    void fragment(std::size_t events, int break_after);
    void lag(std::int64_t revisions); // reads and new watches are this many revisions behind
    void lose_data(); // becomes empty, at a low revision
    void before_page(std::function<void()> callback); // called before each page after the first is built

    void expire_leases(); // ends every lease and deletes its keys
    int leases() const; // that are valid
    int renewals() const;
    int reads() const; // pages read
    std::vector<std::chrono::steady_clock::time_point> take_read_times(); // times of the page reads since the
                                                                          // last call
    int watches() const;
    std::vector<SentEvent> sent_events() const; // by pages and watches since the start, at most a million

    struct State;

  private:
    std::unique_ptr<State> state_;
};

} // namespace pineridge::standins
