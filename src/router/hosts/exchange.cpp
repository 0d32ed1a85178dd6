#include "router/hosts/exchange.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pineridge::router::hosts {

// The module reads a report by place: one that lacks a field, or has an odd one, is left out whole.
std::vector<double> read_report(std::string_view text, const std::vector<std::string> &fields) {
    std::vector<double> report(fields.size(), NAN);
    for (std::string_view rest = text; !rest.empty();) {
        const std::string_view field = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        const auto at = std::find(fields.begin(), fields.end(), field.substr(0, equals));
        if (equals == std::string_view::npos || at == fields.end()) continue;
        const std::string_view value = field.substr(equals + 1);
        double read = 0;
        const auto got = std::from_chars(value.data(), value.data() + value.size(), read);
        const bool sound =
            got.ec == std::errc{} && got.ptr == value.data() + value.size() && std::isfinite(read);
        if (sound && read >= 0) report[at - fields.begin()] = read;
    }
    const auto missing = [](double value) { return std::isnan(value); };
    if (std::any_of(report.begin(), report.end(), missing)) report.clear();
    return report;
}

std::optional<Ending> Exchange::feed(std::string_view bytes) {
    unread_.append(bytes);
    const resp::Bounds bounds{limits_.max_value_bytes, limits_.max_arguments, limits_.max_nesting,
                              limits_.max_resp_line_bytes};
    resp::Value answer;
    const resp::Scan got = resp::scan(unread_, bounds, answer);
    if (got == resp::Scan::more) return std::nullopt;
    if (got == resp::Scan::bad) return Ending{Outcome::error};
    Ending ending = read(answer);
    ending.reusable = ending.reusable && answer.raw.size() == unread_.size();
    return ending;
}

Ending Exchange::read(const resp::Value &answer) const {
    Ending ending{Outcome::error};
    if (answer.kind == resp::Kind::error) {
        const std::string_view line = answer.body;
        const auto says = [&](std::string_view words) {
            return line.substr(0, words.size()) == words &&
                   (line.size() == words.size() || line[words.size()] == ' ');
        };
        // Any other line is no answer of a host: what it stands for, and what follows, is not believed.
        ending.reusable = says("ERR failed") || says("BUSY");
        if (says("BUSY")) ending.outcome = Outcome::host_busy;
        if (ending.reusable) ending.report = read_report(line.substr(line.rfind(' ') + 1), fields_);
        return ending;
    }
    // The value, null, and the report or null: nothing else is an answer.
    if (answer.kind != resp::Kind::array || answer.items.size() != 3) return ending;
    const resp::Value &value = answer.items[0], &last = answer.items[2];
    const bool reported = last.kind == resp::Kind::bulk;
    if (value.kind != resp::Kind::bulk || answer.items[1].kind != resp::Kind::null ||
        !(reported || last.kind == resp::Kind::null))
        return ending;
    ending.outcome = Outcome::ok;
    ending.value = value.raw;
    ending.reusable = true;
    if (reported) ending.report = read_report(last.body, fields_);
    return ending;
}

} // namespace pineridge::router::hosts
