#include "router/rollout/vote_client.hpp"

namespace pineridge::router::rollout {

void VoteClient::cast(int build, int stage, Verdict verdict) {
    pending_ = encode_vote(build, stage, verdict);
    if (!std::exchange(running_, true)) asio::co_spawn(io_, run(), asio::detached);
}

asio::awaitable<void> VoteClient::run() {
    while (pending_) {
        const std::string vote = std::exchange(pending_, std::nullopt).value();
        http::Response answer(config_.limits.max_http_head_bytes, config_.limits.max_stream_line_bytes);
        const http::CallResult call = co_await link_.request("POST", "/apis/fleet/opinions", vote,
                                                             config_.limits.vote_timeout, false, answer);
        RolloutUpdate update{}; // invalid unless the platform confirms that it has counted the vote
        if (call == http::CallResult::answered && answer.status() == 200) {
            try {
                update = read_rollout_update(json::parse(answer.body(), nullptr, false));
            } catch (const std::exception &error) {
                log_(Level::warning, "vote: ", error.what());
                update = {};
            }
        } else {
            log_(Level::info, "vote not counted: ", vote, ", status ", answer.status());
        }
        update.answers_vote = true;
        on_answer_(update);
    }
    running_ = false;
}

} // namespace pineridge::router::rollout
