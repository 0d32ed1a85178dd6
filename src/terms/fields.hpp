// Reads fields of JSON objects; a complaint names the field.
#pragma once

#include "base/bad_input.hpp"
#include "logic.hpp"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace pineridge {

using nlohmann::json;

[[noreturn]] void wrong(const std::string &field, const char *what);
const json &need(const json &from, const char *field);
bool has(const json &from, const char *field);
double number(const json &from, const char *field);
int whole(const json &from, const char *field);
int place(const json &from, const char *field, std::size_t size);
bool flag(const json &from, const char *field);
bool mark(const json &from, const char *field);
std::string text(const json &from, const char *field);
const json &list(const json &from, const char *field);
std::vector<double> numbers(const json &from, const char *field);
Ticks ticks_down(double seconds);
Ticks ticks(const json &from, const char *field);

template <class T>
T word(const json &from, const char *field, std::initializer_list<std::pair<const char *, T>> words) {
    const std::string read = text(from, field);
    for (const auto &[name, value] : words)
        if (read == name) return value;
    wrong(field, "unknown word");
}

} // namespace pineridge
