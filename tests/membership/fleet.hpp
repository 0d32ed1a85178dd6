// Many sources, one for each router of a fleet, that follow one grpc++ registry, each with its own view, on
// several event loops; for a test and a benchmark. A drain is timed from its writing until each view reports
// it.
#pragma once

#include "list_value.hpp"
#include "membership/etcd/follower.hpp"
#include "membership/source.hpp"
#include "standins/registry/registry.hpp"

#include <atomic>
#include <mutex>
#include <sstream>
#include <thread>

namespace pineridge::membership {

using Clock = std::chrono::steady_clock;

inline Ticks ticks_since(Clock::time_point began) {
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began).count() / 100;
}

class SourceFleet {
  public:
    SourceFleet(standins::Registry &registry, int routers, int loops, Ticks spread)
        : registry_(registry), log_(logged_, "fleet", Level::error) {
        for (int i = 0; i < loops; ++i) loops_.push_back(std::make_unique<Loop>());
        for (int i = 0; i < routers; ++i) {
            Loop &loop = *loops_[static_cast<std::size_t>(i % loops)];
            SourceOptions options;
            options.endpoints = {read_address(registry.address(), "endpoint")};
            options.prefix = "/hosts/";
            options.endpoint_rules.read_spread = spread;
            options.endpoint_rules.max_backoff = 2000;
            options.view_rules.max_hosts = 50000;
            options.stale_after = 0;
            options.make_protocol = [](View &view, const std::string &authority) {
                return std::make_shared<etcd::Follower>(view, read_value, "/hosts/", authority, "",
                                                        etcd::Timing{200000, 10000, 100000, 1000000}, 500);
            };
            auto &source = loop.sources.emplace_back();
            source = std::make_unique<Source>(
                loop.io, std::move(options), read_value, limits_, log_, static_cast<std::uint64_t>(i) + 1,
                [began = began_] { return ticks_since(began); },
                [this](const Listing &listing) { take(listing); });
            source->begin();
        }
        for (const auto &loop : loops_)
            loop->thread = std::thread([one = loop.get()] {
                while (!one->stopped) one->io.run_for(std::chrono::milliseconds(20));
            });
    }
    ~SourceFleet() {
        for (const auto &loop : loops_) {
            boost::asio::post(loop->io, [one = loop.get()] {
                for (const auto &source : one->sources) source->stop();
            });
            std::this_thread::sleep_for(
                std::chrono::milliseconds(60)); // pending handlers finish on their loop
            loop->stopped = true;
            loop->thread.join();
        }
    }
    // Writes the current time as the host's start time, from which the delay in each view is measured.
    void drain(const std::string &id) {
        registry_.put("/hosts/" + id,
                      R"({"state":"terminating","started_ms":)" + std::to_string(ticks_since(began_)) + "}");
    }
    void ready(const std::string &id) {
        registry_.put("/hosts/" + id, R"({"state":"in_service","started_ms":0})");
    }
    std::vector<Ticks> take_drain_delays() {
        const std::lock_guard guard(lock_);
        return std::exchange(drain_delays_, {});
    }
    std::size_t received_entries() const { return received_entries_; } // in all views
    std::size_t received_bytes() const {
        std::size_t all = 0;
        for (const auto &loop : loops_)
            for (const auto &source : loop->sources) all += source->received_bytes();
        return all;
    }

  private:
    struct Loop {
        boost::asio::io_context io{1};
        std::vector<std::unique_ptr<Source>> sources;
        std::thread thread;
        std::atomic<bool> stopped{false};
    };
    void take(const Listing &listing) {
        received_entries_ += listing.members.size();
        for (const Member &member : listing.members)
            if (member.entry.status == HostStatus::draining) {
                const std::lock_guard guard(lock_);
                drain_delays_.push_back(ticks_since(began_) - member.entry.started);
            }
    }

    standins::Registry &registry_;
    const Clock::time_point began_ = Clock::now();
    const Limits limits_{};
    std::ostringstream logged_;
    Log log_;
    std::vector<std::unique_ptr<Loop>> loops_;
    std::mutex lock_;
    std::vector<Ticks> drain_delays_;
    std::atomic<std::size_t> received_entries_{0};
};

} // namespace pineridge::membership
