#include "simhost/writer.hpp"

namespace pineridge::simhost {

namespace {

double seconds(Ticks ticks) { return static_cast<double>(ticks) / 10000.0; }

std::string hex(const std::string &bytes) {
    std::string written;
    for (const unsigned char byte : bytes) {
        written += "0123456789abcdef"[byte >> 4];
        written += "0123456789abcdef"[byte & 15];
    }
    return written;
}

} // namespace

nlohmann::json action(const std::string &who, const Decision &d) {
    switch (d.action) {
    case Action::pick:
        return {{"cmd", "ATTEMPT"},
                {"who", who},
                {"tid", d.rpc},
                {"host", d.host},
                {"patience", seconds(d.duration)}};
    case Action::cancel: return {{"cmd", "REVOKE"}, {"who", who}, {"tid", d.rpc}, {"leg", d.pick}};
    case Action::push_back:
        return {{"cmd", "BUSY"}, {"who", who}, {"tid", d.rpc}, {"pause", seconds(d.duration)}};
    case Action::abort: return {{"cmd", "ERROR"}, {"who", who}, {"tid", d.rpc}};
    case Action::vote:
        return {{"cmd", "JUDGE"},
                {"who", who},
                {"image", d.build},
                {"stage", d.stage},
                {"reason", static_cast<int>(d.verdict)}};
    case Action::send_summary:
        return {{"cmd", "PUBLISH"}, {"who", who}, {"addressee", d.peer}, {"blob", hex(d.text)}};
    case Action::request_host_list: return {{"cmd", "LISTEN"}, {"who", who}, {"want", true}};
    case Action::wake:
        return {{"cmd", "TIMER"}, {"who", who}, {"instant", seconds(d.duration)}, {"keyBack", "wake"}};
    case Action::log: return {{"cmd", "EMIT"}, {"who", who}, {"line", d.text}};
    case Action::none: break;
    }
    return nullptr;
}

} // namespace pineridge::simhost
