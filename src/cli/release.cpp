// `release status` and `release freeze` call the release desk; `release plan` computes a plan from the
// settings alone.
#include "cli/commands.hpp"
#include "cli/now.hpp"

#include "net/http/connection.hpp"
#include "release/plan.hpp"
#include "release/wire.hpp"
#include "settings/read.hpp"
#include "terms/fields.hpp"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>

namespace pineridge::cli {

namespace {

struct Options {
    std::string settings_file;
    std::string desk;
    std::string service;
    std::string zone;
    std::string customer;
    std::string id;
    std::string until;
    std::string at;
    int build = 0;
    bool lift = false;
};

ReleaseSettings load_release_settings(const Options &options) {
    const Settings settings = load_settings_file(options.settings_file);
    if (!settings.release) throw BadInput(options.settings_file + ": release: missing");
    return *settings.release;
}

std::string call_desk(const std::string &desk, const char *method, const char *path,
                      const std::string &body) {
    if (desk.empty()) throw BadInput("--desk: not given, and the settings have no desk");
    const Limits limits{};
    boost::asio::io_context io(1);
    http::Connection link(io, read_address(desk, "desk"), limits);
    http::Response answer(limits.max_http_head_bytes, limits.max_snapshot_bytes);
    http::CallResult result = http::CallResult::not_sent;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            result = co_await link.request(method, path, body, limits.desk_snapshot_timeout, false, answer);
        },
        boost::asio::detached);
    io.run();
    if (result == http::CallResult::unknown)
        throw std::runtime_error("desk: no complete answer; the request may or may not have taken effect");
    if (result == http::CallResult::not_sent) throw std::runtime_error("desk: not reached at " + desk);
    if (answer.status() != 200)
        throw std::runtime_error("desk: status " + std::to_string(answer.status()) + ": " + answer.body());
    return answer.body();
}

void print_cells(const release::Plan &plan, const BuildName &build) {
    const ReleaseSettings &settings = plan.scheme();
    std::cout << std::left << std::setw(14) << "  zone" << std::setw(16) << "customer" << std::setw(6)
              << "wave" << std::setw(7) << "told" << std::setw(7) << "stage" << std::setw(8) << "share"
              << "\n";
    for (int cell = 0; cell < static_cast<int>(settings.cell_count()); ++cell)
        std::cout << "  " << std::setw(12) << settings.zones[settings.zone_of(cell)].name << std::setw(16)
                  << settings.customers[settings.customer_of(cell)].name << std::setw(6)
                  << plan.wave(build, cell) + 1 << std::setw(7) << plan.desk_stage(build, cell)
                  << std::setw(7) << plan.stage(build, cell) << std::setw(8) << plan.share(build, cell)
                  << (plan.frozen(build.service, cell) ? "frozen" : "") << "\n";
}

int status(const Options &options) {
    const ReleaseSettings settings = load_release_settings(options);
    const std::string desk = options.desk.empty() ? settings.desk : options.desk;
    const release::Snapshot snapshot =
        release::read_snapshot(call_desk(desk, "GET", "/release/v1/snapshot", ""), settings.released_stage());
    release::Plan plan(settings);
    plan.set_time(clock_now());
    plan.apply_snapshot(snapshot);
    std::cout << "desk " << desk << ", revision " << snapshot.rev << "\n";
    for (const auto &entry : snapshot.entries)
        if (entry.kind == release::Update::Kind::freeze)
            std::cout << "freeze " << entry.freeze.id << ": zone "
                      << (entry.freeze.zone.empty() ? "all" : entry.freeze.zone) << ", customer "
                      << (entry.freeze.customer.empty() ? "all" : entry.freeze.customer) << ", service "
                      << (entry.freeze.service.empty() ? "all" : entry.freeze.service) << "\n";
    for (const BuildName &build : plan.builds()) {
        std::cout << "build " << build.text() << (plan.pulled(build) ? " pulled" : "");
        if (const std::string why = plan.refusal(build); !why.empty()) std::cout << " refused: " << why;
        std::cout << "\n";
        if (!plan.pulled(build)) print_cells(plan, build);
    }
    return 0;
}

