#include "membership/value.hpp"

namespace pineridge::membership {

Record make_record(const ReadValue &read, std::string key, std::int64_t rev, std::string_view value) {
    Record record;
    record.key = std::move(key);
    record.revision = rev;
    try {
        record.member = read(record.key, value);
        record.value = value;
    } catch (const std::exception &error) {
        record.error = error.what();
    }
    return record;
}

} // namespace pineridge::membership
