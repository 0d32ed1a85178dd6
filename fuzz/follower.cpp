// Fuzz target: the etcd follower and the view survive any bytes from a registry member, and the view lists
// exactly the hosts that it holds. The bytes are read first as HTTP/2, then as a sequence of watch messages.
#include "membership/etcd/follower.hpp"
#include "target.hpp"

#include <cstdlib>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

Member read_host(const std::string &key, std::string_view value) {
    if (value.empty() || value[0] == '{') throw std::runtime_error("not a host");
    Member member{};
    member.entry.id = key;
    member.entry.status = value[0] == 'd' ? HostStatus::draining : HostStatus::ready;
    return member;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    {
        View view{{}};
        etcd::Follower follower(view, read_host, "/h/", "reg", "", {});
        follower.begin(0);
        follower.output();
        for (std::size_t at = 0; at < bytes.size() && follower.feed(bytes.substr(at, 64), 1); at += 64)
            follower.output();
        follower.set_time(100000);
    }
    // Watch messages without their frames, each after a byte with its length, applied to a view.
    View view{{}};
    view.begin_read();
    std::vector<Record> records;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t message_size = std::min<std::size_t>(data[at], bytes.size() - at - 1);
        etcdserverpb::WatchResponse response;
        if (response.ParseFromArray(data + at + 1, static_cast<int>(message_size)))
            for (const auto &event : response.events()) {
                Record record =
                    make_record(read_host, event.kv().key(), event.kv().mod_revision(), event.kv().value());
                record.deleted = event.type() == etcdserverpb::Event::DELETE;
                if (at % 2)
                    view.apply_change(record);
                else
                    view.add_page({record});
            }
        at += message_size + 1;
    }
    view.end_read(1 << 20);
    std::size_t listed_hosts = 0;
    while (const auto listing = view.take_listing())
        for (const Member &member : listing->members) listed_hosts += member.entry.status != HostStatus::gone;
    if (listed_hosts != view.host_count()) std::abort();
    return 0;
}
