// A stand-in registry on loopback that answers blocking queries as Consul's KV API does. It keeps its keys
// and decides nothing: what goes wrong is told to it, and it records what it told when.
#pragma once

#include "standins/http/server.hpp"

#include <cstdint>
#include <list>
#include <map>

namespace pineridge::standins {

class Blocking {
  public:
    explicit Blocking(asio::io_context &io);

    std::string address() const { return server_.address(); }
    std::int64_t put(const std::string &key, const std::string &value);
    std::int64_t remove(const std::string &key);
    std::int64_t index() const { return index_; }
    std::map<std::string, std::string> held() const;

    // Faults.
    void stop(); // open connections are reset
    void start();
    void mute(bool on) { mute_ = on; } // takes queries and answers none
    void forget(); // data lost: empty, and at a low index
    void lag(bool on); // answers with what stood when it began to, whatever is written meanwhile
    void say(std::string field, std::string value) {
        fields_[std::move(field)] = std::move(value);
    } // in heads
    void spoil(std::string bytes) { spoilt_ = std::move(bytes); } // sent in place of the next answer
    void tear(std::size_t bytes) { torn_ = bytes; } // the next answer breaks off after so many bytes

    int queries() const { return queries_; }
    int blocked() const { return blocked_; } // queries that waited
    std::size_t told_bytes() const { return told_; }
    const std::list<std::string> &paths() const { return paths_; }

  private:
    struct Pair {
        std::string value;
        std::int64_t created = 0, modified = 0;
    };
    using Pairs = std::map<std::string, Pair>;

    void take(const Call &call, const std::shared_ptr<Talk> &talk);
    void answer(const std::string &prefix, const std::shared_ptr<Talk> &talk);
    asio::awaitable<void> hold(std::weak_ptr<Talk> talk, std::string prefix, std::int64_t wait_ms);
    void changed();

    asio::io_context &io_;
    Pairs pairs_, seen_;
    std::int64_t index_ = 1, seen_index_ = 1;
    bool mute_ = false, lagging_ = false;
    std::map<std::string, std::string> fields_;
    std::string spoilt_;
    std::size_t torn_ = 0, told_ = 0;
    int queries_ = 0, blocked_ = 0;
    std::list<std::string> paths_;
    std::list<std::pair<std::weak_ptr<Talk>, std::string>> waiting_;
    Server server_;
};

} // namespace pineridge::standins
