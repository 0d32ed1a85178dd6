// The body of a blocking query, read as it comes: a JSON array of objects with Key, Value (base64) and
// ModifyIndex, as Consul's KV API tells them. Whole bodies are never held: a value or a key beyond its bound
// is passed over while it comes, and its entry told as one that cannot be read.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pineridge::membership::blocking {

struct Entry {
    std::string key;
    std::int64_t rev = 0;
    std::string value{}; // as bytes
    std::string fault{}; // why the value cannot be used
};

class EntryParser {
  public:
    using Take = std::function<void(Entry)>;

    EntryParser(Take take, std::size_t most_value = 64 * 1024, std::size_t most_key = 1024);
    ~EntryParser();
    EntryParser(const EntryParser &) = delete;

    bool feed(std::string_view bytes); // false: not such an array, and `fault` says why
    bool end(); // true: the array was whole
    const std::string &fault() const;

    struct State;

  private:
    std::unique_ptr<State> state_;
};

} // namespace pineridge::membership::blocking
