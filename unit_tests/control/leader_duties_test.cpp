#include "poplarpitch/control/cluster_bootstrap.h"
#include "poplarpitch/control/leader_duties.h"
#include "poplarpitch/control/renew_answer_builder.h"
#include "poplarpitch/state/state_machine.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr const char* config_text = "[tenant big]\nweight = 1\n[tenant small]\nweight = 1\n[tenant capped]\n"
                                    "quota_cores = 2\n[service s]\n[batch b]\ncores = 1\nmemory = 1GB\n"
                                    "[batch rush]\ncores = 60\nmemory = 1GB\nurgent = true\n";

/// The leader's duties on a state machine without a log: their commands are applied at once.
class leader_duties_test : public testing::Test {
protected:
    leader_duties_test() {
        wire::command command;
        command.mutable_config()->set_text(config_text);
        apply(command);
    }

    wire::command_result apply(const wire::command& command) { return m_state.apply(++m_index, command); }

    void renew(const std::string& entry, const std::string& data_centre = "") {
        if (m_state.get_fleet().find_session(entry) == nullptr) {
            wire::command open;
            open.mutable_open()->mutable_opened()->set_entry(entry);
            open.mutable_open()->mutable_opened()->set_incarnation(1);
            open.mutable_open()->mutable_opened()->set_data_centre(data_centre);
            apply(open);
        }
        wire::renew_request request;
        request.set_entry(entry);
        request.set_incarnation(1);
        for (const auto& id : m_state.get_fleet().get_owned(entry)) {
            auto& load = *request.add_loads();
            load.set_worker(id);
            load.set_ready(true);
        }
        m_duties.renew(m_state, request, m_now);
    }

    void add_worker(const std::string& id, const std::string& data_centre = "") {
        wire::command command;
        auto& worker = *command.mutable_register_target()->mutable_registered();
        worker.set_id(id);
        worker.set_address(id + ":1");
        worker.set_data_centre(data_centre);
        worker.add_services("s");
        worker.mutable_capacity()->set_millicores(64000);
        worker.mutable_capacity()->set_memory(256LL << 30);
        apply(command);
    }

    void submit(const std::string& id, const std::string& tenant, const std::string& batch = "b",
                std::int64_t millicores = 1000) {
        wire::command command;
        auto& job = *command.mutable_submit()->mutable_submitted();
        job.set_id(id);
        job.set_tenant(tenant);
        job.set_batch(batch);
        job.set_urgent(batch == "rush");
        job.set_idempotent(true);
        job.mutable_need()->set_millicores(millicores);
        job.set_submitted_ms(static_cast<std::int64_t>(m_index));
        EXPECT_EQ(apply(command).code(), 0U);
    }

    void start_task(const std::string& id) {
        wire::command command;
        command.mutable_event()->set_job(id);
        command.mutable_event()->set_attempt(m_state.get_jobs().find(id)->attempt());
        command.mutable_event()->set_kind(wire::event_started);
        apply(command);
    }

    /// Runs the duties `turns` times, 100 ms apart, and applies their commands.
    void run(int turns = 1) {
        for (int turn = 0; turn < turns; ++turn) {
            for (const auto& command : m_duties.run(m_state, 100, m_now, 1000)) {
                apply(command);
            }
            m_now += milliseconds{100};
        }
    }

    state_machine m_state;
    leader_duties m_duties;
    log_index m_index = 0;
    time_point m_now{seconds{100}};
};

TEST_F(leader_duties_test, assigns_workers_evenly_to_entries_of_their_data_centre) {
    renew("e1", "north");
    renew("e2", "south");
    add_worker("w1", "north");
    add_worker("w2", "south");
    add_worker("w3", "south");
    run();
    EXPECT_EQ(m_state.get_fleet().find_worker("w1")->owner(), "e1");
    EXPECT_EQ(m_state.get_fleet().find_worker("w2")->owner(), "e2");
    EXPECT_EQ(m_state.get_fleet().find_worker("w3")->owner(), "e2");
}

TEST_F(leader_duties_test, moves_workers_to_a_new_entry_one_at_a_time) {
    renew("e1");
    for (int index = 0; index < 8; ++index) {
        add_worker("w" + std::to_string(index));
    }
    run();
    EXPECT_EQ(m_state.get_fleet().get_owned("e1").size(), 8U);
    renew("e2");
    run(1);
    EXPECT_EQ(m_state.get_fleet().get_owned("e2").size(), 1U);
    for (int turn = 0; turn < 20; ++turn) {
        renew("e1");
        renew("e2");
        run();
    }
    EXPECT_EQ(m_state.get_fleet().get_owned("e2").size(), 4U);
}

TEST_F(leader_duties_test, expires_a_silent_session_after_its_lease) {
    renew("e1");
    add_worker("w1");
    run();
    m_now += seconds{1};
    run();
    EXPECT_EQ(m_state.get_fleet().find_worker("w1")->owner(), "e1");
    m_now += seconds{1};
    run();
    EXPECT_EQ(m_state.get_fleet().find_worker("w1")->owner(), "");
}

TEST_F(leader_duties_test, new_leader_expires_no_session_before_a_full_lease) {
    renew("e1");
    add_worker("w1");
    run();
    m_now += seconds{60}; // the entry renewed at the old leader during this time
    leader_duties next;
    next.start(m_state, m_now);
    for (const auto& command : next.run(m_state, 100, m_now + milliseconds{1600}, 1000)) {
        EXPECT_FALSE(command.has_close());
    }
    bool is_closed = false;
    for (const auto& command : next.run(m_state, 100, m_now + milliseconds{1651}, 1000)) {
        is_closed = is_closed || command.has_close();
    }
    EXPECT_TRUE(is_closed);
}