// Prints the build's cells wave by wave, with the caps and freezes that apply at that time.
int plan(const Options &options) {
    ReleaseSettings settings = load_release_settings(options);
    const Ticks at = options.at.empty() ? clock_now() : read_timestamp(options.at, "--at");
    release::Snapshot snapshot;
    const BuildName build{options.service.empty() ? settings.service : options.service, options.build};
    std::vector<BuildName> names{build};
    for (std::size_t i = 0; i < names.size(); ++i)
        for (const Dependency &dependency : settings.dependencies)
            if (dependency.dependent == names[i] &&
                std::find(names.begin(), names.end(), dependency.required) == names.end())
                names.push_back(dependency.required);
    std::reverse(names.begin(), names.end());
    settings.max_builds = std::max(settings.max_builds, names.size());
    for (const BuildName &name : names) snapshot.entries.emplace_back().build = name;
    release::Plan plan(settings);
    plan.set_time(at);
    plan.apply_snapshot(snapshot);
    if (const std::string why = plan.refusal(build); !why.empty())
        throw BadInput("build " + build.text() + ": " + why);
    std::cout << "build " << build.text() << ", stages";
    for (int i = 1; i <= settings.released_stage(); ++i) std::cout << " " << settings.stages[i];
    std::cout << ", a wave opens once the one before is at stage " << settings.wave_gate_stage << "\n";
    for (const Dependency &dependency : settings.dependencies)
        if (dependency.dependent == build)
            std::cout << "needs " << dependency.required.text() << " at "
                      << (dependency.stage == Dependency::kMatch
                              ? std::string("its own stage")
                              : "stage " + std::to_string(dependency.stage))
                      << (dependency.strict ? ", strict" : "") << "\n";
    for (int wave = 0, seen = 0; seen < static_cast<int>(settings.cell_count()); ++wave) {
        std::cout << "wave " << wave + 1 << ":";
        for (int cell = 0; cell < static_cast<int>(settings.cell_count()); ++cell) {
            if (plan.wave(build, cell) != wave) continue;
            const Segment &zone = settings.zones[settings.zone_of(cell)];
            const Segment &customer = settings.customers[settings.customer_of(cell)];
            const double cap = std::min({settings.cap, zone.cap, customer.cap});
            std::cout << " " << zone.name << "/" << customer.name;
            if (cap < 1) std::cout << "(cap " << cap << ")";
            if (plan.frozen(build.service, cell)) std::cout << "(frozen)";
            ++seen;
        }
        std::cout << "\n";
    }
    return 0;
}

int freeze(const Options &options) {
    json request{{"type", options.lift ? "lift" : "freeze"}, {"id", options.id}};
    if (!options.lift) {
        for (const auto &[key, value] :
             {std::pair{"zone", options.zone}, {"customer", options.customer}, {"service", options.service}})
            if (!value.empty()) request[key] = value;
        if (!options.until.empty()) request["to_ms"] = read_timestamp(options.until, "--until") / 10;
    }
    std::string desk = options.desk;
    if (desk.empty() && !options.settings_file.empty()) desk = load_release_settings(options).desk;
    std::cout << call_desk(desk, "POST", "/release/v1/words", request.dump()) << "\n";
    return 0;
}

} // namespace

Command release(CLI::App &app) {
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("release", "shows and controls staged releases");
    command->require_subcommand(1);
    auto *status_command = command->add_subcommand("status", "prints the desk's state of every cell");
    auto *plan_command =
        command->add_subcommand("plan", "prints the cells of a build by wave, from the settings alone");
    auto *freeze_command = command->add_subcommand("freeze", "declares or lifts a freeze at the desk");
    for (auto *subcommand : {status_command, plan_command, freeze_command}) {
        auto *settings_option =
            subcommand->add_option("--settings", options->settings_file, "settings file, as XML")
                ->envname("PINERIDGE_SETTINGS");
        if (subcommand != freeze_command) settings_option->required();
    }
    for (auto *subcommand : {status_command, freeze_command})
        subcommand->add_option("--desk", options->desk,
                               "address of the desk; by default that of the settings");
    plan_command->add_option("--build", options->build, "number of the build")
        ->required()
        ->check(CLI::NonNegativeNumber);
    plan_command->add_option("--service", options->service,
                             "service of the build; by default that of the settings");
    plan_command->add_option("--at", options->at, "the time, as 2026-12-24T18:00:00+01:00; by default now");
    freeze_command->add_option("--id", options->id, "id of the freeze, also used to lift it")->required();
    freeze_command->add_option("--zone", options->zone, "one zone; by default all");
    freeze_command->add_option("--customer", options->customer, "one customer; by default all");
    freeze_command->add_option("--service", options->service, "one service; by default all");
    freeze_command->add_option("--until", options->until,
                               "the end of the freeze, as 2026-12-24T18:00:00+01:00");
    freeze_command->add_flag("--lift", options->lift, "lift it");
    return [=]() -> std::optional<int> {
        if (status_command->parsed()) return status(*options);
        if (plan_command->parsed()) return plan(*options);
        if (freeze_command->parsed()) return freeze(*options);
        return std::nullopt;
    };
}

} // namespace pineridge::cli
