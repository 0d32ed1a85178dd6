// The etcd source on loopback against a registry on grpc++: the hard cases, decided by events. After each the
// view is set against the registry's own state.
#undef NDEBUG
#include "membership/etcd/follower.hpp"
#include "source_world.hpp"
#include "standins/checker/membership.hpp"
#include "standins/registry/registry.hpp"

#include <filesystem>
#include <unistd.h>

using namespace pineridge;
using namespace pineridge::membership;
using standins::Registry;

namespace {

std::string value(const std::string &state, int started = 0) { return host_value(state, started); }

struct World : SourceWorld {
    explicit World(int registries = 1) : registries_(static_cast<std::size_t>(registries)) {
        for (auto &one : registries_) one = std::make_unique<Registry>();
        for (const char *id : {"a", "b", "c", "d"}) registry().put(key(id), value("in_service"));
    }

    Registry &registry(int at = 0) { return *registries_[static_cast<std::size_t>(at)]; }
    static std::string key(const std::string &id) { return "/hosts/" + id; }
    void begin() {
        SourceOptions options;
        for (const auto &one : registries_)
            options.endpoints.push_back(read_address(one->address(), "endpoint"));
        options.prefix = "/hosts/";
        options.cache_file = known;
        options.stale_after = 4000;
        options.endpoint_rules = {500, 2000, 0};
        options.view_rules.doubt_timeout = 10000;
        options.view_rules.confirm_after = 3000;
        options.view_rules.max_lag_time = 8000;
        options.make_protocol = [](View &view, const std::string &authority) {
            return std::make_shared<etcd::Follower>(view, read_value, "/hosts/", authority, "",
                                                    etcd::Timing{5000, 1000, 4000, 3000}, 2);
        };
        SourceWorld::begin(std::move(options));
    }
    // In the end the view holds what the registry holds, but for values that cannot be read.
    void settled(const std::vector<std::string> &unreadable = {}, int at = 0) {
        until([&] {
            std::map<std::string, std::string> held, seen;
            for (const auto &[key, value] : registry(at).entries())
                if (key.rfind("/hosts/", 0) == 0) held[key] = value;
            for (const Record &record : source->view().records()) seen[record.key] = record.value;
            return standins::differences(held, seen, unreadable).empty();
        });
    }
    void watched(int times = 1) {
        until([&] { return registry().watches() >= times && source->view().synced(); });
    }

    std::vector<std::unique_ptr<Registry>> registries_;
    std::string known;
};

void a_list_is_read_in_pages_and_followed() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().put(World::key("a"), value("terminating"));
    world.until_list("a-b+c+d+");
    world.registry().remove(World::key("a"));
    world.registry().put(World::key("e"), value("in_service"));
    world.until_list("b+c+d+e+");
    world.registry().put("/other/f", "not ours");
    world.registry().put(World::key("b"), "{not json");
    world.until([&] { return world.has_logged("unreadable: /hosts/b"); });
    assert(world.list_text() == "b+c+d+e+");
    world.settled({World::key("b")});
}

// Hard case 1: what it would resume from is compacted; one host was drained and one deleted meanwhile.
void a_compacted_resume_misses_no_drain() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().stop();
    world.until([&] { return world.has_logged("registry.left"); });
    world.registry().put(World::key("a"), value("terminating"));
    world.registry().remove(World::key("b"));
    world.registry().compact(world.registry().put("/other", "x"));
    world.registry().start();
    world.until_list("a-c+d+");
    assert(world.has_logged("is compacted"));
    world.settled();
}

// Hard case 1: compacted again during the read, and the list changes between its pages.
void a_read_that_is_compacted_away_begins_anew() {
    World world;
    int act = 0;
    world.registry().before_page([&] {
        if (act++ > 0) return;
        world.registry().put(World::key("a"), value("terminating"));
        world.registry().compact(world.registry().remove(World::key("d")));
    });
    world.begin();
    world.until_list("a-b+c+");
    world.watched();
    world.settled();
}

// Hard case 2: open and dead, pings answered.
void a_quiet_watch_is_left() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().mute(true);
    world.registry().put(World::key("a"), value("terminating"));
    world.until([&] { return world.has_logged("no message on the watch within its timeout"); });
    world.registry().mute(false);
    world.until_list("a-b+c+d+");
    world.settled();
}

// Hard case 2: progress goes on, one word was told to nobody.
void a_missed_word_is_found() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().skip_events(1);
    world.registry().put(World::key("a"), value("terminating"));
    world.until_list("a-b+c+d+");
    assert(world.has_logged("the watch has missed /hosts/a"));
    world.settled();
}

