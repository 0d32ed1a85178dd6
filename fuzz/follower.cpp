// Bytes of an etcd member, first as HTTP/2 and then, in gRPC's form, as pages and watch words: bounded and
// without a crash, and a view that lists no host that it does not hold.
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
        follower.clock(100000);
    }
    // The messages by themselves, each led by its length, into a view.
    View view{{}};
    view.begin_read();
    std::vector<Record> records;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t most = std::min<std::size_t>(data[at], bytes.size() - at - 1);
        etcdserverpb::WatchResponse told;
        if (told.ParseFromArray(data + at + 1, static_cast<int>(most)))
            for (const auto &event : told.events()) {
                Record record =
                    make_record(read_host, event.kv().key(), event.kv().mod_revision(), event.kv().value());
                record.gone = event.type() == etcdserverpb::Event::DELETE;
                if (at % 2)
                    view.change(record);
                else
                    view.page({record});
            }
        at += most + 1;
    }
    view.end_read(1 << 20);
    std::size_t listed = 0;
    while (const auto listing = view.take())
        for (const Member &member : listing->members) listed += member.entry.status != HostStatus::gone;
    if (listed != view.size()) std::abort();
    return 0;
}
