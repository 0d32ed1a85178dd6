#include "membership/blocking/entry_parser.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/basic_parser_impl.hpp>

namespace pineridge::membership::blocking {

namespace {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

// Receives the events of the JSON parser. Depth 1 is the array and depth 2 an entry; deeper values are
// skipped.
struct Handler {
    static constexpr std::size_t max_object_size = -1, max_array_size = -1, max_key_size = -1,
                                 max_string_size = -1;

    // The rest of a longer field name is dropped: the names that the parser looks for are shorter.
    static constexpr std::size_t kMaxFieldNameBytes = 64;

    enum class Field { other, key, value, modify_index };

    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_array_begin(json::error_code &ec) { return enter(depth == 0 || depth > 1, ec); }
    bool on_array_end(std::size_t, json::error_code &) {
        --depth;
        return true;
    }
    bool on_object_begin(json::error_code &ec) {
        if (depth == 1) {
            entry = {};
            key_too_long = value_too_long = false;
        }
        return enter(depth > 0, ec);
    }
    bool on_object_end(std::size_t, json::error_code &ec) {
        if (--depth > 1) return true;
        return finish_entry(ec);
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &) {
        if (depth == 2 && field_name.size() < kMaxFieldNameBytes)
            field_name.append(part.data(), std::min<std::size_t>(part.size(), kMaxFieldNameBytes));
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &ec) {
        on_key_part(part, 0, ec);
        if (depth == 2)
            field = field_name == "Key"           ? Field::key
                    : field_name == "Value"       ? Field::value
                    : field_name == "ModifyIndex" ? Field::modify_index
                                                  : Field::other;
        field_name.clear();
        return true;
    }
    bool on_string_part(json::string_view part, std::size_t, json::error_code &) {
        if (depth != 2 || (field != Field::key && field != Field::value)) return true;
        std::string &text = field == Field::key ? entry.key : entry.value;
        bool &too_long = field == Field::key ? key_too_long : value_too_long;
        const std::size_t max_size = field == Field::key ? max_key_bytes : max_value_bytes / 3 * 4 + 8;
        if (too_long || text.size() + part.size() > max_size) {
            too_long = true;
            if (field == Field::value) text = {};
            return true;
        }
        text.append(part.data(), part.size());
        return true;
    }
    bool on_string(json::string_view part, std::size_t size, json::error_code &ec) {
        return on_string_part(part, size, ec) && accept_scalar(ec);
    }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t number, json::string_view, json::error_code &ec) {
        if (depth == 2 && field == Field::modify_index) entry.modify_index = number;
        return accept_scalar(ec);
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &ec) { return accept_scalar(ec); }
    bool on_double(double, json::string_view, json::error_code &ec) { return accept_scalar(ec); }
    bool on_bool(bool, json::error_code &ec) { return accept_scalar(ec); }
    bool on_null(json::error_code &ec) { return accept_scalar(ec); } // the Value of a key without one
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }

    bool reject(const char *reason, json::error_code &ec) {
        error = reason;
        ec = json::error::syntax;
        return false;
    }
    // A scalar is valid only inside an entry.
    bool accept_scalar(json::error_code &ec) {
        return depth >= 2 || reject("body is not a JSON array of entries", ec);
    }
    bool enter(bool allowed, json::error_code &ec) {
        if (!allowed) return reject("body is not a JSON array of entries", ec);
        ++depth;
        return true;
    }
    bool finish_entry(json::error_code &ec) {
        if (entry.key.empty() || key_too_long || entry.modify_index <= 0)
            return reject("entry without a valid Key or ModifyIndex", ec);
        if (value_too_long)
            mark_value_too_long();
        else
            decode_value();
        on_entry(std::move(entry));
        entry = {};
        return true;
    }
    void mark_value_too_long() {
        entry.error = "value longer than " + std::to_string(max_value_bytes) + " bytes";
    }
    void decode_value() {
        while (!entry.value.empty() && entry.value.back() == '=') entry.value.pop_back();
        std::string bytes(base64::decoded_size(entry.value.size()) + 4, '\0');
        const auto [written, read] = base64::decode(bytes.data(), entry.value.data(), entry.value.size());
        bytes.resize(written);
        if (read != entry.value.size()) entry.error = "value is not valid base64";
        if (written > max_value_bytes) mark_value_too_long();
        entry.value = entry.error.empty() ? std::move(bytes) : std::string();
    }

    EntryParser::EntryHandler on_entry;
    std::size_t max_value_bytes, max_key_bytes;
    int depth = 0;
    Field field = Field::other;
    std::string field_name{}, error{};
    Entry entry{};
    bool key_too_long = false, value_too_long = false;
};

constexpr std::size_t kMaxDepth = 16; // of nested JSON values

json::parse_options options_with_max_depth() {
    json::parse_options options;
    options.max_depth = kMaxDepth;
    return options;
}

} // namespace

struct EntryParser::State {
    State(EntryHandler on_entry, std::size_t max_value_bytes, std::size_t max_key_bytes)
        : parser(options_with_max_depth(), Handler{std::move(on_entry), max_value_bytes, max_key_bytes}) {}
    bool parse(bool more, std::string_view bytes) {
        json::error_code ec;
        const std::size_t read = parser.write_some(more, bytes.data(), bytes.size(), ec);
        if (ec || read < bytes.size()) {
            error = !parser.handler().error.empty() ? parser.handler().error
                    : ec                            ? "not JSON"
                                                    : "more than one JSON document";
            return false;
        }
        return true;
    }
    json::basic_parser<Handler> parser;
    std::string error;
};

EntryParser::EntryParser(EntryHandler on_entry, std::size_t max_value_bytes, std::size_t max_key_bytes)
    : state_(std::make_unique<State>(std::move(on_entry), max_value_bytes, max_key_bytes)) {}
EntryParser::~EntryParser() = default;

bool EntryParser::feed(std::string_view bytes) {
    if (!state_->error.empty()) return false;
    if (state_->parser.done()) {
        if (bytes.find_first_not_of(" \t\r\n") == std::string_view::npos) return true;
        state_->error = "more than one JSON document";
        return false;
    }
    return state_->parse(true, bytes);
}

bool EntryParser::end() {
    return state_->error.empty() && (state_->parser.done() || state_->parse(false, ""));
}

const std::string &EntryParser::error() const { return state_->error; }

} // namespace pineridge::membership::blocking
