#pragma once

#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/entry/owned_fleet.h"
#include "poplarpitch/entry/request_dispatcher.h"
#include "poplarpitch/entry/task_agent.h"

#include <gtest/gtest.h>

namespace poplarpitch {

/// The components of an entry without I/O, with one worker; tests drive them step by step.
class fleet_fixture : public testing::Test {
protected:
    fleet_fixture() : m_fleet("e1"), m_dispatcher(m_fleet, 1), m_tasks(m_fleet) {
        const auto parsed =
            parse_configuration("[tenant t]\nmax_in_flight = 50\n[service s]\ndeadline = 1s\n"
                                "max_queue = 5\n[service top]\ndepends = s\n[batch b]\ncores = 1\n");
        EXPECT_TRUE(parsed.errors.empty());
        const auto settings = std::make_shared<const configuration>(parsed.value);
        m_fleet.set_configuration(settings);
        m_dispatcher.set_configuration(settings);
    }

    /// Makes the entry the owner of worker `w` under `epoch`, or gives it a newer record of that ownership.
    void own(std::uint64_t epoch = 2, int slots = 2, bool is_silent = false) {
        wire::worker record;
        record.set_silent(is_silent);
        record.set_id("w");
        record.set_address("w:1");
        record.set_epoch(epoch);
        record.add_services("s");
        record.mutable_capacity()->set_slots(slots);
        record.mutable_capacity()->set_millicores(8000);
        record.mutable_capacity()->set_memory(1LL << 40);
        record.set_incarnation(77);
        m_fleet.set_owned_workers({record}, m_now);
        m_dispatcher.set_entries({});
    }

    announcement make_announcement(std::uint64_t epoch, bool is_complete,
                                   std::vector<std::string> requests = {}) {
        announcement message;
        message.id = "w";
        message.address = "w:1";
        message.services = {"s"};
        message.capacity = {2, 8000, 1LL << 40, 0};
        message.epoch = epoch;
        message.incarnation = 77;
        message.sequence = ++m_sequence;
        message.is_complete = is_complete;
        message.requests = std::move(requests);
        return message;
    }

    void announce(const announcement& message) {
        m_fleet.apply_announcement(message, m_now);
        m_events = m_tasks.on_announced(message, m_now, 1);
        m_dispatcher.set_entries({});
    }

    call_info make_call(const std::string& id = "r", duration left = seconds{1}) {
        call_info call;
        call.request_id = id;
        call.service = "s";
        call.tenant = "t";
        call.deadline = m_now + left;
        return call;
    }

    wire::renew_answer make_jobs(wire::job_state state, std::uint64_t epoch, std::uint64_t attempt = 1) {
        wire::renew_answer answer;
        auto& job = *answer.add_jobs();
        job.set_id("j");
        job.set_tenant("t");
        job.set_batch("b");
        job.set_state(state);
        job.set_attempt(attempt);
        job.set_worker("w");
        job.set_epoch(epoch);
        job.set_idempotent(true);
        job.set_worker_incarnation(77);
        job.mutable_reserved()->set_millicores(1000);
        return answer;
    }

    wire::job_event_kind only_event_kind() {
        return m_events.size() == 1 ? m_events[0].command.event().kind() : wire::event_none;
    }

    owned_fleet m_fleet;
    request_dispatcher m_dispatcher;
    task_agent m_tasks;
    std::vector<task_agent::reported_event> m_events;
    time_point m_now{seconds{100}};
    std::uint64_t m_sequence = 0;
};

} // namespace poplarpitch
