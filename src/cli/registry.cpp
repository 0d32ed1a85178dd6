// `registry dump`, `watch` and `diff`: what a registry holds, what changes in it, and how that differs from
// the list that a router last kept on disk. Each follows the registry as a router does, by the same settings.
#include "cli/commands.hpp"
#include "cli/now.hpp"

#include "membership/access.hpp"
#include "membership/cache.hpp"
#include "settings/read.hpp"
#include "terms/fields.hpp"

#include <chrono>
#include <csignal>
#include <iomanip>
#include <iostream>

namespace pineridge::cli {

namespace {

using namespace membership;

struct Asked {
    std::string settings, known;
    double for_s = 0, wait_s = 5;
};

// Without a configuration the names of zones and kinds are not known: only what needs none is read.
Member read_host(const std::string &, std::string_view value) {
    const json from = json::parse(value, nullptr, false);
    if (!from.is_object()) wrong("value", "not an object");
    Member member{};
    member.entry.id = text(from, "id");
    member.entry.status = word<HostStatus>(
        from, "state", {{"in_service", HostStatus::ready}, {"terminating", HostStatus::draining}});
    member.address = read_address(text(from, "addr"), "addr");
    if (has(from, "version_no")) member.entry.build = whole(from, "version_no");
    return member;
}

const char *name_of(HostStatus standing) {
    return standing == HostStatus::ready ? "ready" : standing == HostStatus::draining ? "draining" : "gone";
}

void print(std::ostream &out, const Record &record) {
    out << record.key << " rev " << record.rev;
    if (record.member)
        out << " " << name_of(record.member->entry.status) << " " << record.member->address << " build "
            << record.member->entry.build;
    else
        out << " unreadable: " << record.fault;
    out << "\n";
}

// Follows a registry on a loop of its own until told to stop.
struct Follow {
    explicit Follow(const Asked &asked)
        : wishes(load_wishes_file(asked.settings)), log(std::cerr, "registry", Level::warning) {
        if (!wishes.registry) throw BadInput(asked.settings + ": registry: missing");
        access = make_access(*wishes.registry);
        Plot plot = make_plot(*wishes.registry, access, read_host, static_cast<std::uint64_t>(clock_now()));
        plot.known_file.clear();
        plot.ends.spread = 0; // a person waits
        source.emplace(io, std::move(plot), read_host, limits, log, static_cast<std::uint64_t>(clock_now()),
                       clock_now, [this](const Listing &listing) {
                           if (told) told(listing);
                       });
    }
    ~Follow() {
        source->stop();
        io.run_for(std::chrono::milliseconds(50));
    }
    // Until the whole has been read.
    const View &read(double wait_s) {
        source->begin();
        const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(wait_s);
        while (!source->view().synced()) {
            if (std::chrono::steady_clock::now() > until)
                throw std::runtime_error("registry: not read within " + std::to_string(wait_s) + " s");
            io.run_one_for(std::chrono::milliseconds(50));
        }
        return source->view();
    }

    const Wishes wishes;
    boost::asio::io_context io;
    const Limits limits{};
    const Log log;
    Access access;
    std::function<void(const Listing &)> told;
    std::optional<Source> source;
};

int dump(const Asked &asked) {
    Follow follow(asked);
    const View &view = follow.read(asked.wait_s);
    std::cout << "revision " << view.revision() << ", age " << view.age() / 10 << " ms, hosts " << view.size()
              << ", unreadable " << view.unreadable() << "\n";
    for (const Record &record : view.records()) print(std::cout, record);
    for (const auto &[key, rev] : view.faulty()) std::cout << key << " rev " << rev << " unreadable\n";
    return 0;
}

int watch(const Asked &asked) {
    Follow follow(asked);
    follow.told = [&](const Listing &listing) {
        for (const Member &member : listing.members)
            std::cout << clock_now() / 10 << " " << member.entry.id << " " << name_of(member.entry.status)
                      << " build " << member.entry.build << std::endl;
    };
    const View &view = follow.read(asked.wait_s);
    std::cout << clock_now() / 10 << " revision " << view.revision() << ", hosts " << view.size()
              << std::endl;
    boost::asio::signal_set signals(follow.io, SIGINT, SIGTERM);
    bool over = false;
    signals.async_wait([&](boost::system::error_code, int) { over = true; });
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(asked.for_s);
    while (!over && (asked.for_s <= 0 || std::chrono::steady_clock::now() < until))
        follow.io.run_one_for(std::chrono::milliseconds(50));
    signals.cancel();
    return 0;
}

// 0: they are the same; 1: they differ.
int diff(const Asked &asked) {
    Follow follow(asked);
    const std::string path = asked.known.empty() ? follow.wishes.registry->known_file : asked.known;
    if (path.empty()) throw BadInput("--known: no file here, nor known-file in the settings");
    const auto bytes = load(path, 64u << 20);
    if (!bytes) throw BadInput(path + ": not there, or over 64 MB");
    std::string why;
    const auto known = unpack(*bytes, follow.wishes.registry->prefix, why);
    if (!known) throw BadInput(path + ": " + why);
    const View &view = follow.read(asked.wait_s);
    std::map<std::string, std::string> kept(known->pairs.begin(), known->pairs.end()), held;
    for (const Record &record : view.records()) held[record.key] = record.value;
    std::cout << "kept: revision " << known->rev << ", age " << clock_now() / 10 - known->written
              << " ms; registry: revision " << view.revision() << "\n";
    int differ = 0;
    for (const auto &[key, value] : kept) {
        const auto at = held.find(key);
        if (at != held.end() && at->second == value) continue;
        ++differ;
        std::cout << (at == held.end() ? "- " : "~ ") << key << " " << value;
        if (at != held.end()) std::cout << " -> " << at->second;
        std::cout << "\n";
    }
    for (const auto &[key, value] : held)
        if (!kept.count(key)) ++differ, std::cout << "+ " << key << " " << value << "\n";
    std::cout << (differ == 0 ? "the same\n" : std::to_string(differ) + " differ\n");
    return differ == 0 ? 0 : 1;
}

} // namespace

Command registry(CLI::App &app) {
    auto asked = std::make_shared<Asked>();
    auto *said = app.add_subcommand("registry", "the registry that the list of hosts comes from");
    said->require_subcommand(1);
    auto *dumped = said->add_subcommand("dump", "what it holds, and at which revision");
    auto *watched = said->add_subcommand("watch", "what changes in it, until a signal");
    auto *compared =
        said->add_subcommand("diff", "what it holds against the list that a router kept on disk");
    for (auto *command : {dumped, watched, compared}) {
        command->add_option("--settings", asked->settings, "our own settings, as XML")
            ->envname("PINERIDGE_SETTINGS")
            ->required();
        command->add_option("--wait-s", asked->wait_s, "for the whole to be read")
            ->check(CLI::PositiveNumber);
    }
    watched->add_option("--for-s", asked->for_s, "ends by itself after so long")->check(CLI::PositiveNumber);
    compared->add_option("--known", asked->known, "the file, else that of the settings");
    return [=]() -> std::optional<int> {
        if (dumped->parsed()) return dump(*asked);
        if (watched->parsed()) return watch(*asked);
        if (compared->parsed()) return diff(*asked);
        return std::nullopt;
    };
}

} // namespace pineridge::cli
