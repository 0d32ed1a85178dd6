#include "router/rollout/votes.hpp"

namespace pineridge::router::rollout {

void Votes::cast(int build, int stage, Verdict verdict) {
    waiting_ = write_vote(build, stage, verdict);
    if (!std::exchange(running_, true)) asio::co_spawn(io_, run(), asio::detached);
}

asio::awaitable<void> Votes::run() {
    while (waiting_) {
        const std::string vote = std::exchange(waiting_, std::nullopt).value();
        http::Answer answer(start_.limits.max_http_head_bytes, start_.limits.max_stream_line_bytes);
        const http::Call got = co_await link_.call("POST", "/apis/fleet/opinions", vote,
                                                   start_.limits.vote_timeout, false, answer);
        RolloutUpdate news{}; // not valid: not counted, or not known to be
        if (got == http::Call::answered && answer.status() == 200) {
            try {
                news = read_news(json::parse(answer.body(), nullptr, false));
            } catch (const std::exception &bad) {
                log_(Level::warning, "vote: ", bad.what());
                news = {};
            }
        } else {
            log_(Level::info, "vote not counted: ", vote, ", status ", answer.status());
        }
        news.answers_vote = true;
        answered_(news);
    }
    running_ = false;
}

} // namespace pineridge::router::rollout
