// The leader's view of a worker's capacity when its heartbeats arrive through several relays.
//
// A relay sends a worker's full report once, and later only that nothing has changed. A worker that moved
// from one relay to another and back kept the capacity that the other relay had reported, 8 cores instead of
// 4, until its capacity changed again. The same happened when the one frame with the full report was lost
// with its connection. So an unchanged report names the full report that it repeats, and the leader requests
// the full report where it has another one.
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::int64_t large = 8000; // millicores
constexpr std::int64_t small = 4000;

/// A leader and two relays that forward heartbeats to it.
class relayed_world {
public:
    relayed_world() : leader(dispatch_settings{}, m_job_state), first(make_agent(1)), second(make_agent(2)) {
        leader.start_leading(1, m_now, 0);
        send_leader_frame(first);
        send_leader_frame(second);
    }

    /// Delivers a heartbeat of the only worker to a relay, and the relay's frames to the leader.
    void send_heartbeat(relay_agent& relay, std::int64_t millicores) {
        receive_heartbeat(relay, millicores);
        forward_to_leader(relay);
    }
    /// Delivers a heartbeat to a relay, and loses the relay's frame to the leader.
    void send_lost_heartbeat(relay_agent& relay, std::int64_t millicores) {
        receive_heartbeat(relay, millicores);
        send_leader_frame(relay);
        m_now += m_settings.min_frame_interval;
        EXPECT_TRUE(relay.take_answers(m_now).has_value());
    }
    [[nodiscard]] std::int64_t get_known_millicores() const {
        return leader.find_worker_state({"w1", 0})->report.capacity.millicores;
    }

private:
    job_state_machine m_job_state;
    relay_settings m_settings;
    time_point m_now{seconds{100}};
    std::uint64_t m_sequence = 0;

public:
    dispatcher leader;
    relay_agent first;
    relay_agent second;

private:
    relay_agent make_agent(std::uint32_t ip) const {
        return relay_agent(m_settings, {ip, "hall"},
                           [](const worker_order&, const relay_agent::outcome_handler&) {});
    }

    void send_leader_frame(relay_agent& relay, const std::vector<std::string>& unknown = {}) {
        job_wire::relay_orders frame;
        frame.set_term(1);
        frame.mutable_unknown_workers()->Add(unknown.begin(), unknown.end());
        EXPECT_FALSE(relay.on_orders(frame, m_now).has_value());
    }

    void receive_heartbeat(relay_agent& relay, std::int64_t millicores) {
        worker_report report;
        report.incarnation = {"w1", 0};
        report.address = "10.9.0.1:80";
        report.pool = "mill";
        report.capacity = {millicores, 1000, 0};
        report.sequence = ++m_sequence;
        report.clock_ms = to_milliseconds(m_now.time_since_epoch());
        relay.on_report(report, m_now);
    }

    void forward_to_leader(relay_agent& relay) {
        std::vector<std::string> unknown;
        do {
            send_leader_frame(relay, std::exchange(unknown, {}));
            m_now += m_settings.min_frame_interval;
            const auto frame = relay.take_answers(m_now).value_or(job_wire::relay_answers{});
            for (const auto& report : frame.reports()) {
                if (report.is_whole()) {
                    leader.on_heartbeat(decode(report), m_now);
                } else if (!leader.on_unchanged_report(decode_unchanged_report(report), m_now)) {
                    unknown.push_back(report.worker());
                }
            }
        } while (!unknown.empty());
    }
};

TEST(relayed_room, is_what_the_worker_reported_last_through_any_relay) {
    relayed_world world;
    world.send_heartbeat(world.first, small);
    world.send_heartbeat(world.second, large);
    EXPECT_EQ(world.get_known_millicores(), large);
    world.send_heartbeat(world.first, small);
    EXPECT_EQ(world.get_known_millicores(), small);
}

TEST(relayed_room, is_requested_again_when_the_frame_that_reported_it_was_lost) {
    relayed_world world;
    world.send_heartbeat(world.first, large);
    world.send_lost_heartbeat(world.first, small);
    world.send_heartbeat(world.first, small);
    EXPECT_EQ(world.get_known_millicores(), small);
}

} // namespace
} // namespace poplarpitch
