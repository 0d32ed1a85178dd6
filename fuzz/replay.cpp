// Replays a corpus through a fuzz target: each file whole, truncated at evenly spread places, and with one
// byte changed, always in the same order. It prints each file name before the file is replayed, so that a
// crash shows its input.
#include "target.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr std::size_t kMaxCutsPerFile = 400;

void replay(const std::string &bytes) {
    // A copy of exactly this size lets a sanitizer detect reads past its end.
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    LLVMFuzzerTestOneInput(copy.data(), copy.size());
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(argv[1])) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    std::size_t variants = 0;
    for (const auto &path : files) {
        std::ostringstream text;
        text << std::ifstream(path, std::ios::binary).rdbuf();
        const std::string bytes = text.str();
        std::cerr << path.filename().string() << std::endl;
        replay(bytes);
        const std::size_t step = std::max<std::size_t>(1, bytes.size() / kMaxCutsPerFile);
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            replay(bytes.substr(0, at));
            std::string changed = bytes;
            changed[at] = static_cast<char>(changed[at] ^ (1 << at % 8));
            replay(changed);
            variants += 2;
        }
    }
    std::cout << files.size() << " files, " << variants << " variants\n";
    return files.empty() ? 1 : 0;
}
