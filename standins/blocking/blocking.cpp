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

std::string word_of(const std::string &path, const std::string &name) {
    const std::size_t at = path.find(name + "=");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 1;
    return path.substr(from, path.find('&', from) - from);
}

} // namespace

Blocking::Blocking(asio::io_context &io)
    : io_(io), server_(io, [this](const Call &call, const auto &talk) { take(call, talk); }) {}

std::int64_t Blocking::put(const std::string &key, const std::string &value) {
    Pair &pair = pairs_[key];
    pair.value = value;
    pair.modified = ++index_;
    if (pair.created == 0) pair.created = index_;
    changed();
    return index_;
}

std::int64_t Blocking::remove(const std::string &key) {
    pairs_.erase(key);
    ++index_;
    changed();
    return index_;
}

std::map<std::string, std::string> Blocking::held() const {
    std::map<std::string, std::string> all;
    for (const auto &[key, pair] : pairs_) all[key] = pair.value;
    return all;
}

void Blocking::stop() {
    waiting_.clear();
    server_.stop();
}
void Blocking::start() { server_.start(); }

void Blocking::forget() {
    pairs_.clear();
    index_ = 1;
}

void Blocking::lag(bool on) {
    lagging_ = on;
    seen_ = pairs_;
    seen_index_ = index_;
}

void Blocking::changed() {
    if (lagging_ || mute_) return;
    for (const auto &[weak, prefix] : std::exchange(waiting_, {}))
        if (const auto talk = weak.lock()) answer(prefix, talk);
}

void Blocking::take(const Call &call, const std::shared_ptr<Talk> &talk) {
    ++queries_;
    paths_.push_back(call.path);
    if (paths_.size() > 100) paths_.pop_front();
    if (mute_) return;
    if (!spoilt_.empty()) return talk->send(std::exchange(spoilt_, {}));
    const std::size_t end = call.path.find('?');
    const std::string prefix = call.path.substr(7, end - 7);
    const std::int64_t from = std::atoll(word_of(call.path, "index").c_str());
    if (from <= 0 || from != (lagging_ ? seen_index_ : index_)) return answer(prefix, talk);
    ++blocked_;
    waiting_.emplace_back(talk, prefix);
    asio::co_spawn(io_, hold(talk, prefix, std::atoll(word_of(call.path, "wait").c_str())), asio::detached);
}

asio::awaitable<void> Blocking::hold(std::weak_ptr<Talk> weak, std::string prefix, std::int64_t wait_ms) {
    const int mine = queries_;
    asio::steady_timer timer(io_);
    timer.expires_after(std::chrono::milliseconds(wait_ms));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const auto talk = weak.lock();
    if (!talk || mute_ || mine != queries_) co_return;
    const std::size_t before = waiting_.size();
    waiting_.remove_if([&](const auto &one) { return one.first.lock() == talk; });
    if (waiting_.size() < before) answer(prefix, talk);
}

void Blocking::answer(const std::string &prefix, const std::shared_ptr<Talk> &talk) {
    const Pairs &pairs = lagging_ ? seen_ : pairs_;
    nlohmann::json all = nlohmann::json::array();
    for (const auto &[key, pair] : pairs)
        if (key.rfind(prefix, 0) == 0)
            all.push_back({{"LockIndex", 0},
                           {"Key", key},
                           {"Flags", 0},
                           {"Value", encoded(pair.value)},
                           {"CreateIndex", pair.created},
                           {"ModifyIndex", pair.modified}});
    std::map<std::string, std::string> fields{
        {"X-Consul-Index", std::to_string(lagging_ ? seen_index_ : index_)},
        {"X-Consul-KnownLeader", "true"},
        {"X-Consul-LastContact", "0"}};
    for (const auto &[name, value] : fields_) fields[name] = value;
    const std::string body = all.empty() ? "" : all.dump();
    std::string bytes = std::string("HTTP/1.1 ") + (all.empty() ? "404 Not Found" : "200 OK") + "\r\n";
    for (const auto &[name, value] : fields) bytes += name + ": " + value + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    told_ += bytes.size();
    if (torn_ > 0) {
        talk->send(bytes.substr(0, std::exchange(torn_, 0)));
        asio::post(io_, [this, talk] { asio::post(io_, [talk] { talk->close(); }); });
        return;
    }
    talk->send(std::move(bytes));
}

} // namespace pineridge::standins
