// A stand-in registry on loopback, as etcd v3 speaks, on grpc++: another implementation of the transport than
// the router's. It keeps all its history and decides nothing: what goes wrong is told to it. Safe for calls
// from any thread.
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

// One word of its history.
struct Word {
    std::int64_t rev;
    std::string key, value;
    bool gone;
};

// PEM texts; with authorities told, clients must show a certificate of theirs.
struct Secure {
    std::string certificate, key, authorities{};
};

class Registry {
  public:
    explicit Registry(const Secure *secure = nullptr);
    ~Registry();

    std::string address() const;
    std::int64_t put(const std::string &key, const std::string &value);
    std::int64_t remove(const std::string &key);
    void write(const std::vector<Word> &words); // one revision for all of them, as a transaction does
    void compact(std::int64_t rev);
    std::int64_t revision() const;
    std::map<std::string, std::string> held() const;

    // Faults.
    void drop(); // every stream is cancelled
    void stop(); // no connection any more; open ones end
    void start(); // at the same address
    void mute(bool on); // watches stay open and tell nothing, not even progress
    void pass_over(int words); // the next words are told to nobody, though progress goes on
    void fragment(std::size_t events,
                  int break_after); // batches in pieces; the stream ends after so many (-1: never)
    void lag(std::int64_t revisions); // reads and new watches stand so far back
    void forget(); // data lost: empty, and at a low revision
    void on_page(std::function<void()> act); // called before each page but the first is made

    void run_out(); // every lease has run out: their keys are gone
    int leases() const; // that stand
    int renewals() const;
    int reads() const; // pages
    std::vector<std::chrono::steady_clock::time_point> take_read_times(); // of pages, since the last call
    int watches() const;
    std::vector<Told> told() const; // pages and events, since it began; at most a million

    struct State;

  private:
    std::unique_ptr<State> state_;
};

} // namespace pineridge::standins
