#include "standins/registry/registry.hpp"

#include "membership/etcd/rpc.grpc.pb.h"
#include "standins/http/reserved_port.hpp"

#include <algorithm>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace pineridge::standins {

namespace pb = etcdserverpb;

struct Registry::State final : pb::KV::Service, pb::Watch::Service, pb::Lease::Service {
    using Pairs = std::map<std::string, pb::KeyValue>;

    mutable std::mutex lock;
    std::condition_variable changed;
    std::int64_t rev = 1, compacted = 0, lag = 0;
    std::vector<KeyChange> log;
    std::set<std::int64_t> skipped_revisions;
    int revisions_to_skip = 0;
    bool muted = false;
    std::size_t fragment_events = 0;
    int break_after = -1;
    std::uint64_t cancellations = 0;
    std::function<void()> before_page;
    int reads = 0, watches = 0;
    std::vector<std::chrono::steady_clock::time_point> read_times;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
    std::shared_ptr<grpc::ServerCredentials> credentials = grpc::InsecureServerCredentials();
    boost::asio::io_context io;
    std::optional<ReservedPort> reserved_port; // reserves the port while the server is stopped
    std::map<std::int64_t, std::pair<std::int64_t, std::set<std::string>>>
        leases; // by id: lifetime in seconds, and keys
    std::int64_t next_lease = 100;
    int renewals = 0;
    std::vector<SentEvent> sent_events;
    int calls = 0;

    static std::int64_t now() {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }
    void record(std::int64_t send_began_at, int call, const pb::KeyValue &pair, bool deleted) {
        if (sent_events.size() >= 1000000) return;
        sent_events.push_back(
            {send_began_at, now(), call, pair.mod_revision(), pair.key(), pair.value(), deleted});
    }

    // Returns all pairs as of a revision. The last result is cached, as the pages of one listing read the
    // same revision.
    const Pairs &at(std::int64_t when) const {
        if (when < cached_revision) {
            cached_pairs.clear();
            cached_revision = 0;
        }
        auto change =
            std::lower_bound(log.begin(), log.end(), cached_revision + 1,
                             [](const KeyChange &entry, std::int64_t rev) { return entry.revision < rev; });
        for (; change != log.end() && change->revision <= when; ++change) {
            if (change->deleted) {
                cached_pairs.erase(change->key);
                continue;
            }
            pb::KeyValue &pair = cached_pairs[change->key];
            if (pair.create_revision() == 0) pair.set_create_revision(change->revision);
            pair.set_key(change->key);
            pair.set_value(change->value);
            pair.set_mod_revision(change->revision);
            pair.set_version(pair.version() + 1);
        }
        cached_revision = when;
        return cached_pairs;
    }
    mutable Pairs cached_pairs;
    mutable std::int64_t cached_revision = 0;

    void write(std::vector<KeyChange> changes) {
        const std::lock_guard guard(lock);
        ++rev;
        for (KeyChange &change : changes) {
            change.revision = rev;
            log.push_back(change);
        }
        if (revisions_to_skip > 0) {
            --revisions_to_skip;
            skipped_revisions.insert(rev);
        }
        changed.notify_all();
    }

