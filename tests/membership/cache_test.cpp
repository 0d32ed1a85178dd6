// Tests that the cached list is read back from disk, or rejected with a reason.
#undef NDEBUG
#include "membership/cache.hpp"

#include <cassert>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pineridge::membership;

namespace {

const CachedList kList{41, 1796140800000, {{"/h/a", "{\"x\":\n1}"}, {"/h/b", ""}}};

std::string rejection(const std::string &bytes, const std::string &prefix = "/h/") {
    std::string why;
    return decode_list(bytes, prefix, why) ? "" : why;
}

void an_encoded_list_is_decoded() {
    std::string why;
    const auto read = decode_list(encode_list(kList, "/h/"), "/h/", why);
    assert(read && read->revision == 41 && read->written_ms == kList.written_ms &&
           read->entries == kList.entries);
}

// A list truncated at any byte, or with any byte changed, is rejected.
void truncated_and_changed_files_are_rejected() {
    const std::string encoded = encode_list(kList, "/h/");
    for (std::size_t at = 0; at < encoded.size(); ++at) {
        assert(!rejection(encoded.substr(0, at)).empty());
        std::string changed = encoded;
        changed[at] = static_cast<char>(changed[at] ^ 1);
        assert(!rejection(changed).empty());
    }
    assert(rejection(encoded, "/other/") == "host list of another prefix");
    assert(rejection("pineridge-list 2 0 0 0 0\n\nxxh64 0000000000000000\n") ==
           "host list of another version");
    assert(rejection("PNG") == "not a host list");
}

void a_file_is_replaced_atomically() {
    const auto directory =
        std::filesystem::temp_directory_path() / ("pineridge-cache-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    const std::string path = (directory / "list").string();
    assert(save_file(path, "one").empty() && load_file(path, 100) == "one");
    assert(save_file(path, "two").empty() && load_file(path, 100) == "two" && !load_file(path, 2));
    // If the temporary file cannot be written, the old file stays and the error is returned.
    std::filesystem::create_directory(path + ".new");
    assert(save_file(path, "three").rfind("open: ", 0) == 0 && load_file(path, 100) == "two");
    std::filesystem::remove_all(directory);
    assert(!save_file(path, "four").empty() && !load_file(path, 100));
}

} // namespace

int main() {
    an_encoded_list_is_decoded();
    truncated_and_changed_files_are_rejected();
    a_file_is_replaced_atomically();
}
