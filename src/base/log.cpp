#include "base/log.hpp"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ostream_sink.h>

namespace pineridge {

namespace {

std::string quoted(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') out += '\\';
        if (byte < 0x20) {
            static constexpr char kHex[] = "0123456789abcdef";
            out += std::string("\\u00") + kHex[byte >> 4] + kHex[byte & 15];
        } else {
            out += c;
        }
    }
    return out + '"';
}

} // namespace

Log::Log(std::ostream &out, const std::string &name, Level min_level, LogFormat format)
    : min_level_(min_level), format_(format) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out, true);
    logger_ = std::make_unique<spdlog::logger>(name, std::move(sink));
    logger_->set_level(spdlog::level::debug); // lower levels are filtered in Log itself
    std::string pattern = "%n %l: %v";
    if (format == LogFormat::json) {
        pattern = R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","router":)";
        pattern += quoted(name);
        pattern += R"(,"level":"%l",%v})";
    }
    logger_->set_pattern(pattern, spdlog::pattern_time_type::utc);
}

Log::~Log() = default;

void Log::write(Level level, const std::string &text) const {
    static constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                            spdlog::level::warn, spdlog::level::err};
    logger_->log(kLevels[static_cast<int>(level)], spdlog::string_view_t(text));
}

void Log::write_text(Level level, const std::string &text) const {
    std::string line = format_ == LogFormat::json ? "\"text\":" : "";
    line += format_ == LogFormat::json ? quoted(text) : text;
    write(level, line);
}

void Log::event(Level level, std::string_view name, const std::vector<Field> &fields) const {
    if (level < min_level_) return;
    std::string line = format_ == LogFormat::json ? "\"event\":" : "";
    line += format_ == LogFormat::json ? quoted(name) : std::string(name);
    for (const Field &field : fields) {
        const bool bare = format_ == LogFormat::plain && !field.value.empty() &&
                          field.value.find_first_of(" \"=\n\r\t") == std::string::npos;
        line += format_ == LogFormat::json ? "," : " ";
        line += format_ == LogFormat::json ? quoted(field.name) : field.name;
        line += format_ == LogFormat::json ? ":" : "=";
        line += bare ? field.value : quoted(field.value);
    }
    write(level, line);
}

} // namespace pineridge
