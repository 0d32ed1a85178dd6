// A stand-in registry on loopback that answers blocking queries as Consul's KV API does. It holds its keys in
// memory; tests inject faults through its methods. All work runs on the given io_context.
#pragma once

#include "standins/http/server.hpp"

#include <cstdint>
#include <list>
#include <map>

namespace pineridge::standins {

class BlockingRegistry {
  public:
    explicit BlockingRegistry(asio::io_context &io);

    std::string address() const { return server_.address(); }
    std::int64_t put(const std::string &key, const std::string &value);
    std::int64_t remove(const std::string &key);
    std::int64_t index() const { return index_; }
    std::map<std::string, std::string> entries() const;

    // Faults.
    void stop(); // stops listening and resets the open connections
    void start();
    void mute(bool on) { muted_ = on; } // accepts queries and answers none
    void lose_data(); // becomes empty, at a low index
    void lag(bool on); // while on, answers with the pairs and index of the moment it was set
    // Sets a header field of all later answers.
    void set_header(std::string field, std::string value) { headers_[std::move(field)] = std::move(value); }
    // Sends these bytes in place of the next answer.
    void replace_next_answer(std::string bytes) { next_answer_ = std::move(bytes); }
    // Closes the connection after the first bytes of the next answer.
    void truncate_next_answer(std::size_t bytes) { truncate_at_ = bytes; }

    int queries() const { return queries_; }
    int blocked() const { return blocked_queries_; } // queries that have waited for a change
    std::size_t sent_bytes() const { return sent_bytes_; }
    const std::list<std::string> &paths() const { return paths_; } // of the last queries, at most 100

  private:
    struct Pair {
        std::string value;
        std::int64_t created = 0, modified = 0;
    };
    using Pairs = std::map<std::string, Pair>;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection);
    void answer(const std::string &prefix, const std::shared_ptr<HttpConnection> &connection);
    asio::awaitable<void> answer_after_wait(std::weak_ptr<HttpConnection> connection, std::string prefix,
                                            std::int64_t wait_ms);
    void answer_waiting();

    asio::io_context &io_;
    Pairs pairs_, lagging_pairs_;
    std::int64_t index_ = 1, lagging_index_ = 1;
    bool muted_ = false, lagging_ = false;
    std::map<std::string, std::string> headers_;
    std::string next_answer_;
    std::size_t truncate_at_ = 0, sent_bytes_ = 0;
    int queries_ = 0, blocked_queries_ = 0;
    std::list<std::string> paths_;
    std::list<std::pair<std::weak_ptr<HttpConnection>, std::string>> waiting_;
    Server server_;
};

} // namespace pineridge::standins
