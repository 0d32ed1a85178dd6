// Writes log lines at or above a level through spdlog to an ostream, and flushes every line. The plain
// format is `n3 info: text` and, for events, `n3 info: release.stage build=7 zone=a`; the JSON format writes
// one object a line. A log is not thread-safe, and the stream must outlive it.
#pragma once

#include <memory>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace spdlog {
class logger;
}

namespace pineridge {

enum class Level { debug, info, warning, error };
enum class LogFormat { plain, json };

// A key of an event with its value as text.
struct Field {
    Field(std::string_view key, std::string_view text) : name(key), value(text) {}
    Field(std::string_view key, const char *text) : name(key), value(text) {}
    Field(std::string_view key, const std::string &text) : name(key), value(text) {}
    template <class Number> Field(std::string_view key, Number number) : name(key) {
        std::ostringstream text;
        text << number;
        value = text.str();
    }
    std::string name;
    std::string value;
};

class Log {
  public:
    Log(std::ostream &out, const std::string &name, Level min_level, LogFormat format = LogFormat::plain);
    ~Log();
    Log(const Log &) = delete;

    template <class... Parts> void operator()(Level level, const Parts &...parts) const {
        if (level < min_level_) return;
        std::ostringstream line;
        (line << ... << parts);
        write_text(level, line.str());
    }
    // Logs an event by its name in docs/events.md.
    void event(Level level, std::string_view name, const std::vector<Field> &fields) const;

  private:
    void write_text(Level level, const std::string &text) const;
    void write(Level level, const std::string &text) const;

    Level min_level_;
    LogFormat format_;
    std::unique_ptr<spdlog::logger> logger_;
};

} // namespace pineridge
