#include "terms/fields.hpp"

#include <cmath>

namespace pineridge {

void throw_field_error(const std::string &field, const char *fault) { throw BadInput(field + ": " + fault); }

const json &required_field(const json &object, const char *field) {
    if (!object.is_object()) throw_field_error(field, "its parent is not an object");
    const auto at = object.find(field);
    if (at == object.end() || at->is_null()) throw_field_error(field, "missing");
    return *at;
}

bool has_field(const json &object, const char *field) {
    const auto at = object.find(field);
    return at != object.end() && !at->is_null();
}

double read_number(const json &object, const char *field) {
    const json &value = required_field(object, field);
    if (!value.is_number()) throw_field_error(field, "not a number");
    const double number = value.get<double>();
    if (!std::isfinite(number) || std::abs(number) > 1e11) throw_field_error(field, "out of range");
    return number;
}

int read_int(const json &object, const char *field) {
    const json &value = required_field(object, field);
    if (!value.is_number_integer()) throw_field_error(field, "not an integer");
    const double number = value.get<double>();
    if (std::abs(number) > 2e9) throw_field_error(field, "out of range");
    return static_cast<int>(number);
}

int read_index(const json &object, const char *field, std::size_t size) {
    const int index = read_int(object, field);
    if (index < 0 || static_cast<std::size_t>(index) >= size) throw_field_error(field, "out of range");
    return index;
}

bool read_bool(const json &object, const char *field) {
    const json &value = required_field(object, field);
    if (!value.is_boolean()) throw_field_error(field, "not true or false");
    return value.get<bool>();
}

bool read_optional_bool(const json &object, const char *field) {
    return has_field(object, field) && read_bool(object, field);
}

std::string read_string(const json &object, const char *field) {
    const json &value = required_field(object, field);
    if (!value.is_string()) throw_field_error(field, "not a string");
    return value.get<std::string>();
}

const json &read_array(const json &object, const char *field) {
    const json &value = required_field(object, field);
    if (!value.is_array()) throw_field_error(field, "not an array");
    return value;
}

std::vector<double> read_numbers(const json &object, const char *field) {
    std::vector<double> numbers;
    for (const json &value : read_array(object, field)) {
        if (!value.is_number()) throw_field_error(field, "contains an element that is not a number");
        numbers.push_back(value.get<double>());
    }
    return numbers;
}

// Times in messages have a resolution of microseconds. Rounding to that first avoids reading 8.0051
// as 8.0050999.
Ticks ticks_from_seconds(double seconds) {
    return std::llround(std::floor(std::round(seconds * 1e6) / 100.0));
}

Ticks read_ticks(const json &object, const char *field) {
    return ticks_from_seconds(read_number(object, field));
}

} // namespace pineridge
