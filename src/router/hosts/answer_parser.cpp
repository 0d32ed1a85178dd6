#include "router/hosts/answer_parser.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pineridge::router::hosts {

namespace {

// Room for the load report behind a long value, so that the buffer need not grow for it as a rule.
constexpr std::size_t kReportBytes = 512;

} // namespace

// The decision module reads the values by index, so a report with a missing or invalid field is dropped as a
// whole.
std::vector<double> read_report(std::string_view text, const std::vector<std::string> &fields) {
    std::vector<double> report(fields.size(), NAN);
    for (std::string_view rest = text; !rest.empty();) {
        const std::string_view field = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        const auto found = std::find(fields.begin(), fields.end(), field.substr(0, equals));
        if (equals == std::string_view::npos || found == fields.end()) continue;
        const std::string_view value = field.substr(equals + 1);
        double number = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
        const bool is_valid =
            parsed.ec == std::errc{} && parsed.ptr == value.data() + value.size() && std::isfinite(number);
        if (is_valid && number >= 0) report[found - fields.begin()] = number;
    }
    const auto missing = [](double value) { return std::isnan(value); };
    if (std::any_of(report.begin(), report.end(), missing)) report.clear();
    return report;
}

std::optional<PickResult> AnswerParser::feed(std::string_view bytes) {
    received_.append(bytes);
    const resp::Bounds bounds{limits_.max_value_bytes, limits_.max_arguments, limits_.max_nesting,
                              limits_.max_resp_line_bytes};
    resp::Value answer;
    const resp::ScanResult scanned = resp::scan(received_.view(), bounds, answer);
    if (scanned == resp::ScanResult::incomplete) {
        wanted_bytes_ = answer.min_size > resp::ReceiveBuffer::kSmallBytes ? answer.min_size + kReportBytes
                                                                           : answer.min_size;
        return std::nullopt;
    }
    if (scanned != resp::ScanResult::complete) return PickResult{Outcome::error};
    const bool nothing_follows = answer.raw.size() == received_.size();
    PickResult result = read(answer);
    result.reusable = result.reusable && nothing_follows;
    return result;
}

// Returns the raw bytes of a value, in the memory of the buffer, which is empty afterwards.
std::string AnswerParser::take_value(const resp::Value &value) {
    const std::size_t begin = static_cast<std::size_t>(value.raw.data() - received_.view().data());
    const std::size_t size = value.raw.size();
    std::string bytes = received_.take();
    bytes.resize(begin + size);
    bytes.erase(0, begin);
    return bytes;
}

PickResult AnswerParser::read(const resp::Value &answer) {
    PickResult result{Outcome::error};
    if (answer.kind == resp::Kind::error) {
        const std::string_view line = answer.body;
        const auto is_error = [&](std::string_view code) {
            return line.substr(0, code.size()) == code &&
                   (line.size() == code.size() || line[code.size()] == ' ');
        };
        // A host sends no other errors: after one, the connection is not used again.
        result.reusable = is_error("ERR failed") || is_error("BUSY");
        if (is_error("BUSY")) result.outcome = Outcome::host_busy;
        if (result.reusable) result.report = read_report(line.substr(line.rfind(' ') + 1), fields_);
        return result;
    }
    // A valid answer consists of the value, null, and the report or null.
    if (answer.kind != resp::Kind::array || answer.items.size() != 3) return result;
    const resp::Value &value = answer.items[0];
    const resp::Value &report = answer.items[2];
    const bool has_report = report.kind == resp::Kind::bulk_string;
    if (value.kind != resp::Kind::bulk_string || answer.items[1].kind != resp::Kind::null ||
        !(has_report || report.kind == resp::Kind::null))
        return result;
    result.outcome = Outcome::ok;
    result.reusable = true;
    if (has_report) result.report = read_report(report.body, fields_);
    result.value = take_value(value);
    return result;
}

} // namespace pineridge::router::hosts
