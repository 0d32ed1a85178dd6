// Reads the fields of JSON objects with type checks. A read function throws BadInput that names the field.
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

[[noreturn]] void throw_field_error(const std::string &field, const char *fault);

// The field's value, which must be present and not null.
const json &required_field(const json &object, const char *field);
// True if the field is present and not null.
bool has_field(const json &object, const char *field);

// Each reads a required field of one type.
double read_number(const json &object, const char *field); // finite, at most 1e11 either way
int read_int(const json &object, const char *field);
int read_index(const json &object, const char *field, std::size_t size); // from 0 to size - 1
bool read_bool(const json &object, const char *field);
std::string read_string(const json &object, const char *field);
const json &read_array(const json &object, const char *field);
std::vector<double> read_numbers(const json &object, const char *field);
Ticks read_ticks(const json &object, const char *field); // from seconds

bool read_optional_bool(const json &object, const char *field); // false where it is absent

Ticks ticks_from_seconds(double seconds); // rounds down

// Reads a required string field that names a value of an enumeration.
template <class T>
T read_enum(const json &object, const char *field, std::initializer_list<std::pair<const char *, T>> values) {
    const std::string name = read_string(object, field);
    for (const auto &[known_name, value] : values)
        if (name == known_name) return value;
    throw_field_error(field, "unknown value");
}

} // namespace pineridge
