// The last known list on disk: read back, or refused with a reason.
#undef NDEBUG
#include "membership/cache.hpp"

#include <cassert>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pineridge::membership;

namespace {

const CachedList kList{41, 1796140800000, {{"/h/a", "{\"x\":\n1}"}, {"/h/b", ""}}};

std::string refusal(const std::string &bytes, const std::string &prefix = "/h/") {
    std::string why;
    return decode_list(bytes, prefix, why) ? "" : why;
}

void what_was_packed_is_read() {
    std::string why;
    const auto read = decode_list(encode_list(kList, "/h/"), "/h/", why);
    assert(read && read->revision == 41 && read->written_ms == kList.written_ms &&
           read->entries == kList.entries);
}

// Cut anywhere, or with any byte changed, it is no list.
void torn_and_changed_files_are_refused() {
    const std::string good = encode_list(kList, "/h/");
    for (std::size_t at = 0; at < good.size(); ++at) {
        assert(!refusal(good.substr(0, at)).empty());
        std::string changed = good;
        changed[at] = static_cast<char>(changed[at] ^ 1);
        assert(!refusal(changed).empty());
    }
    assert(refusal(good, "/other/") == "host list of another prefix");
    assert(refusal("pineridge-list 2 0 0 0 0\n\nxxh64 0000000000000000\n") == "host list of another version");
    assert(refusal("PNG") == "not a host list");
}

void a_file_is_replaced_as_a_whole() {
    const auto folder =
        std::filesystem::temp_directory_path() / ("pineridge-cache-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string path = (folder / "list").string();
    assert(save_file(path, "one").empty() && load_file(path, 100) == "one");
    assert(save_file(path, "two").empty() && load_file(path, 100) == "two" && !load_file(path, 2));
    // Where it cannot be written beside, the old one stays and the fault is told.
    std::filesystem::create_directory(path + ".new");
    assert(save_file(path, "three").rfind("open: ", 0) == 0 && load_file(path, 100) == "two");
    std::filesystem::remove_all(folder);
    assert(!save_file(path, "four").empty() && !load_file(path, 100));
}

} // namespace

int main() {
    what_was_packed_is_read();
    torn_and_changed_files_are_refused();
    a_file_is_replaced_as_a_whole();
}
