#include "standins/blocking/blocking.hpp"

#include <nlohmann/json.hpp>

#include <boost/beast/core/detail/base64.hpp>
#include <cstdlib>

namespace pineridge::standins {

namespace {

std::string encoded(const std::string &bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string query_parameter(const std::string &path, const std::string &name) {
    const std::size_t at = path.find(name + "=");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 1;
    return path.substr(from, path.find('&', from) - from);
}

} // namespace

BlockingRegistry::BlockingRegistry(asio::io_context &io)
    : io_(io), server_(io, [this](const HttpRequest &request, const auto &connection) {
          handle(request, connection);
      }) {}

std::int64_t BlockingRegistry::put(const std::string &key, const std::string &value) {
    Pair &pair = pairs_[key];
    pair.value = value;
    pair.modified = ++index_;
    if (pair.created == 0) pair.created = index_;
    answer_waiting();
    return index_;
}

std::int64_t BlockingRegistry::remove(const std::string &key) {
    pairs_.erase(key);
    ++index_;
    answer_waiting();
    return index_;
}

std::map<std::string, std::string> BlockingRegistry::entries() const {
    std::map<std::string, std::string> all;
    for (const auto &[key, pair] : pairs_) all[key] = pair.value;
    return all;
}

void BlockingRegistry::stop() {
    waiting_.clear();
    server_.stop();
}
void BlockingRegistry::start() { server_.start(); }

void BlockingRegistry::lose_data() {
    pairs_.clear();
    index_ = 1;
}

void BlockingRegistry::lag(bool on) {
    lagging_ = on;
    lagging_pairs_ = pairs_;
    lagging_index_ = index_;
}

void BlockingRegistry::answer_waiting() {
    if (lagging_ || muted_) return;
    for (const auto &[weak, prefix] : std::exchange(waiting_, {}))
        if (const auto connection = weak.lock()) answer(prefix, connection);
}

void BlockingRegistry::handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection) {
    ++queries_;
    paths_.push_back(request.path);
    if (paths_.size() > 100) paths_.pop_front();
    if (muted_) return;
    if (!next_answer_.empty()) return connection->send(std::exchange(next_answer_, {}));
    const std::size_t end = request.path.find('?');
    const std::string prefix = request.path.substr(7, end - 7);
    const std::int64_t from = std::atoll(query_parameter(request.path, "index").c_str());
    if (from <= 0 || from != (lagging_ ? lagging_index_ : index_)) return answer(prefix, connection);
    ++blocked_queries_;
    waiting_.emplace_back(connection, prefix);
    asio::co_spawn(
        io_, answer_after_wait(connection, prefix, std::atoll(query_parameter(request.path, "wait").c_str())),
        asio::detached);
}

asio::awaitable<void> BlockingRegistry::answer_after_wait(std::weak_ptr<HttpConnection> weak,
                                                          std::string prefix, std::int64_t wait_ms) {
    const int queries_before = queries_;
    asio::steady_timer timer(io_);
    timer.expires_after(std::chrono::milliseconds(wait_ms));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const auto connection = weak.lock();
    if (!connection || muted_ || queries_before != queries_) co_return;
    const std::size_t before = waiting_.size();
    waiting_.remove_if([&](const auto &waiting) { return waiting.first.lock() == connection; });
    if (waiting_.size() < before) answer(prefix, connection);
}

void BlockingRegistry::answer(const std::string &prefix, const std::shared_ptr<HttpConnection> &connection) {
    const Pairs &pairs = lagging_ ? lagging_pairs_ : pairs_;
    nlohmann::json all = nlohmann::json::array();
    for (const auto &[key, pair] : pairs)
        if (key.rfind(prefix, 0) == 0)
            all.push_back({{"LockIndex", 0},
                           {"Key", key},
                           {"Flags", 0},
                           {"Value", encoded(pair.value)},
                           {"CreateIndex", pair.created},
                           {"ModifyIndex", pair.modified}});
    std::map<std::string, std::string> headers{
        {"X-Consul-Index", std::to_string(lagging_ ? lagging_index_ : index_)},
        {"X-Consul-KnownLeader", "true"},
        {"X-Consul-LastContact", "0"}};
    for (const auto &[name, value] : headers_) headers[name] = value;
    const std::string body = all.empty() ? "" : all.dump();
    std::string bytes = std::string("HTTP/1.1 ") + (all.empty() ? "404 Not Found" : "200 OK") + "\r\n";
    for (const auto &[name, value] : headers) bytes += name + ": " + value + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    sent_bytes_ += bytes.size();
    if (truncate_at_ > 0) {
        connection->send(bytes.substr(0, std::exchange(truncate_at_, 0)));
        asio::post(io_, [this, connection] { asio::post(io_, [connection] { connection->close(); }); });
        return;
    }
    connection->send(std::move(bytes));
}

} // namespace pineridge::standins
