// Runs a cluster of real processes. Repeatedly, all control instances lose power at the same moment and two
// of them also lose their disks, while the workers continue and misbehave in every way that the platform
// allows. No task may run twice at once or after its acknowledged end, and every job must end.
// POPLARPITCH_SEED selects a single other seed.
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr int instance_count = 5;
constexpr std::size_t wiped_count = 2; // the number of lost disks that is tolerated
constexpr int worker_count = 10;
constexpr int round_count = 2;
constexpr int long_running_count = 6;
constexpr int max_attempts = 6;
constexpr int max_worker_crashes = 2; // a task may fail after three crashes of its workers
const std::string long_running_job = "0000000000001f00";
const std::vector<std::string> data_centres = {"z0", "z0", "z1", "z1", "z2"};

std::vector<std::uint64_t> get_seeds() {
    const char* text = std::getenv("POPLARPITCH_SEED");
    return text == nullptr ? std::vector<std::uint64_t>{1, 2, 3}
                           : std::vector<std::uint64_t>{std::strtoull(text, nullptr, 10)};
}

/// A short lease expires while all schedulers are down, a long one does not.
std::string get_lease_setting(std::uint64_t seed) {
    return seed % 4 < 2 ? "lease = 2s\n" : "lease = 5s\n";
}

worker_behaviour make_behaviour(std::uint64_t seed) {
    worker_behaviour behaviour;
    behaviour.seed = seed;
    behaviour.restart_mode = seed % 2 == 0 ? worker_restart_mode::same_id : worker_restart_mode::new_id;
    behaviour.has_random_ids = true;
    behaviour.slots = 8;
    behaviour.zones = {"z0", "z1", "z2"};
    behaviour.shortest_run = milliseconds{600};
    behaviour.longest_run = milliseconds{2200};
    behaviour.longest_stop = milliseconds{700};
    behaviour.slowest_clock = 0.98;
    behaviour.idle_timeout = milliseconds{300};
    behaviour.failed_run_percent = 5;
    behaviour.late_answer_percent = 4;
    behaviour.unanswered_order_percent = 3;
    behaviour.late_order_percent = 4;
    behaviour.disconnect_percent = 3;
    behaviour.late_list_percent = 20;
    behaviour.late_heartbeat_percent = 5;
    return behaviour;
}

class replaced_cluster : public testing::TestWithParam<std::uint64_t> {
public:
    ~replaced_cluster() override {
        std::ofstream(absl::StrCat(m_cluster.get_folder(), "/timeline.txt")) << m_timeline;
        std::ofstream(absl::StrCat(m_cluster.get_folder(), "/tasks.txt"))
            << m_workers.get_record().describe({});
        if (HasFailure()) {
            std::cerr << m_timeline << m_workers.get_record().describe();
        }
    }

protected:
    int pick(int lowest, int highest) {
        return lowest + static_cast<int>(m_random() % static_cast<unsigned>(highest - lowest + 1));
    }

    /// Sleeps for a random time, so that the next event occurs at a random moment.
    void sleep_random(int min_ms, int max_ms) { absl::SleepFor(absl::Milliseconds(pick(min_ms, max_ms))); }

    void add_to_timeline(const std::string& what) {
        absl::StrAppend(&m_timeline, absl::FormatTime("%H:%M:%E3S", absl::Now(), absl::UTCTimeZone()), " ",
                        what, "\n");
    }

