// `release status` and `release freeze` speak to a desk; `release plan` works a plan out from the settings
// alone.
#include "cli/commands.hpp"
#include "cli/now.hpp"

#include "net/http/link.hpp"
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

struct Asked {
    std::string settings, desk, service, zone, customer, id, until, at;
    int build = 0;
    bool lift = false;
};

Scheme scheme_of(const Asked &asked) {
    const Wishes wishes = load_wishes_file(asked.settings);
    if (!wishes.release) throw BadInput(asked.settings + ": release: missing");
    return *wishes.release;
}

std::string call_desk(const std::string &desk, const char *method, const char *path,
                      const std::string &body) {
    if (desk.empty()) throw BadInput("--desk: no address here, nor in the settings");
    const Limits limits{};
    boost::asio::io_context io(1);
    http::Link link(io, read_address(desk, "desk"), limits);
    http::Answer answer(limits.head, limits.snapshot);
    http::Call got = http::Call::unsent;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            got = co_await link.call(method, path, body, limits.desk_whole, false, answer);
        },
        boost::asio::detached);
    io.run();
    if (got == http::Call::unclear)
        throw std::runtime_error("desk: no whole answer: whether it counted is not known");
    if (got == http::Call::unsent) throw std::runtime_error("desk: not reached at " + desk);
    if (answer.status() != 200)
        throw std::runtime_error("desk: status " + std::to_string(answer.status()) + ": " + answer.body());
    return answer.body();
}

void print_cells(const release::Plan &plan, const BuildName &build) {
    const Scheme &scheme = plan.scheme();
    std::cout << std::left << std::setw(14) << "  zone" << std::setw(16) << "customer" << std::setw(6)
              << "wave" << std::setw(7) << "told" << std::setw(7) << "stage" << std::setw(8) << "share"
              << "\n";
    for (int cell = 0; cell < static_cast<int>(scheme.cells()); ++cell)
        std::cout << "  " << std::setw(12) << scheme.zones[scheme.zone_of(cell)].name << std::setw(16)
                  << scheme.customers[scheme.customer_of(cell)].name << std::setw(6)
                  << plan.wave(build, cell) + 1 << std::setw(7) << plan.desk_stage(build, cell)
                  << std::setw(7) << plan.stage(build, cell) << std::setw(8) << plan.share(build, cell)
                  << (plan.frozen(build.service, cell) ? "frozen" : "") << "\n";
}

