// Log lines, those at or above a level, through spdlog onto an ostream; each is flushed when written. Plain:
// `n3 info: text` and, for events, `n3 info: release.stage build=7 zone=a`. JSON: an object a line.
// Not for several threads. The stream must outlive the log.
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
enum class Form { plain, json };

struct Field {
    Field(std::string_view key, std::string_view text) : name(key), value(text) {}
    Field(std::string_view key, const char *text) : name(key), value(text) {}
    Field(std::string_view key, const std::string &text) : name(key), value(text) {}
    template <class Number> Field(std::string_view key, Number number) : name(key) {
        std::ostringstream text;
        text << number;
        value = text.str();
    }
    std::string name, value;
};

class Log {
  public:
    Log(std::ostream &out, const std::string &name, Level least, Form form = Form::plain);
    ~Log();
    Log(const Log &) = delete;

    template <class... Parts> void operator()(Level level, const Parts &...parts) const {
        if (level < least_) return;
        std::ostringstream line;
        (line << ... << parts);
        say(level, line.str());
    }
    // A change worth counting, by its name in docs/events.md.
    void event(Level level, std::string_view name, const std::vector<Field> &fields) const;

  private:
    void say(Level level, const std::string &text) const;
    void write(Level level, const std::string &text) const;

    Level least_;
    Form form_;
    std::unique_ptr<spdlog::logger> logger_;
};

} // namespace pineridge
