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
constexpr std::size_t kMaxEntries = 100000, kMaxTextBytes = 1 << 20;

std::string checksum_line(std::string_view bytes) {
    char text[32];
    std::snprintf(text, sizeof text, "xxh64 %016llx\n",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text;
}

} // namespace

std::string encode_list(const CachedList &list, const std::string &prefix) {
    std::ostringstream out;
    out << kMagic << ' ' << list.revision << ' ' << list.written_ms << ' ' << list.entries.size() << ' '
        << prefix.size() << '\n'
        << prefix << '\n';
    for (const auto &[key, value] : list.entries)
        out << key.size() << ' ' << value.size() << '\n' << key << value << '\n';
    const std::string body = out.str();
    return body + checksum_line(body);
}

std::optional<CachedList> decode_list(const std::string &bytes, const std::string &prefix, std::string &why) {
    const auto reject = [&](const char *what) {
        why = what;
        return std::nullopt;
    };
    const std::size_t checksum_size = checksum_line("").size();
    if (bytes.size() < checksum_size || bytes.rfind("pineridge-list ", 0) != 0)
        return reject("not a host list");
    if (bytes.rfind(std::string(kMagic) + ' ', 0) != 0) return reject("host list of another version");
    const std::string body = bytes.substr(0, bytes.size() - checksum_size);
    if (bytes.substr(body.size()) != checksum_line(body))
        return reject("truncated or changed: checksum mismatch");
    std::istringstream in(body.substr(sizeof kMagic - 1));
    CachedList list;
    std::size_t count = 0, size = 0;
    if (!(in >> list.revision >> list.written_ms >> count >> size) || count > kMaxEntries ||
        size > kMaxTextBytes || in.get() != '\n')
        return reject("unreadable header");
    const auto text = [&](std::size_t length) {
        std::string read(length, '\0');
        in.read(read.data(), static_cast<std::streamsize>(length));
        return read;
    };
    if (text(size) != prefix || in.get() != '\n') return reject("host list of another prefix");
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t key = 0, value = 0;
        if (!(in >> key >> value) || key > kMaxTextBytes || value > kMaxTextBytes || in.get() != '\n')
            return reject("unreadable entry");
        std::string name = text(key);
        list.entries.emplace_back(std::move(name), text(value));
        if (!in || in.get() != '\n') return reject("unreadable entry");
    }
    return list;
}

std::string save_file(const std::string &path, const std::string &bytes) {
    const std::string temporary = path + ".new";
    const auto failed = [&](const char *what) { return std::string(what) + ": " + std::strerror(errno); };
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return failed("open");
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const ssize_t written = ::write(file, bytes.data() + offset, bytes.size() - offset);
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) {
            const std::string why = failed("write");
            ::close(file);
            ::unlink(temporary.c_str());
            return why;
        }
        offset += static_cast<std::size_t>(written);
    }
    const bool synced = ::fsync(file) == 0;
    const std::string why = synced ? "" : failed("fsync");
    ::close(file);
    if (!synced) {
        ::unlink(temporary.c_str());
        return why;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) return failed("rename");
    const int directory =
        ::open(std::filesystem::path(path).parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (directory >= 0) {
        ::fsync(directory); // without it, a crash may bring back the old list, which is valid too
        ::close(directory);
    }
    return "";
}

std::optional<std::string> load_file(const std::string &path, std::size_t max_bytes) {
    std::error_code failed;
    const auto size = std::filesystem::file_size(path, failed);
    if (failed || size > max_bytes) return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream bytes;
    if (!file || !(bytes << file.rdbuf())) return std::nullopt;
    return bytes.str();
}

} // namespace pineridge::membership