int status(const Asked &asked) {
    const Scheme scheme = scheme_of(asked);
    const std::string desk = asked.desk.empty() ? scheme.desk : asked.desk;
    const release::Snapshot snapshot =
        release::read_snapshot(call_desk(desk, "GET", "/release/v1/snapshot", ""), scheme.released());
    release::Plan plan(scheme);
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

// Where the build would go, wave by wave, with what stands in its way at that moment.
int plan(const Asked &asked) {
    Scheme scheme = scheme_of(asked);
    const Ticks at = asked.at.empty() ? clock_now() : read_moment(asked.at, "--at");
    release::Snapshot snapshot;
    const BuildName build{asked.service.empty() ? scheme.service : asked.service, asked.build};
    std::vector<BuildName> names{build};
    for (std::size_t i = 0; i < names.size(); ++i)
        for (const Need &need : scheme.needs)
            if (need.of == names[i] && std::find(names.begin(), names.end(), need.on) == names.end())
                names.push_back(need.on);
    std::reverse(names.begin(), names.end());
    scheme.most_builds = std::max(scheme.most_builds, names.size());
    for (const BuildName &name : names) snapshot.entries.emplace_back().build = name;
    release::Plan plan(scheme);
    plan.set_time(at);
    plan.apply_snapshot(snapshot);
    if (const std::string why = plan.refusal(build); !why.empty())
        throw BadInput("build " + build.text() + ": " + why);
    std::cout << "build " << build.text() << ", stages";
    for (int i = 1; i <= scheme.released(); ++i) std::cout << " " << scheme.stages[i];
    std::cout << ", a wave opens once the one before is at stage " << scheme.follow << "\n";
    for (const Need &need : scheme.needs)
        if (need.of == build)
            std::cout << "needs " << need.on.text() << " at "
                      << (need.stage == Need::kMatch ? std::string("its own stage")
                                                     : "stage " + std::to_string(need.stage))
                      << (need.strict ? ", strict" : "") << "\n";
    for (int wave = 0, seen = 0; seen < static_cast<int>(scheme.cells()); ++wave) {
        std::cout << "wave " << wave + 1 << ":";
        for (int cell = 0; cell < static_cast<int>(scheme.cells()); ++cell) {
            if (plan.wave(build, cell) != wave) continue;
            const Part &zone = scheme.zones[scheme.zone_of(cell)],
                       &customer = scheme.customers[scheme.customer_of(cell)];
            const double cap = std::min({scheme.cap, zone.cap, customer.cap});
            std::cout << " " << zone.name << "/" << customer.name;
            if (cap < 1) std::cout << "(cap " << cap << ")";
            if (plan.frozen(build.service, cell)) std::cout << "(frozen)";
            ++seen;
        }
        std::cout << "\n";
    }
    return 0;
}

int freeze(const Asked &asked) {
    json word{{"type", asked.lift ? "lift" : "freeze"}, {"id", asked.id}};
    if (!asked.lift) {
        for (const auto &[key, value] :
             {std::pair{"zone", asked.zone}, {"customer", asked.customer}, {"service", asked.service}})
            if (!value.empty()) word[key] = value;
        if (!asked.until.empty()) word["to_ms"] = read_moment(asked.until, "--until") / 10;
    }
    std::string desk = asked.desk;
    if (desk.empty() && !asked.settings.empty()) desk = scheme_of(asked).desk;
    std::cout << call_desk(desk, "POST", "/release/v1/words", word.dump()) << "\n";
    return 0;
}

} // namespace

Command release(CLI::App &app) {
    auto asked = std::make_shared<Asked>();
    auto *said = app.add_subcommand("release", "staged releases by zone and customer");
    said->require_subcommand(1);
    auto *told = said->add_subcommand("status", "what the desk tells, cell by cell");
    auto *planned = said->add_subcommand("plan", "where a build would go, from the settings alone");
    auto *frozen = said->add_subcommand("freeze", "have the desk declare a freeze, or lift one");
    for (auto *command : {told, planned, frozen}) {
        auto *settings = command->add_option("--settings", asked->settings, "our own settings, as XML")
                             ->envname("PINERIDGE_SETTINGS");
        if (command != frozen) settings->required();
    }
    for (auto *command : {told, frozen})
        command->add_option("--desk", asked->desk, "the desk's address, else that of the settings");
    planned->add_option("--build", asked->build, "the build's number")
        ->required()
        ->check(CLI::NonNegativeNumber);
    planned->add_option("--service", asked->service, "its service, else that of the settings");
    planned->add_option("--at", asked->at, "the moment, as 2026-12-24T18:00:00+01:00, else now");
    frozen->add_option("--id", asked->id, "its name, by which it is lifted")->required();
    frozen->add_option("--zone", asked->zone, "one zone, else all");
    frozen->add_option("--customer", asked->customer, "one customer, else all");
    frozen->add_option("--service", asked->service, "one service, else all");
    frozen->add_option("--until", asked->until, "when it ends by itself, as 2026-12-24T18:00:00+01:00");
    frozen->add_flag("--lift", asked->lift, "lift it");
    return [=]() -> std::optional<int> {
        if (told->parsed()) return status(*asked);
        if (planned->parsed()) return plan(*asked);
        if (frozen->parsed()) return freeze(*asked);
        return std::nullopt;
    };
}

} // namespace pineridge::cli
