#include "membership/cache.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace pineridge::membership {

namespace {

constexpr char kMagic[] = "pineridge-list 1";
constexpr std::size_t kMostPairs = 100000, kMostText = 1 << 20;

std::string sum_of(std::string_view bytes) {
    char text[32];
    std::snprintf(text, sizeof text, "xxh64 %016llx\n",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text;
}

} // namespace

std::string pack(const Known &known, const std::string &prefix) {
    std::ostringstream out;
    out << kMagic << ' ' << known.rev << ' ' << known.written << ' ' << known.pairs.size() << ' '
        << prefix.size() << '\n'
        << prefix << '\n';
    for (const auto &[key, value] : known.pairs)
        out << key.size() << ' ' << value.size() << '\n' << key << value << '\n';
    const std::string body = out.str();
    return body + sum_of(body);
}

std::optional<Known> unpack(const std::string &bytes, const std::string &prefix, std::string &why) {
    const auto no = [&](const char *what) {
        why = what;
        return std::nullopt;
    };
    const std::size_t sum = sum_of("").size();
    if (bytes.size() < sum || bytes.rfind("pineridge-list ", 0) != 0) return no("not a list");
    if (bytes.rfind(std::string(kMagic) + ' ', 0) != 0) return no("a list of another version");
    const std::string body = bytes.substr(0, bytes.size() - sum);
    if (bytes.substr(body.size()) != sum_of(body)) return no("torn or changed: its checksum does not fit");
    std::istringstream in(body.substr(sizeof kMagic - 1));
    Known known;
    std::size_t count = 0, size = 0;
    if (!(in >> known.rev >> known.written >> count >> size) || count > kMostPairs || size > kMostText ||
        in.get() != '\n')
        return no("a head that cannot be read");
    const auto text = [&](std::size_t length) {
        std::string read(length, '\0');
        in.read(read.data(), static_cast<std::streamsize>(length));
        return read;
    };
    if (text(size) != prefix || in.get() != '\n') return no("a list of another prefix");
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t key = 0, value = 0;
        if (!(in >> key >> value) || key > kMostText || value > kMostText || in.get() != '\n')
            return no("an entry that cannot be read");
        std::string name = text(key);
        known.pairs.emplace_back(std::move(name), text(value));
        if (!in || in.get() != '\n') return no("an entry that cannot be read");
    }
    return known;
}

std::string save(const std::string &path, const std::string &bytes) {
    const std::string beside = path + ".new";
    const auto failed = [&](const char *what) { return std::string(what) + ": " + std::strerror(errno); };
    const int file = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return failed("open");
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t wrote = ::write(file, bytes.data() + at, bytes.size() - at);
        if (wrote < 0 && errno == EINTR) continue;
        if (wrote <= 0) {
            const std::string why = failed("write");
            ::close(file);
            ::unlink(beside.c_str());
            return why;
        }
        at += static_cast<std::size_t>(wrote);
    }
    const bool synced = ::fsync(file) == 0;
    const std::string why = synced ? "" : failed("fsync");
    ::close(file);
    if (!synced) {
        ::unlink(beside.c_str());
        return why;
    }
    if (::rename(beside.c_str(), path.c_str()) != 0) return failed("rename");
    const int folder =
        ::open(std::filesystem::path(path).parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder >= 0) {
        ::fsync(folder); // a rename that is lost leaves the old list, which is sound too
        ::close(folder);
    }
    return "";
}

std::optional<std::string> load(const std::string &path, std::size_t most) {
    std::error_code failed;
    const auto size = std::filesystem::file_size(path, failed);
    if (failed || size > most) return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream bytes;
    if (!file || !(bytes << file.rdbuf())) return std::nullopt;
    return bytes.str();
}

} // namespace pineridge::membership
