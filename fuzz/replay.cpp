// Plays a corpus through a fuzz target: each file whole, each cut of it, and each with one byte changed, in a
// fixed order. Names what it was at when the target ends the program.
#include "target.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr std::size_t kMostCuts = 400; // of one file, evenly spread

void play(const std::string &bytes) {
    // A copy of its own size: what reads past its end is seen by a sanitizer.
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    LLVMFuzzerTestOneInput(copy.data(), copy.size());
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(argv[1])) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    std::size_t played = 0;
    for (const auto &path : files) {
        std::ostringstream text;
        text << std::ifstream(path, std::ios::binary).rdbuf();
        const std::string bytes = text.str();
        std::cerr << path.filename().string() << std::endl;
        play(bytes);
        const std::size_t step = std::max<std::size_t>(1, bytes.size() / kMostCuts);
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            play(bytes.substr(0, at));
            std::string other = bytes;
            other[at] = static_cast<char>(other[at] ^ (1 << at % 8));
            play(other);
            played += 2;
        }
    }
    std::cout << files.size() << " files, " << played << " variants\n";
    return files.empty() ? 1 : 0;
}