    static void wait_until(const std::function<bool()>& condition) {
        const auto end = absl::Now() + absl::Nanoseconds(wait_timeout.count());
        while (!condition() && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(20));
        }
        EXPECT_TRUE(condition());
    }

    void submit_job() {
        const auto id = absl::StrFormat("00000000000010%02x", m_jobs.size());
        ASSERT_TRUE(m_cluster.submit(id, pick(30, 80), wait_timeout));
        m_jobs.push_back(id);
        add_to_timeline("submitted " + id);
    }

    void start_load() {
        m_cluster.put_config(1, max_attempts);
        ASSERT_TRUE(m_cluster.submit_long_running(long_running_job, long_running_count, wait_timeout,
                                                  stand_in_workers::long_running_payload));
        submit_job();
        submit_job();
        wait_until([this] { return m_cluster.have_rejoined({}); });
        wait_until([this] { return m_workers.get_running_count() > long_running_count; });
    }

    void disturb_worker() {
        const int worker = pick(0, worker_count - 1);
        const int length = pick(200, 4000);
        const int kind = pick(0, 3);
        if (kind == 0 && m_crashes < max_worker_crashes) {
            ++m_crashes;
            add_to_timeline(
                absl::StrCat("worker ", worker + 1, " crashes and restarts after ", length, " ms"));
            m_workers.crash({worker}, milliseconds{length});
        } else if (kind == 1) {
            add_to_timeline(absl::StrCat("worker ", worker + 1, " drains and leaves after ", length, " ms"));
            m_workers.drain(worker, milliseconds{length}, milliseconds{pick(10, 1000)});
        } else if (kind == 2) {
            add_to_timeline(absl::StrCat("worker ", worker + 1, " is unhealthy for ", length, " ms"));
            m_workers.make_unhealthy(worker, milliseconds{length});
        } else {
            add_to_timeline(absl::StrCat("worker ", worker + 1, " accepts no calls for ", length, " ms"));
            m_workers.disconnect(worker, milliseconds{length});
        }
    }

    void restart_scheduler(int number) {
        add_to_timeline(absl::StrCat("kill scheduler ", number));
        m_cluster.get_scheduler(number).kill();
        sleep_random(0, 500);
        m_cluster.start_scheduler(number);
    }

    void suspend_scheduler(int number) {
        add_to_timeline(absl::StrCat("suspend scheduler ", number));
        m_cluster.get_scheduler(number).send(SIGSTOP);
        sleep_random(100, 2500);
        m_cluster.get_scheduler(number).send(SIGCONT);
        add_to_timeline(absl::StrCat("scheduler ", number, " goes on"));
    }

    void inject_fault() {
        const int leader = std::max(m_cluster.find_leader(), 1);
        const int number = pick(0, 2) == 0 ? leader : pick(1, instance_count);
        const int kind = pick(0, 3);
        if (kind == 0) {
            restart_scheduler(number);
        } else if (kind == 1) {
            suspend_scheduler(number);
        } else {
            disturb_worker();
        }
        sleep_random(50, 500);
    }

    /// Kills all schedulers, deletes the data of two of them if `wipe_disks`, and restarts all in random
    /// order within about a second. Precondition for `wipe_disks`: all schedulers vote.
    void power_cycle_all(bool wipe_disks) {
        std::vector<int> order = {1, 2, 3, 4, 5};
        std::shuffle(order.begin(), order.end(), m_random);
        m_cluster.crash_all();
        if (wipe_disks) {
            m_wiped.assign(order.begin(), order.begin() + wiped_count);
            std::shuffle(order.begin(), order.end(), m_random);
            for (const auto number : m_wiped) {
                m_cluster.delete_data(number);
                add_to_timeline(absl::StrCat("scheduler ", number, " loses its disk"));
            }
        }
        add_to_timeline("all schedulers have lost power");
        if (pick(0, 1) == 0) {
            disturb_worker();
        }
        for (const auto number : order) {
            sleep_random(0, 350);
            m_cluster.start_scheduler(number);
            add_to_timeline(absl::StrCat("scheduler ", number, " starts"));
        }
        m_cluster.start_gateway();
    }

    void run_round() {
        for (int count = pick(0, 2); count > 0; --count) {
            inject_fault();
        }
        submit_job();
        sleep_random(0, 700);
        power_cycle_all(true);
        submit_job();
        wait_until([this] { return m_cluster.have_rejoined(m_wiped); });
        add_to_timeline("the schedulers that lost their disks vote again");
        if (pick(0, 2) == 0) {
            sleep_random(0, 1500);
            power_cycle_all(false);
            submit_job();
        }
    }

    void expect_correct_end_state() {
        for (const auto& id : m_jobs) {
            EXPECT_TRUE(m_cluster.wait_for_state(id, "completed", wait_timeout)) << id;
        }
        wait_until([this] { return m_workers.get_running_count() == long_running_count; });
        EXPECT_EQ(m_workers.get_concurrent_start_count(), 0);
        EXPECT_EQ(m_workers.get_starts_after_done(), 0);
    }

    std::mt19937_64 m_random{GetParam()};
    std::string m_timeline;
    std::vector<std::string> m_jobs;
    std::vector<int> m_wiped;
    int m_crashes = 0;
    scheduler_cluster m_cluster{instance_count, get_lease_setting(GetParam()), data_centres};
    stand_in_workers m_workers{worker_count, m_cluster.get_control_addresses(), make_behaviour(GetParam())};
};

TEST_P(replaced_cluster, runs_nothing_twice_when_all_lose_power_and_two_their_disks) {
    ASSERT_NO_FATAL_FAILURE(start_load());
    for (int round = 0; round < round_count; ++round) {
        ASSERT_NO_FATAL_FAILURE(run_round());
    }
    expect_correct_end_state();
}

INSTANTIATE_TEST_SUITE_P(seeds, replaced_cluster, testing::ValuesIn(get_seeds()));

} // namespace
} // namespace poplarpitch
