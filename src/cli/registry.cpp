// `registry dump`, `watch` and `diff`: print the registry's hosts, their changes, and the differences from
// the host list that a router cached on disk. Each follows the registry as a router does, with the same
// settings.
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

struct Options {
    std::string settings_file;
    std::string cache_file;
    double for_s = 0; // 0: until a signal
    double wait_s = 5;
};

// The names of zones and kinds come from a configuration, which this command does not have, so a host's zone
// and kind are not read.
Member read_host(const std::string &, std::string_view value) {
    const json from = json::parse(value, nullptr, false);
    if (!from.is_object()) throw_field_error("value", "not an object");
    Member member{};
    member.entry.id = read_string(from, "id");
    member.entry.status = read_enum<HostStatus>(
        from, "state", {{"in_service", HostStatus::ready}, {"terminating", HostStatus::draining}});
    member.address = read_address(read_string(from, "addr"), "addr");
    if (has_field(from, "version_no")) member.entry.build = read_int(from, "version_no");
    return member;
}

const char *name_of(HostStatus status) {
    return status == HostStatus::ready ? "ready" : status == HostStatus::draining ? "draining" : "gone";
}

void print(std::ostream &out, const Record &record) {
    out << record.key << " rev " << record.revision;
    if (record.member)
        out << " " << name_of(record.member->entry.status) << " " << record.member->address << " build "
            << record.member->entry.build;
    else
        out << " unreadable: " << record.error;
    out << "\n";
}

// Follows a registry on its own event loop for as long as it exists.
struct RegistryFollower {
    explicit RegistryFollower(const Options &options)
        : settings(load_settings_file(options.settings_file)), log(std::cerr, "registry", Level::warning) {
        if (!settings.registry) throw BadInput(options.settings_file + ": registry: missing");
        access = make_registry_access(*settings.registry);
        SourceOptions source_options = make_source_options(*settings.registry, access, read_host,
                                                           static_cast<std::uint64_t>(clock_now()));
        source_options.cache_file.clear();
        source_options.endpoint_rules.read_spread = 0; // an operator waits for the result
        source.emplace(io, std::move(source_options), read_host, limits, log,
                       static_cast<std::uint64_t>(clock_now()), clock_now, [this](const Listing &listing) {
                           if (on_listing) on_listing(listing);
                       });
    }
    ~RegistryFollower() {
        source->stop();
        io.run_for(std::chrono::milliseconds(50));
    }
    // Runs until the registry has been read in full. Throws std::runtime_error after `wait_s`.
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

    const Settings settings;
    boost::asio::io_context io;
    const Limits limits{};
    const Log log;
    RegistryAccess access;
    std::function<void(const Listing &)> on_listing;
    std::optional<Source> source;
};

int dump(const Options &options) {
    RegistryFollower follower(options);
    const View &view = follower.read(options.wait_s);
    std::cout << "revision " << view.revision() << ", age " << view.age() / 10 << " ms, hosts "
              << view.host_count() << ", unreadable " << view.unreadable_count() << "\n";
    for (const Record &record : view.records()) print(std::cout, record);
    for (const auto &[key, rev] : view.unreadable_keys())
        std::cout << key << " rev " << rev << " unreadable\n";
    return 0;
}

int watch(const Options &options) {
    RegistryFollower follower(options);
    follower.on_listing = [&](const Listing &listing) {
        for (const Member &member : listing.members)
            std::cout << clock_now() / 10 << " " << member.entry.id << " " << name_of(member.entry.status)
                      << " build " << member.entry.build << std::endl;
    };
    const View &view = follower.read(options.wait_s);
    std::cout << clock_now() / 10 << " revision " << view.revision() << ", hosts " << view.host_count()
              << std::endl;
    boost::asio::signal_set signals(follower.io, SIGINT, SIGTERM);
    bool stopped = false;
    signals.async_wait([&](boost::system::error_code, int) { stopped = true; });
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(options.for_s);
    while (!stopped && (options.for_s <= 0 || std::chrono::steady_clock::now() < until))
        follower.io.run_one_for(std::chrono::milliseconds(50));
    signals.cancel();
    return 0;
}

// Returns 0 if registry and cached list are the same, and 1 if they differ.
int diff(const Options &options) {
    RegistryFollower follower(options);
    const std::string path =
        options.cache_file.empty() ? follower.settings.registry->cache_file : options.cache_file;
    if (path.empty()) throw BadInput("--known: not given, and the settings have no known-file");
    const auto bytes = load_file(path, 64u << 20);
    if (!bytes) throw BadInput(path + ": missing, or over 64 MB");
    std::string why;
    const auto cached = decode_list(*bytes, follower.settings.registry->prefix, why);
    if (!cached) throw BadInput(path + ": " + why);
    const View &view = follower.read(options.wait_s);
    std::map<std::string, std::string> cached_values(cached->entries.begin(), cached->entries.end());
    std::map<std::string, std::string> registry_values;
    for (const Record &record : view.records()) registry_values[record.key] = record.value;
    std::cout << "cached: revision " << cached->revision << ", age " << clock_now() / 10 - cached->written_ms
              << " ms; registry: revision " << view.revision() << "\n";
    int differences = 0;
    for (const auto &[key, value] : cached_values) {
        const auto at = registry_values.find(key);
        if (at != registry_values.end() && at->second == value) continue;
        ++differences;
        std::cout << (at == registry_values.end() ? "- " : "~ ") << key << " " << value;
        if (at != registry_values.end()) std::cout << " -> " << at->second;
        std::cout << "\n";
    }
    for (const auto &[key, value] : registry_values)
        if (!cached_values.count(key)) {
            ++differences;
            std::cout << "+ " << key << " " << value << "\n";
        }
    std::cout << (differences == 0 ? "the same\n" : std::to_string(differences) + " differ\n");
    return differences == 0 ? 0 : 1;
}

} // namespace

Command registry(CLI::App &app) {
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("registry", "inspects the registry that holds the list of hosts");
    command->require_subcommand(1);
    auto *dump_command = command->add_subcommand("dump", "prints its hosts and its revision");
    auto *watch_command = command->add_subcommand("watch", "prints its changes until a signal");
    auto *diff_command =
        command->add_subcommand("diff", "compares its hosts with the list that a router cached on disk");
    for (auto *subcommand : {dump_command, watch_command, diff_command}) {
        subcommand->add_option("--settings", options->settings_file, "settings file, as XML")
            ->envname("PINERIDGE_SETTINGS")
            ->required();
        subcommand->add_option("--wait-s", options->wait_s, "seconds to wait for a full read")
            ->check(CLI::PositiveNumber);
    }
    watch_command->add_option("--for-s", options->for_s, "seconds after which the command ends")
        ->check(CLI::PositiveNumber);
    diff_command->add_option("--known", options->cache_file,
                             "the cached list; by default that of the settings");
    return [=]() -> std::optional<int> {
        if (dump_command->parsed()) return dump(*options);
        if (watch_command->parsed()) return watch(*options);
        if (diff_command->parsed()) return diff(*options);
        return std::nullopt;
    };
}

} // namespace pineridge::cli