// Hard case 3: the stream ends between the pieces of one batch.
void half_a_batch_is_none() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().fragment(1, 1);
    world.registry().write({{0, World::key("a"), value("terminating"), false},
                            {0, World::key("b"), value("terminating"), false},
                            {0, World::key("c"), value("terminating"), false}});
    world.until_list("a-b-c-d+");
    assert(world.registry().watches() >= 2);
    world.settled();
}

// Hard case 4: after a change of member the new one lags: no drained host comes back to life.
void a_lagging_member_is_not_believed() {
    World world(2);
    // Both hold the same words; the second stands three behind.
    for (const char *id : {"a", "b", "c", "d"}) world.registry(1).put(World::key(id), value("in_service"));
    world.begin();
    world.until_list("a+b+c+d+");
    for (int at : {0, 1}) {
        world.registry(at).put(World::key("a"), value("terminating"));
        world.registry(at).put(World::key("b"), value("terminating"));
    }
    world.until_list("a-b-c+d+");
    const int serving = world.registry(0).watches() > 0 ? 0 : 1;
    world.registry(1 - serving).lag(2);
    world.registry(serving).stop();
    world.until([&] { return world.has_logged("member is behind: revision"); });
    assert(world.list_text() == "a-b-c+d+");
    world.registry(1 - serving).lag(0);
    world.registry(1 - serving).put(World::key("c"), value("terminating"));
    world.until_list("a-b-c-d+");
}

// Hard case 5: the registry has lost its data: the hosts stay, and go once the doubt has passed.
void lost_data_is_doubted_first() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().stop();
    world.registry().lose_data();
    world.registry().start();
    world.until([&] { return world.has_logged("doubt: 4 of 4"); });
    assert(world.has_logged("registry revisions were reset"));
    assert(world.list_text() == "a+b+c+d+");
    world.until_list("");
    world.settled();
}

// A router that starts while the registry is away has the hosts it knew; a torn file is ignored and said so.
void the_last_known_list_bridges_a_start() {
    const auto path =
        std::filesystem::temp_directory_path() / ("pineridge-known-" + std::to_string(::getpid()));
    {
        World world;
        world.known = path.string();
        world.begin();
        world.until_list("a+b+c+d+");
        world.until([&] { return std::filesystem::exists(path); });
    }
    {
        World world;
        world.known = path.string();
        world.registry().put(World::key("a"), value("terminating"));
        world.registry().stop();
        world.begin();
        world.until_list("a+b+c+d+");
        assert(world.has_logged("registry.known hosts=4"));
        world.registry().start();
        world.until_list("a-b+c+d+");
    }
    std::filesystem::resize_file(path, 20);
    World world;
    world.known = path.string();
    world.begin();
    world.until_list("a+b+c+d+");
    assert(world.has_logged("registry.known ignored="));
    std::filesystem::remove(path);
}

// Hard case 7: values of any size are one host's matter.
void a_huge_value_leaves_the_rest_unharmed() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.watched();
    world.registry().put(World::key("a"), std::string(1 << 20, 'x'));
    world.registry().put(World::key("b"), value("terminating"));
    world.until_list("a+b-c+d+");
    world.settled({World::key("a")});
}

// The same where one value is larger than any message that is taken: in a read, and in the watch.
void a_value_beyond_all_bounds_leaves_the_rest_unharmed() {
    World world;
    const std::string huge(6 << 20, 'x');
    world.registry().put(World::key("b"), huge);
    world.begin();
    world.until_list("a+c+d+");
    world.until(
        [&] { return world.has_logged("unreadable: /hosts/b: value exceeds the message size limit"); });
    world.watched();
    world.registry().write(
        {{0, World::key("c"), huge, false}, {0, World::key("d"), value("terminating"), false}});
    world.until_list("a+c+d-");
    world.registry().put(World::key("a"), value("terminating"));
    world.until_list("a-c+d-");
    assert(!world.has_logged("registry.left"));
    world.registry().put(World::key("b"), value("in_service"));
    world.until_list("a-b+c+d-");
    world.settled({World::key("c")});
}

} // namespace

int main() {
    a_list_is_read_in_pages_and_followed();
    a_compacted_resume_misses_no_drain();
    a_read_that_is_compacted_away_begins_anew();
    a_quiet_watch_is_left();
    a_missed_word_is_found();
    half_a_batch_is_none();
    a_lagging_member_is_not_believed();
    lost_data_is_doubted_first();
    the_last_known_list_bridges_a_start();
    a_huge_value_leaves_the_rest_unharmed();
    a_value_beyond_all_bounds_leaves_the_rest_unharmed();
}