TEST_F(leader_duties_test, class_excluded_for_interference_is_probed_periodically) {
    renew("e1");
    add_worker("w1");
    run();
    wire::renew_request request;
    request.set_entry("e1");
    request.set_incarnation(1);
    request.add_loads()->set_worker("w1");
    request.mutable_loads(0)->set_ready(true);
    (*request.mutable_loads(0)->mutable_rates())["s"] = 10;
    auto& sample = *request.add_interference(); // slowdown of the worker's service by a task of the class
    sample.set_service("s");
    sample.set_batch("b");
    sample.set_slowdown(20);
    sample.set_weight(1000);
    const auto renew_all = [&] {
        m_duties.renew(m_state, request, m_now);
    };
    renew_all();
    for (int index = 0; index < 3; ++index) {
        submit("j" + std::to_string(index), "big", "b", 16000);
    }
    run(5);
    EXPECT_EQ(m_state.get_jobs().get_active_count(), 0U);
    for (std::size_t probes = 1; probes <= 2; ++probes) {
        m_now += seconds{61};
        renew_all();
        run(5);
        EXPECT_EQ(m_state.get_jobs().get_active_count(), probes);
    }
}

TEST_F(leader_duties_test, places_jobs_within_quota_and_in_fair_order) {
    renew("e1");
    add_worker("w1");
    run();
    renew("e1");
    for (int index = 0; index < 5; ++index) {
        submit("capped-" + std::to_string(index), "capped");
    }
    run();
    EXPECT_EQ(m_state.get_jobs().get_usage("capped").active_millicores, 2000);
    for (int index = 0; index < 100; ++index) {
        submit("big-" + std::to_string(index), "big");
    }
    for (int index = 0; index < 100; ++index) {
        submit("small-" + std::to_string(index), "small");
    }
    run();
    EXPECT_NEAR(static_cast<double>(m_state.get_jobs().get_usage("big").active_millicores), 31000, 1000);
    EXPECT_NEAR(static_cast<double>(m_state.get_jobs().get_usage("small").active_millicores), 31000, 1000);
}

TEST_F(leader_duties_test, evicts_for_an_urgent_job_within_the_eviction_budget) {
    renew("e1");
    add_worker("w1");
    run();
    renew("e1");
    for (int index = 0; index < 10; ++index) {
        submit("big-" + std::to_string(index), "big", "b", 6000);
    }
    run();
    for (int index = 0; index < 10; ++index) {
        start_task("big-" + std::to_string(index));
    }
    submit("rush", "small", "rush", 8000);
    run(30);
    int evictions = 0;
    m_state.get_jobs().for_each([&](const wire::job& job) { evictions += job.evict_requested() ? 1 : 0; });
    EXPECT_GE(evictions, 1);
    EXPECT_LE(evictions, 3);
}

TEST_F(leader_duties_test, parks_a_queued_job_once_no_worker_could_hold_it) {
    renew("e1");
    submit("huge", "big", "b", 100'000); // accepted while no worker was known
    add_worker("w1");
    run(2);
    EXPECT_EQ(m_state.get_jobs().find("huge")->state(), wire::job_parked);
}

TEST_F(leader_duties_test, restarts_a_lost_task_only_after_its_lease) {
    renew("e1");
    add_worker("w1");
    run();
    renew("e1");
    submit("j", "big");
    run();
    start_task("j");
    wire::command lost;
    lost.mutable_event()->set_job("j");
    lost.mutable_event()->set_attempt(1);
    lost.mutable_event()->set_kind(wire::event_lost);
    apply(lost);
    run();
    m_now += seconds{9};
    run();
    EXPECT_EQ(m_state.get_jobs().find("j")->state(), wire::job_running);
    m_now += seconds{2};
    run();
    EXPECT_EQ(m_state.get_jobs().find("j")->state(), wire::job_queued);
}

TEST_F(leader_duties_test, renewal_carries_only_what_changed) {
    renew("e1");
    add_worker("w1");
    run();
    wire::renew_request request;
    request.set_entry("e1");
    const auto first = make_renew_answer(m_state, m_duties.get_sessions(), request);
    EXPECT_EQ(first.owned_size(), 1);
    EXPECT_TRUE(first.has_config());
    request.set_known_revision(first.revision());
    request.set_known_config(first.config().version());
    const auto second = make_renew_answer(m_state, m_duties.get_sessions(), request);
    EXPECT_EQ(second.owned_size(), 0);
    EXPECT_FALSE(second.has_config());
}

TEST(decide_bootstrap, creates_a_cluster_only_when_all_initial_voters_are_blank) {
    const peer_bootstrap_state blank{true, false, false};
    const peer_bootstrap_state absent{false, false, false};
    const peer_bootstrap_state cluster_with_us{true, true, true};
    const peer_bootstrap_state cluster_without_us{true, true, false};
    EXPECT_EQ(decide_bootstrap(false, {blank, blank}), bootstrap_action::create);
    EXPECT_EQ(decide_bootstrap(false, {blank, absent}), bootstrap_action::wait);
    EXPECT_EQ(decide_bootstrap(false, {absent, cluster_with_us}),
              bootstrap_action::refuse); // a voter without its data
    EXPECT_EQ(decide_bootstrap(false, {cluster_without_us, absent}), bootstrap_action::join);
    EXPECT_EQ(decide_bootstrap(true, {absent, absent}), bootstrap_action::join);
}

} // namespace
} // namespace poplarpitch
