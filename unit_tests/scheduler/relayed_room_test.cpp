// What the leader believes of a worker's room when its heartbeats come by several instances.
//
// A relay tells the leader a worker's whole report once, and later only that nothing is new since. A worker
// whose heartbeats went by one relay, then another, then the first again was believed what the other one had
// told: its room of 4 cores stood as 8 at the leader, until it changed again. So it did when the one frame
// with the whole report was lost with its connection. Now "nothing new" names the report that it repeats, and
// the leader asks for the whole one where it knows another.
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/scheduling/job_book.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::int64_t large = 8000; // millicores
constexpr std::int64_t small = 4000;

/// A leader and two relays that pass heartbeats on to it.
class relayed_world {
public:
    relayed_world() : leader(dispatch_settings{}, m_book), first(make_agent(1)), second(make_agent(2)) {
        leader.lead(1, m_now, 0);
        greet(first);
        greet(second);
    }

    /// Lets a heartbeat of the one worker come to a relay, and what the relay says to the leader.
    void beat(relay_agent& relay, std::int64_t millicores) {
        hear(relay, millicores);
        pass_on(relay);
    }
    /// Lets a heartbeat come to a relay whose frame is lost on its way to the leader.
    void beat_in_vain(relay_agent& relay, std::int64_t millicores) {
        hear(relay, millicores);
        greet(relay);
        m_now += m_settings.min_frame_interval;
        EXPECT_TRUE(relay.take_answers(m_now).has_value());
    }
    [[nodiscard]] std::int64_t get_believed() const {
        return leader.find_worker_state({"w1", 0})->report.capacity.millicores;
    }

private:
    job_book m_book;
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

    void greet(relay_agent& relay, const std::vector<std::string>& unknown = {}) {
        job_wire::relay_orders frame;
        frame.set_term(1);
        frame.mutable_unknown_workers()->Add(unknown.begin(), unknown.end());
        EXPECT_FALSE(relay.on_orders(frame, m_now).has_value());
    }

    void hear(relay_agent& relay, std::int64_t millicores) {
        worker_report report;
        report.life = {"w1", 0};
        report.address = "10.9.0.1:80";
        report.pool = "mill";
        report.capacity = {millicores, 1000, 0};
        report.sequence = ++m_sequence;
        report.clock_ms = to_milliseconds(m_now.time_since_epoch());
        relay.on_report(report, m_now);
    }

    void pass_on(relay_agent& relay) {
        std::vector<std::string> unknown;
        do {
            greet(relay, std::exchange(unknown, {}));
            m_now += m_settings.min_frame_interval;
            const auto frame = relay.take_answers(m_now).value_or(job_wire::relay_answers{});
            for (const auto& report : frame.reports()) {
                if (report.is_whole()) {
                    leader.on_heartbeat(decode(report), m_now);
                } else if (!leader.on_sign_of_life(decode_sign_of_life(report), m_now)) {
                    unknown.push_back(report.worker());
                }
            }
        } while (!unknown.empty());
    }
};

TEST(relayed_room, is_what_the_worker_told_last_by_whichever_relay) {
    relayed_world world;
    world.beat(world.first, small);
    world.beat(world.second, large);
    EXPECT_EQ(world.get_believed(), large);
    world.beat(world.first, small);
    EXPECT_EQ(world.get_believed(), small);
}

TEST(relayed_room, is_asked_for_again_when_the_frame_that_told_it_was_lost) {
    relayed_world world;
    world.beat(world.first, large);
    world.beat_in_vain(world.first, small);
    world.beat(world.first, small);
    EXPECT_EQ(world.get_believed(), small);
}

} // namespace
} // namespace poplarpitch
