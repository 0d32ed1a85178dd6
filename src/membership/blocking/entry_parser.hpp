// Parses the body of a response to a blocking query as it arrives: a JSON array of objects with the fields
// Key, Value (base64) and ModifyIndex, as Consul's KV API returns it. The parser never holds a whole body: a
// value longer than its limit is skipped, and its entry carries an error instead. A key longer than its limit
// makes the whole body invalid.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pineridge::membership::blocking {

struct Entry {
    std::string key;
    std::int64_t modify_index = 0;
    std::string value{}; // decoded from base64
    std::string error{}; // why the value is unusable; empty if it is usable
};

class EntryParser {
  public:
    using EntryHandler = std::function<void(Entry)>;

    // Calls `on_entry` for each entry as soon as it is complete.
    EntryParser(EntryHandler on_entry, std::size_t max_value_bytes = 64 * 1024,
                std::size_t max_key_bytes = 1024);
    ~EntryParser();
    EntryParser(const EntryParser &) = delete;

    // Returns false if the body is not such an array; `error` then gives the reason.
    bool feed(std::string_view bytes);
    // Ends the body. Returns true if the array was complete.
    bool end();
    const std::string &error() const;

    struct State;

  private:
    std::unique_ptr<State> state_;
};

} // namespace pineridge::membership::blocking
