#include "membership/etcd/registrar.hpp"

#include <algorithm>

namespace pineridge::membership::etcd {

namespace {

constexpr int kStatusNotFound = 5; // of gRPC

} // namespace

Registrar::Registrar(LeaseState &lease, LeasedKey key, std::string authority, std::string token,
                     bool deregistering)
    : lease_(lease), key_(std::move(key)), authority_(std::move(authority)), token_(std::move(token)),
      deregistering_(deregistering) {}

std::int32_t Registrar::start_call(const char *method, const google::protobuf::MessageLite &message) {
    const std::int32_t id = session_.start_call(method, authority_, token_);
    session_.send(id, message.SerializeAsString(), true);
    answer_deadline_ = now_ + key_.answer_timeout;
    return id;
}

void Registrar::begin(Ticks now) {
    now_ = now;
    start_next_call();
}

void Registrar::deregister() {
    if (std::exchange(deregistering_, true)) return;
    if (keep_alive_call_ >= 0) session_.cancel(std::exchange(keep_alive_call_, -1));
    start_next_call();
}

// Starts the next call of the sequence once the one before it is answered.
void Registrar::start_next_call() {
    if (has_failed() || over_ || grant_call_ >= 0 || put_call_ >= 0 || ttl_call_ >= 0 || delete_call_ >= 0 ||
        revoke_call_ >= 0)
        return;
    if (deregistering_) {
        if (!deleted_ && lease_.key_written) {
            etcdserverpb::DeleteRangeRequest request;
            request.set_key(key_.key);
            delete_call_ = start_call("/etcdserverpb.KV/DeleteRange", request);
        } else if (lease_.id != 0) {
            etcdserverpb::LeaseRevokeRequest request;
            request.set_id(lease_.id);
            revoke_call_ = start_call("/etcdserverpb.Lease/LeaseRevoke", request);
        } else {
            over_ = true;
        }
        return;
    }
    if (lease_.id != 0 && !std::exchange(lease_checked_, true)) {
        etcdserverpb::LeaseTimeToLiveRequest request;
        request.set_id(lease_.id);
        ttl_call_ = start_call("/etcdserverpb.Lease/LeaseTimeToLive", request);
    } else if (lease_.id == 0) {
        lease_checked_ = true;
        etcdserverpb::LeaseGrantRequest request;
        request.set_ttl(key_.ttl_s);
        grant_call_ = start_call("/etcdserverpb.Lease/LeaseGrant", request);
    } else if (!lease_.key_written) {
        etcdserverpb::PutRequest request;
        request.set_key(key_.key);
        request.set_value(key_.value);
        request.set_lease(lease_.id);
        put_call_ = start_call("/etcdserverpb.KV/Put", request);
    } else if (keep_alive_call_ < 0) {
        keep_alive_call_ = session_.start_call("/etcdserverpb.Lease/LeaseKeepAlive", authority_, token_);
        next_renewal_at_ = now_;
        set_time(now_);
    }
}

void Registrar::set_time(Ticks now) {
    now_ = std::max(now_, now);
    if (has_failed() || over_) return;
    // Without a timeout, the lease could expire unnoticed on a connection that is dead though open.
    if (answer_deadline_ >= 0 && now_ >= answer_deadline_) return fail("no answer within the answer timeout");
    if (keep_alive_call_ < 0 || now_ < next_renewal_at_) return;
    etcdserverpb::LeaseKeepAliveRequest request;
    request.set_id(lease_.id);
    session_.send(keep_alive_call_, request.SerializeAsString(), false);
    if (answer_deadline_ < 0)
        answer_deadline_ = now_ + key_.answer_timeout; // of the oldest unanswered renewal
    next_renewal_at_ = now_ + std::max<Ticks>(1, key_.ttl_s * 10000 / 3);
}

void Registrar::handle_event(const http2::Event &event) {
    using Kind = http2::Event::Kind;
    if (event.kind == Kind::going_away) return fail("registry member sent GOAWAY");
    if (event.kind == Kind::message) return handle_message(event);
    if (event.kind != Kind::ended) return;
    if (event.call == keep_alive_call_) return fail("lease keep-alive ended: " + event.text);
    const bool succeeded = event.status == 0;
    if (event.call == grant_call_) {
        grant_call_ = answer_deadline_ = -1;
        if (!succeeded || lease_.id == 0) return fail("lease not granted: " + event.text);
        return start_next_call();
    }
    if (event.call == ttl_call_) {
        ttl_call_ = answer_deadline_ = -1;
        if (!succeeded) return fail("lease time-to-live not answered: " + event.text);
        return start_next_call();
    }
    if (event.call == put_call_) {
        put_call_ = answer_deadline_ = -1;
        // If the lease is not found, a new one is requested.
        if (!succeeded && event.status != kStatusNotFound) return fail("key not written: " + event.text);
        if (!succeeded)
            lease_ = {};
        else
            lease_.key_written = true;
        return start_next_call();
    }
    if (event.call == delete_call_) {
        delete_call_ = answer_deadline_ = -1;
        deleted_ = succeeded;
        lease_.key_written = lease_.key_written && !succeeded;
        if (!succeeded) return fail("key not deleted: " + event.text);
        return start_next_call();
    }
    if (event.call == revoke_call_) {
        revoke_call_ = answer_deadline_ = -1;
        lease_ = {};
        start_next_call();
    }
}

void Registrar::handle_message(const http2::Event &event) {
    if (event.call == grant_call_) {
        etcdserverpb::LeaseGrantResponse response;
        if (!response.ParseFromString(event.data) || response.id() == 0)
            return fail("malformed lease grant response");
        lease_ = {response.id(), false};
    }
    if (event.call == ttl_call_) {
        etcdserverpb::LeaseTimeToLiveResponse response;
        if (!response.ParseFromString(event.data)) return fail("malformed lease time-to-live response");
        if (response.ttl() <= 0) lease_ = {}; // the lease expired unrenewed, and its key with it
    }
    if (event.call == keep_alive_call_) {
        etcdserverpb::LeaseKeepAliveResponse response;
        if (!response.ParseFromString(event.data)) return fail("malformed lease keep-alive response");
        answer_deadline_ = -1;
        if (response.ttl() > 0) {
            return;
        }
        // The lease has expired, and its key with it: both are created again.
        lease_ = {};
        session_.cancel(std::exchange(keep_alive_call_, -1));
        start_next_call();
    }
}

} // namespace pineridge::membership::etcd
