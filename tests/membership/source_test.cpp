// Tests the etcd source on loopback against a grpc++ registry, through each fault of a registry and its
// watch. After each fault, the view is compared with the registry's own state.
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
    explicit World(int count = 1) : registries(static_cast<std::size_t>(count)) {
        for (auto &one : registries) one = std::make_unique<Registry>();
        for (const char *id : {"a", "b", "c", "d"}) registry().put(key(id), value("in_service"));
    }

    Registry &registry(int at = 0) { return *registries[static_cast<std::size_t>(at)]; }
    static std::string key(const std::string &id) { return "/hosts/" + id; }
    void begin() {
        SourceOptions options;
        for (const auto &one : registries)
            options.endpoints.push_back(read_address(one->address(), "endpoint"));
        options.prefix = "/hosts/";
        options.cache_file = cache_file;
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
    // Waits until the view equals the registry, except for values that cannot be parsed.
    void until_consistent(const std::vector<std::string> &unreadable = {}, int at = 0) {
        until([&] {
            std::map<std::string, std::string> held, seen;
            for (const auto &[key, value] : registry(at).entries())
                if (key.rfind("/hosts/", 0) == 0) held[key] = value;
            for (const Record &record : source->view().records()) seen[record.key] = record.value;
            return standins::differences(held, seen, unreadable).empty();
        });
    }
    void until_watched(int times = 1) {
        until([&] { return registry().watches() >= times && source->view().synced(); });
    }

    std::vector<std::unique_ptr<Registry>> registries;
    std::string cache_file;
};

void a_list_is_read_in_pages_and_followed() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().put(World::key("a"), value("terminating"));
    world.until_list("a-b+c+d+");
    world.registry().remove(World::key("a"));
    world.registry().put(World::key("e"), value("in_service"));
    world.until_list("b+c+d+e+");
    world.registry().put("/other/f", "not ours");
    world.registry().put(World::key("b"), "{not json");
    world.until([&] { return world.has_logged("unreadable: /hosts/b"); });
    assert(world.list_text() == "b+c+d+e+");
    world.until_consistent({World::key("b")});
}

// Hard case 1: the revision to resume from is compacted; meanwhile one host was drained and one deleted.
void a_compacted_resume_misses_no_drain() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().stop();
    world.until([&] { return world.has_logged("registry.left"); });
    world.registry().put(World::key("a"), value("terminating"));
    world.registry().remove(World::key("b"));
    world.registry().compact(world.registry().put("/other", "x"));
    world.registry().start();
    world.until_list("a-c+d+");
    assert(world.has_logged("is compacted"));
    world.until_consistent();
}

// Hard case 1: the read's revision is compacted too, and the list changes between its pages.
void a_read_whose_revision_is_compacted_starts_again() {
    World world;
    int page_count = 0;
    world.registry().before_page([&] {
        if (page_count++ > 0) return;
        world.registry().put(World::key("a"), value("terminating"));
        world.registry().compact(world.registry().remove(World::key("d")));
    });
    world.begin();
    world.until_list("a-b+c+");
    world.until_watched();
    world.until_consistent();
}

// Hard case 2: the watch is open but dead, and pings are still answered.
void a_silent_watch_is_closed() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().mute(true);
    world.registry().put(World::key("a"), value("terminating"));
    world.until([&] { return world.has_logged("no message on the watch within its timeout"); });
    world.registry().mute(false);
    world.until_list("a-b+c+d+");
    world.until_consistent();
}

// Hard case 2: the watch reports progress, but one update was sent to no watch.
void a_missed_update_is_found() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().skip_events(1);
    world.registry().put(World::key("a"), value("terminating"));
    world.until_list("a-b+c+d+");
    assert(world.has_logged("the watch has missed /hosts/a"));
    world.until_consistent();
}

// Hard case 3: the stream ends between the fragments of one batch.
void an_incomplete_batch_is_ignored() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().fragment(1, 1);
    world.registry().write({{0, World::key("a"), value("terminating"), false},
                            {0, World::key("b"), value("terminating"), false},
                            {0, World::key("c"), value("terminating"), false}});
    world.until_list("a-b-c-d+");
    assert(world.registry().watches() >= 2);
    world.until_consistent();
}

// Hard case 4: the source changes to a member that lags; no draining host returns to service.
void data_of_a_lagging_member_is_ignored() {
    World world(2);
    // Both registries have the same updates; one of them is made to lag.
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

// Hard case 5: the registry has lost its data; the hosts stay until the doubt times out.
void lost_data_is_doubted_first() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().stop();
    world.registry().lose_data();
    world.registry().start();
    world.until([&] { return world.has_logged("doubt: 4 of 4"); });
    assert(world.has_logged("registry revisions were reset"));
    assert(world.list_text() == "a+b+c+d+");
    world.until_list("");
    world.until_consistent();
}

// A source that starts while the registry is down uses the cached list; a truncated file is ignored and
// logged.
void the_cached_list_is_used_at_a_start() {
    const auto path =
        std::filesystem::temp_directory_path() / ("pineridge-known-" + std::to_string(::getpid()));
    {
        World world;
        world.cache_file = path.string();
        world.begin();
        world.until_list("a+b+c+d+");
        world.until([&] { return std::filesystem::exists(path); });
    }
    {
        World world;
        world.cache_file = path.string();
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
    world.cache_file = path.string();
    world.begin();
    world.until_list("a+b+c+d+");
    assert(world.has_logged("registry.known ignored="));
    std::filesystem::remove(path);
}

// Hard case 7: a value of any size affects only its own host.
void a_huge_value_affects_only_its_host() {
    World world;
    world.begin();
    world.until_list("a+b+c+d+");
    world.until_watched();
    world.registry().put(World::key("a"), std::string(1 << 20, 'x'));
    world.registry().put(World::key("b"), value("terminating"));
    world.until_list("a+b-c+d+");
    world.until_consistent({World::key("a")});
}

// The same for a value over the limit on messages, in a read and in the watch.
void a_value_over_the_message_limit_affects_only_its_host() {
    World world;
    const std::string huge(6 << 20, 'x');
    world.registry().put(World::key("b"), huge);
    world.begin();
    world.until_list("a+c+d+");
    world.until(
        [&] { return world.has_logged("unreadable: /hosts/b: value exceeds the message size limit"); });
    world.until_watched();
    world.registry().write(
        {{0, World::key("c"), huge, false}, {0, World::key("d"), value("terminating"), false}});
    world.until_list("a+c+d-");
    world.registry().put(World::key("a"), value("terminating"));
    world.until_list("a-c+d-");
    assert(!world.has_logged("registry.left"));
    world.registry().put(World::key("b"), value("in_service"));
    world.until_list("a-b+c+d-");
    world.until_consistent({World::key("c")});
}

} // namespace

int main() {
    a_list_is_read_in_pages_and_followed();
    a_compacted_resume_misses_no_drain();
    a_read_whose_revision_is_compacted_starts_again();
    a_silent_watch_is_closed();
    a_missed_update_is_found();
    an_incomplete_batch_is_ignored();
    data_of_a_lagging_member_is_ignored();
    lost_data_is_doubted_first();
    the_cached_list_is_used_at_a_start();
    a_huge_value_affects_only_its_host();
    a_value_over_the_message_limit_affects_only_its_host();
}
