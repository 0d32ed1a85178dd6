#include "simhost/writer.hpp"

namespace pineridge::simhost {

namespace {

double seconds(Ticks ticks) { return static_cast<double>(ticks) / 10000.0; }

std::string hex(const std::string &bytes) {
    std::string digits;
    for (const unsigned char byte : bytes) {
        digits += "0123456789abcdef"[byte >> 4];
        digits += "0123456789abcdef"[byte & 15];
    }
    return digits;
}

} // namespace

nlohmann::json action(const std::string &who, const Decision &decision) {
    switch (decision.action) {
    case Action::pick:
        return {{"cmd", "ATTEMPT"},
                {"who", who},
                {"tid", decision.rpc},
                {"host", decision.host},
                {"patience", seconds(decision.duration)}};
    case Action::cancel:
        return {{"cmd", "REVOKE"}, {"who", who}, {"tid", decision.rpc}, {"leg", decision.pick}};
    case Action::push_back:
        return {{"cmd", "BUSY"}, {"who", who}, {"tid", decision.rpc}, {"pause", seconds(decision.duration)}};
    case Action::abort: return {{"cmd", "ERROR"}, {"who", who}, {"tid", decision.rpc}};
    case Action::vote:
        return {{"cmd", "JUDGE"},
                {"who", who},
                {"image", decision.build},
                {"stage", decision.stage},
                {"reason", static_cast<int>(decision.verdict)}};
    case Action::send_summary:
        return {{"cmd", "PUBLISH"}, {"who", who}, {"addressee", decision.peer}, {"blob", hex(decision.text)}};
    case Action::request_host_list: return {{"cmd", "LISTEN"}, {"who", who}, {"want", true}};
    case Action::wake:
        return {{"cmd", "TIMER"}, {"who", who}, {"instant", seconds(decision.duration)}, {"keyBack", "wake"}};
    case Action::log: return {{"cmd", "EMIT"}, {"who", who}, {"line", decision.text}};
    case Action::none: break;
    }
    return nullptr;
}

} // namespace pineridge::simhost
