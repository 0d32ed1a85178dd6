#include "membership/blocking/entry_parser.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/basic_parser_impl.hpp>

namespace pineridge::membership::blocking {

namespace {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

// What the parser calls. Depth 1 is the array, 2 an entry; what lies deeper is passed over.
struct Handler {
    static constexpr std::size_t max_object_size = -1, max_array_size = -1, max_key_size = -1,
                                 max_string_size = -1;

    enum class Field { other, key, value, rev };

    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_array_begin(json::error_code &ec) { return step_in(depth == 0 || depth > 1, ec); }
    bool on_array_end(std::size_t, json::error_code &) { return --depth, true; }
    bool on_object_begin(json::error_code &ec) {
        if (depth == 1) entry = {}, long_key = long_value = false;
        return step_in(depth > 0, ec);
    }
    bool on_object_end(std::size_t, json::error_code &ec) {
        if (--depth > 1) return true;
        return finish(ec);
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &) {
        if (depth == 2 && name.size() < 64) name.append(part.data(), std::min<std::size_t>(part.size(), 64));
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &ec) {
        on_key_part(part, 0, ec);
        if (depth == 2)
            field = name == "Key"           ? Field::key
                    : name == "Value"       ? Field::value
                    : name == "ModifyIndex" ? Field::rev
                                            : Field::other;
        name.clear();
        return true;
    }
    bool on_string_part(json::string_view part, std::size_t, json::error_code &) {
        if (depth != 2 || (field != Field::key && field != Field::value)) return true;
        std::string &into = field == Field::key ? entry.key : entry.value;
        bool &over = field == Field::key ? long_key : long_value;
        const std::size_t most = field == Field::key ? most_key : most_value / 3 * 4 + 8;
        if (over || into.size() + part.size() > most) {
            over = true;
            if (field == Field::value) into = {};
            return true;
        }
        into.append(part.data(), part.size());
        return true;
    }
    bool on_string(json::string_view part, std::size_t size, json::error_code &ec) {
        return on_string_part(part, size, ec) && single(ec);
    }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t number, json::string_view, json::error_code &ec) {
        if (depth == 2 && field == Field::rev) entry.rev = number;
        return single(ec);
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &ec) { return single(ec); }
    bool on_double(double, json::string_view, json::error_code &ec) { return single(ec); }
    bool on_bool(bool, json::error_code &ec) { return single(ec); }
    bool on_null(json::error_code &ec) { return single(ec); } // a key without a value
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }

    bool refuse(const char *why, json::error_code &ec) {
        fault = why;
        ec = json::error::syntax;
        return false;
    }
    // A value that is no array and no object stands inside an entry only.
    bool single(json::error_code &ec) { return depth >= 2 || refuse("not an array of entries", ec); }
    bool step_in(bool sound, json::error_code &ec) {
        if (!sound) return refuse("not an array of entries", ec);
        ++depth;
        return true;
    }
    bool finish(json::error_code &ec) {
        if (entry.key.empty() || long_key || entry.rev <= 0)
            return refuse("an entry without a key or an index", ec);
        if (long_value)
            refuse_long();
        else
            decode();
        take(std::move(entry));
        entry = {};
        return true;
    }
    void refuse_long() { entry.fault = "a value over " + std::to_string(most_value) + " bytes"; }
    void decode() {
        while (!entry.value.empty() && entry.value.back() == '=') entry.value.pop_back();
        std::string bytes(base64::decoded_size(entry.value.size()) + 4, '\0');
        const auto [wrote, read] = base64::decode(bytes.data(), entry.value.data(), entry.value.size());
        bytes.resize(wrote);
        if (read != entry.value.size()) entry.fault = "a value that is not base64";
        if (wrote > most_value) refuse_long();
        entry.value = entry.fault.empty() ? std::move(bytes) : std::string();
    }

    EntryParser::Take take;
    std::size_t most_value, most_key;
    int depth = 0;
    Field field = Field::other;
    std::string name{}, fault{};
    Entry entry{};
    bool long_key = false, long_value = false;
};

json::parse_options bounded() {
    json::parse_options options;
    options.max_depth = 16;
    return options;
}

} // namespace

struct EntryParser::State {
    State(Take take, std::size_t most_value, std::size_t most_key)
        : parser(bounded(), Handler{std::move(take), most_value, most_key}) {}
    bool fed(bool more, std::string_view bytes) {
        json::error_code ec;
        const std::size_t read = parser.write_some(more, bytes.data(), bytes.size(), ec);
        if (ec || read < bytes.size()) {
            fault = !parser.handler().fault.empty() ? parser.handler().fault
                    : ec                            ? "not JSON"
                                                    : "more than one document";
            return false;
        }
        return true;
    }
    json::basic_parser<Handler> parser;
    std::string fault;
};

EntryParser::EntryParser(Take take, std::size_t most_value, std::size_t most_key)
    : state_(std::make_unique<State>(std::move(take), most_value, most_key)) {}
EntryParser::~EntryParser() = default;

bool EntryParser::feed(std::string_view bytes) {
    if (!state_->fault.empty()) return false;
    if (state_->parser.done()) {
        if (bytes.find_first_not_of(" \t\r\n") == std::string_view::npos) return true;
        state_->fault = "more than one document";
        return false;
    }
    return state_->fed(true, bytes);
}

bool EntryParser::end() { return state_->fault.empty() && (state_->parser.done() || state_->fed(false, "")); }

const std::string &EntryParser::fault() const { return state_->fault; }

} // namespace pineridge::membership::blocking