    grpc::Status Range(grpc::ServerContext *, const pb::RangeRequest *request,
                       pb::RangeResponse *answer) override {
        std::function<void()> callback;
        {
            const std::lock_guard guard(lock);
            if (request->revision() > 0 && request->limit() != 1) callback = before_page;
        }
        if (callback) callback();
        const std::lock_guard guard(lock);
        ++reads;
        read_times.push_back(std::chrono::steady_clock::now());
        const std::int64_t current_revision = rev - lag;
        const std::int64_t when = request->revision() > 0 ? request->revision() : current_revision;
        if (when < compacted)
            return {grpc::StatusCode::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"};
        answer->mutable_header()->set_cluster_id(7);
        answer->mutable_header()->set_revision(current_revision);
        const Pairs &all = at(when);
        const auto first = all.lower_bound(request->key()), last = all.lower_bound(request->range_end());
        const auto count = std::distance(first, last);
        answer->set_count(count);
        if (request->sort_target() == pb::RangeRequest::MOD) {
            const auto newest = std::max_element(first, last, [](const auto &a, const auto &b) {
                return a.second.mod_revision() < b.second.mod_revision();
            });
            if (newest != last) *answer->add_kvs() = newest->second;
            return grpc::Status::OK;
        }
        const auto max_pairs = request->limit() > 0 ? request->limit() : count;
        answer->set_more(count > max_pairs);
        std::int64_t added = 0;
        for (auto pair = first; pair != last && added < max_pairs; ++pair, ++added) {
            *answer->add_kvs() = pair->second;
            if (request->keys_only()) answer->mutable_kvs()->rbegin()->clear_value();
        }
        ++calls;
        for (const pb::KeyValue &pair : answer->kvs()) record(now(), calls, pair, false);
        return grpc::Status::OK;
    }

    grpc::Status Put(grpc::ServerContext *, const pb::PutRequest *request, pb::PutResponse *) override {
        {
            const std::lock_guard guard(lock);
            if (request->lease() != 0) {
                const auto at = leases.find(request->lease());
                if (at == leases.end())
                    return {grpc::StatusCode::NOT_FOUND, "etcdserver: requested lease not found"};
                at->second.second.insert(request->key());
            }
        }
        write({{0, request->key(), request->value(), false}});
        return grpc::Status::OK;
    }
    grpc::Status DeleteRange(grpc::ServerContext *, const pb::DeleteRangeRequest *request,
                             pb::DeleteRangeResponse *answer) override {
        write({{0, request->key(), "", true}});
        answer->set_deleted(1);
        return grpc::Status::OK;
    }
    grpc::Status LeaseGrant(grpc::ServerContext *, const pb::LeaseGrantRequest *request,
                            pb::LeaseGrantResponse *answer) override {
        const std::lock_guard guard(lock);
        answer->set_id(++next_lease);
        answer->set_ttl(request->ttl());
        leases[next_lease].first = request->ttl();
        return grpc::Status::OK;
    }
    void end_lease(std::int64_t id) {
        std::set<std::string> keys;
        {
            const std::lock_guard guard(lock);
            const auto at = leases.find(id);
            if (at == leases.end()) return;
            keys = at->second.second;
            leases.erase(at);
        }
        for (const std::string &key : keys) write({{0, key, "", true}});
    }
    grpc::Status LeaseRevoke(grpc::ServerContext *, const pb::LeaseRevokeRequest *request,
                             pb::LeaseRevokeResponse *) override {
        end_lease(request->id());
        return grpc::Status::OK;
    }
    grpc::Status LeaseTimeToLive(grpc::ServerContext *, const pb::LeaseTimeToLiveRequest *request,
                                 pb::LeaseTimeToLiveResponse *answer) override {
        const std::lock_guard guard(lock);
        const auto at = leases.find(request->id());
        answer->set_id(request->id());
        answer->set_ttl(at == leases.end() ? -1 : at->second.first);
        return grpc::Status::OK;
    }
    grpc::Status LeaseKeepAlive(
        grpc::ServerContext *,
        grpc::ServerReaderWriter<pb::LeaseKeepAliveResponse, pb::LeaseKeepAliveRequest> *stream) override {
        for (pb::LeaseKeepAliveRequest request; stream->Read(&request);) {
            pb::LeaseKeepAliveResponse answer;
            answer.set_id(request.id());
            {
                const std::lock_guard guard(lock);
                if (muted) continue;
                const auto at = leases.find(request.id());
                answer.set_ttl(at == leases.end() ? 0 : at->second.first);
                ++renewals;
            }
            stream->Write(answer);
        }
        return grpc::Status::OK;
    }

    using Stream = grpc::ServerReaderWriter<pb::WatchResponse, pb::WatchRequest>;

    grpc::Status Watch(grpc::ServerContext *context, Stream *stream) override {
        pb::WatchRequest first;
        if (!stream->Read(&first)) return grpc::Status::OK;
        const pb::WatchCreateRequest create = first.create_request();
        std::int64_t from = create.start_revision();
        bool ended = false, progress = false;
        int call = 0;
        std::uint64_t cancellations_before = 0;
        {
            const std::lock_guard guard(lock);
            ++watches;
            call = ++calls;
            cancellations_before = cancellations;
            pb::WatchResponse created;
            created.mutable_header()->set_revision(rev - lag);
            created.set_created(true);
            stream->Write(created);
            if (from <= compacted) {
                pb::WatchResponse refused;
                refused.mutable_header()->set_revision(rev);
                refused.set_canceled(true);
                refused.set_compact_revision(compacted);
                stream->Write(refused);
                return grpc::Status::OK;
            }
        }
        std::thread reader([&] {
            pb::WatchRequest next;
            while (stream->Read(&next)) {
                const std::lock_guard guard(lock);
                progress = progress || next.has_progress_request();
                changed.notify_all();
            }
            const std::lock_guard guard(lock);
            ended = true;
            changed.notify_all();
        });
        send_events(context, stream, create, from, ended, progress, cancellations_before, call);
        context->TryCancel();
        reader.join();
        return grpc::Status::CANCELLED;
    }

    void send_events(grpc::ServerContext *context, Stream *stream, const pb::WatchCreateRequest &create,
                     std::int64_t from, const bool &ended, bool &progress, std::uint64_t cancellations_before,
                     int call) {
        std::unique_lock guard(lock);
        for (;;) {
            const auto has_work = [&] {
                return ended || cancellations != cancellations_before ||
                       (!muted && (progress || (!log.empty() && log.back().revision >= from)));
            };
            changed.wait_for(guard, std::chrono::milliseconds(200), has_work);
            if (ended || cancellations != cancellations_before || context->IsCancelled()) return;
            if (muted) continue;
            std::vector<pb::Event> events;
            std::int64_t until = from;
            const auto first =
                std::lower_bound(log.begin(), log.end(), from, [](const KeyChange &change, std::int64_t rev) {
                    return change.revision < rev;
                });
            for (auto at = first; at != log.end(); ++at) {
                const KeyChange &change = *at;
                until = change.revision + 1;
                if (change.key < create.key() || change.key >= create.range_end() ||
                    skipped_revisions.count(change.revision))
                    continue;
                pb::Event &event = events.emplace_back();
                event.set_type(change.deleted ? pb::Event::DELETE : pb::Event::PUT);
                event.mutable_kv()->set_key(change.key);
                event.mutable_kv()->set_value(change.value);
                event.mutable_kv()->set_mod_revision(change.revision);
            }
            const bool progressed = std::exchange(progress, false);
            const std::int64_t current_revision = rev;
            const std::size_t batch_size =
                fragment_events > 0 ? fragment_events : std::max<std::size_t>(1, events.size());
            int fragments_left = break_after;
            guard.unlock();
            for (std::size_t at = 0; at < events.size(); at += batch_size) {
                pb::WatchResponse response;
                response.mutable_header()->set_revision(current_revision);
                for (std::size_t i = at; i < std::min(events.size(), at + batch_size); ++i)
                    *response.add_events() = events[i];
                response.set_fragment(at + batch_size < events.size());
                const std::int64_t send_began_at = now();
                if (!stream->Write(response)) break;
                if (!response.fragment()) { // a client uses a batch only when it is complete
                    const std::lock_guard again(lock);
                    for (std::size_t i = 0; i < at + batch_size && i < events.size(); ++i)
                        record(send_began_at, call, events[i].kv(), events[i].type() == pb::Event::DELETE);
                }
                if (fragments_left >= 0 && --fragments_left < 0) {
                    guard.lock();
                    break_after = -1;
                    return;
                }
            }
            if (progressed) {
                pb::WatchResponse response;
                response.mutable_header()->set_revision(current_revision);
                stream->Write(response);
            }
            guard.lock();
            from = until;
        }
    }

    void start() {
        grpc::ServerBuilder builder;
        int chosen = 0;
        if (!reserved_port) port = reserved_port.emplace(io).port();
        builder.AddListeningPort("127.0.0.1:" + std::to_string(port), credentials, &chosen);
        builder.RegisterService(static_cast<pb::KV::Service *>(this));
        builder.RegisterService(static_cast<pb::Watch::Service *>(this));
        builder.RegisterService(static_cast<pb::Lease::Service *>(this));
        server = builder.BuildAndStart();
    }
    void stop() {
        {
            const std::lock_guard guard(lock);
            ++cancellations;
            changed.notify_all();
        }
        if (server) server->Shutdown(std::chrono::system_clock::now());
        server.reset();
    }
};

Registry::Registry(const ServerTls *tls) : state_(std::make_unique<State>()) {
    if (tls) {
        grpc::SslServerCredentialsOptions options(
            tls->authorities.empty() ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                                     : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
        options.pem_key_cert_pairs.push_back({tls->key, tls->certificate});
        options.pem_root_certs = tls->authorities;
        state_->credentials = grpc::SslServerCredentials(options);
    }
    state_->start();
}
Registry::~Registry() { state_->stop(); }

std::string Registry::address() const { return "127.0.0.1:" + std::to_string(state_->port); }

std::int64_t Registry::put(const std::string &key, const std::string &value) {
    state_->write({{0, key, value, false}});
    return revision();
}
std::int64_t Registry::remove(const std::string &key) {
    state_->write({{0, key, "", true}});
    return revision();
}
void Registry::write(const std::vector<KeyChange> &changes) { state_->write(changes); }
std::int64_t Registry::revision() const {
    const std::lock_guard hold(state_->lock);
    return state_->rev;
}
std::map<std::string, std::string> Registry::entries() const {
    const std::lock_guard hold(state_->lock);
    std::map<std::string, std::string> all;
    for (const auto &[key, pair] : state_->at(state_->rev)) all[key] = pair.value();
    return all;
}
void Registry::compact(std::int64_t rev) {
    const std::lock_guard hold(state_->lock);
    state_->compacted = rev;
}
void Registry::cancel_streams() {
    const std::lock_guard hold(state_->lock);
    ++state_->cancellations;
    state_->changed.notify_all();
}
void Registry::stop() { state_->stop(); }
void Registry::start() { state_->start(); }
void Registry::mute(bool on) {
    const std::lock_guard hold(state_->lock);
    state_->muted = on;
    state_->changed.notify_all();
}
void Registry::skip_events(int revisions) {
    const std::lock_guard hold(state_->lock);
    state_->revisions_to_skip = revisions;
}
void Registry::fragment(std::size_t events, int break_after) {
    const std::lock_guard hold(state_->lock);
    state_->fragment_events = events;
    state_->break_after = break_after;
}
void Registry::lag(std::int64_t revisions) {
    const std::lock_guard hold(state_->lock);
    state_->lag = revisions;
}
void Registry::lose_data() {
    const std::lock_guard hold(state_->lock);
    state_->log.clear();
    state_->cached_pairs.clear();
    state_->cached_revision = 0;
    state_->rev = 1;
    state_->compacted = 0;
}
void Registry::before_page(std::function<void()> callback) {
    const std::lock_guard hold(state_->lock);
    state_->before_page = std::move(callback);
}
void Registry::expire_leases() {
    std::vector<std::int64_t> all;
    {
        const std::lock_guard hold(state_->lock);
        for (const auto &[id, lease] : state_->leases) all.push_back(id);
    }
    for (const std::int64_t id : all) state_->end_lease(id);
}
int Registry::leases() const {
    const std::lock_guard hold(state_->lock);
    return static_cast<int>(state_->leases.size());
}
int Registry::renewals() const {
    const std::lock_guard hold(state_->lock);
    return state_->renewals;
}
int Registry::reads() const {
    const std::lock_guard hold(state_->lock);
    return state_->reads;
}
std::vector<std::chrono::steady_clock::time_point> Registry::take_read_times() {
    const std::lock_guard hold(state_->lock);
    return std::exchange(state_->read_times, {});
}
std::vector<SentEvent> Registry::sent_events() const {
    const std::lock_guard hold(state_->lock);
    return state_->sent_events;
}
int Registry::watches() const {
    const std::lock_guard hold(state_->lock);
    return state_->watches;
}

} // namespace pineridge::standins
