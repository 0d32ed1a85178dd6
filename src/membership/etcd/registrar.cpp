#include "membership/etcd/registrar.hpp"

#include <algorithm>

namespace pineridge::membership::etcd {

Registrar::Registrar(LeaseState &lease, LeasedKey key, std::string authority, std::string token,
                     bool deregistering)
    : lease_(lease), key_(std::move(key)), authority_(std::move(authority)), token_(std::move(token)),
      deregistering_(deregistering) {}

std::int32_t Registrar::call(const char *method, const google::protobuf::MessageLite &message) {
    const std::int32_t id = session_.start_call(method, authority_, token_);
    session_.send(id, message.SerializeAsString(), true);
    due_ = now_ + key_.answer_timeout;
    return id;
}

void Registrar::begin(Ticks now) {
    now_ = now;
    go_on();
}

void Registrar::deregister() {
    if (std::exchange(deregistering_, true)) return;
    if (keep_call_ >= 0) session_.cancel(std::exchange(keep_call_, -1));
    go_on();
}

// The next step, once the one before is answered.
void Registrar::go_on() {
    if (dead() || over_ || grant_call_ >= 0 || put_call_ >= 0 || look_call_ >= 0 || delete_call_ >= 0 ||
        revoke_call_ >= 0)
        return;
    if (deregistering_) {
        if (!deleted_ && lease_.key_written) {
            etcdserverpb::DeleteRangeRequest request;
            request.set_key(key_.key);
            delete_call_ = call("/etcdserverpb.KV/DeleteRange", request);
        } else if (lease_.id != 0) {
            etcdserverpb::LeaseRevokeRequest request;
            request.set_id(lease_.id);
            revoke_call_ = call("/etcdserverpb.Lease/LeaseRevoke", request);
        } else {
            over_ = true;
        }
        return;
    }
    if (lease_.id != 0 && !std::exchange(looked_, true)) {
        etcdserverpb::LeaseTimeToLiveRequest request;
        request.set_id(lease_.id);
        look_call_ = call("/etcdserverpb.Lease/LeaseTimeToLive", request);
    } else if (lease_.id == 0) {
        looked_ = true;
        etcdserverpb::LeaseGrantRequest request;
        request.set_ttl(key_.ttl_s);
        grant_call_ = call("/etcdserverpb.Lease/LeaseGrant", request);
    } else if (!lease_.key_written) {
        etcdserverpb::PutRequest request;
        request.set_key(key_.key);
        request.set_value(key_.value);
        request.set_lease(lease_.id);
        put_call_ = call("/etcdserverpb.KV/Put", request);
    } else if (keep_call_ < 0) {
        keep_call_ = session_.start_call("/etcdserverpb.Lease/LeaseKeepAlive", authority_, token_);
        renew_at_ = now_;
        clock(now_);
    }
}

void Registrar::clock(Ticks now) {
    now_ = std::max(now_, now);
    if (dead() || over_) return;
    // Stops a connection that is open and dead from letting the lease run out unseen.
    if (due_ >= 0 && now_ >= due_) return fail("no answer");
    if (keep_call_ < 0 || now_ < renew_at_) return;
    etcdserverpb::LeaseKeepAliveRequest request;
    request.set_id(lease_.id);
    session_.send(keep_call_, request.SerializeAsString(), false);
    if (due_ < 0) due_ = now_ + key_.answer_timeout; // of the eldest renewal without an answer
    renew_at_ = now_ + std::max<Ticks>(1, key_.ttl_s * 10000 / 3);
}

void Registrar::take(const http2::Event &event) {
    using Kind = http2::Event::Kind;
    if (event.kind == Kind::going_away) return fail("the member is going away");
    if (event.kind == Kind::message) return take_message(event);
    if (event.kind != Kind::ended) return;
    if (event.call == keep_call_) return fail("renewing ended: " + event.text);
    const bool sound = event.status == 0;
    if (event.call == grant_call_) {
        grant_call_ = due_ = -1;
        if (!sound || lease_.id == 0) return fail("no lease: " + event.text);
        return go_on();
    }
    if (event.call == look_call_) {
        look_call_ = due_ = -1;
        if (!sound) return fail("no word of the lease: " + event.text);
        return go_on();
    }
    if (event.call == put_call_) {
        put_call_ = due_ = -1;
        // 5: the lease is not found. Another is asked for.
        if (!sound && event.status != 5) return fail("the key is not taken: " + event.text);
        if (!sound)
            lease_ = {};
        else
            lease_.key_written = true;
        return go_on();
    }
    if (event.call == delete_call_) {
        delete_call_ = due_ = -1;
        deleted_ = sound;
        lease_.key_written = lease_.key_written && !sound;
        if (!sound) return fail("the key is not taken away: " + event.text);
        return go_on();
    }
    if (event.call == revoke_call_) {
        revoke_call_ = due_ = -1;
        lease_ = {};
        go_on();
    }
}

void Registrar::take_message(const http2::Event &event) {
    if (event.call == grant_call_) {
        etcdserverpb::LeaseGrantResponse told;
        if (!told.ParseFromString(event.data) || told.id() == 0) return fail("a lease that cannot be read");
        lease_ = {told.id(), false};
    }
    if (event.call == look_call_) {
        etcdserverpb::LeaseTimeToLiveResponse told;
        if (!told.ParseFromString(event.data)) return fail("a lease that cannot be read");
        if (told.ttl() <= 0) lease_ = {}; // ran out while nobody renewed it, and the key with it
    }
    if (event.call == keep_call_) {
        etcdserverpb::LeaseKeepAliveResponse told;
        if (!told.ParseFromString(event.data)) return fail("a renewal that cannot be read");
        due_ = -1;
        if (told.ttl() > 0) {
            return;
        }
        // The lease has run out, and the key with it: both anew.
        lease_ = {};
        session_.cancel(std::exchange(keep_call_, -1));
        go_on();
    }
}

} // namespace pineridge::membership::etcd
