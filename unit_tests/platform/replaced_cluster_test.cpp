// All control instances lose their power at one moment and two of them their disks, again and again, while
// workers go on and misbehave in every way that the platform allows, with real processes: nothing runs twice
// at once or after its noted end, and everything ends.
// POPLARPITCH_SEED tries one other seed.
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

constexpr duration patience = seconds{60}; // bounds a failure; each wait ends with its event
constexpr int instance_count = 5;
constexpr std::size_t wiped_count = 2; // as many as are tolerated
constexpr int worker_count = 10;
constexpr int rounds = 2;
constexpr int lasting_count = 6;
constexpr int max_attempts = 6;
constexpr int most_crashes = 2; // of workers: a task under which three crashed may be given up
const std::string lasting_job = "0000000000001f00";
const std::vector<std::string> data_centres = {"z0", "z0", "z1", "z1", "z2"};

std::vector<std::uint64_t> get_seeds() {
    const char* text = std::getenv("POPLARPITCH_SEED");
    return text == nullptr ? std::vector<std::uint64_t>{1, 2, 3}
                           : std::vector<std::uint64_t>{std::strtoull(text, nullptr, 10)};
}

/// A short lease lapses while all are down, a long one outlasts that.
std::string get_lease(std::uint64_t seed) {
    return seed % 4 < 2 ? "lease = 2s\n" : "lease = 5s\n";
}

worker_habits make_habits(std::uint64_t seed) {
    worker_habits habits;
    habits.seed = seed;
    habits.rebirth = seed % 2 == 0 ? worker_rebirth::same_id : worker_rebirth::new_id;
    habits.has_random_ids = true;
    habits.slots = 8;
    habits.zones = {"z0", "z1", "z2"};
    habits.shortest_run = milliseconds{600};
    habits.longest_run = milliseconds{2200};
    habits.longest_stop = milliseconds{700};
    habits.slowest_clock = 0.98;
    habits.idle_timeout = milliseconds{300};
    habits.failed_runs = 5;
    habits.late_answers = 4;
    habits.unanswered_orders = 3;
    habits.late_orders = 4;
    habits.cut_orders = 3;
    habits.late_lists = 20;
    habits.late_beats = 5;
    return habits;
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
    int pick(int least, int most) {
        return least + static_cast<int>(m_random() % static_cast<unsigned>(most - least + 1));
    }

    /// Lets time pass, so that what follows hits another moment.
    void pass(int least_ms, int most_ms) { absl::SleepFor(absl::Milliseconds(pick(least_ms, most_ms))); }

    void note(const std::string& what) {
        absl::StrAppend(&m_timeline, absl::FormatTime("%H:%M:%E3S", absl::Now(), absl::UTCTimeZone()), " ",
                        what, "\n");
    }

    static void wait_until(const std::function<bool()>& is_so) {
        const auto end = absl::Now() + absl::Nanoseconds(patience.count());
        while (!is_so() && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(20));
        }
        EXPECT_TRUE(is_so());
    }

    void submit_one() {
        const auto id = absl::StrFormat("00000000000010%02x", m_jobs.size());
        ASSERT_TRUE(m_cluster.submit(id, pick(30, 80), patience));
        m_jobs.push_back(id);
        note("submitted " + id);
    }

    void begin() {
        m_cluster.put_config(1, max_attempts);
        ASSERT_TRUE(
            m_cluster.submit_lasting(lasting_job, lasting_count, patience, stand_in_workers::lasting_spec));
        submit_one();
        submit_one();
        wait_until([this] { return m_cluster.have_rejoined({}); });
        wait_until([this] { return m_workers.get_running() > lasting_count; });
    }

    void upset_worker() {
        const int worker = pick(0, worker_count - 1);
        const int length = pick(200, 4000);
        const int kind = pick(0, 3);
        if (kind == 0 && m_crashes < most_crashes) {
            ++m_crashes;
            note(absl::StrCat("worker ", worker + 1, " crashes, back after ", length, " ms"));
            m_workers.crash({worker}, milliseconds{length});
        } else if (kind == 1) {
            note(absl::StrCat("worker ", worker + 1, " leaves within ", length, " ms"));
            m_workers.drain(worker, milliseconds{length}, milliseconds{pick(10, 1000)});
        } else if (kind == 2) {
            note(absl::StrCat("worker ", worker + 1, " is unhealthy for ", length, " ms"));
            m_workers.sicken(worker, milliseconds{length});
        } else {
            note(absl::StrCat("worker ", worker + 1, " takes no calls for ", length, " ms"));
            m_workers.deafen(worker, milliseconds{length});
        }
    }

    void restart_one(int number) {
        note(absl::StrCat("kill scheduler ", number));
        m_cluster.get_scheduler(number).kill();
        pass(0, 500);
        m_cluster.start_scheduler(number);
    }

    void halt_one(int number) {
        note(absl::StrCat("halt scheduler ", number));
        m_cluster.get_scheduler(number).send(SIGSTOP);
        pass(100, 2500);
        m_cluster.get_scheduler(number).send(SIGCONT);
        note(absl::StrCat("scheduler ", number, " goes on"));
    }

    void disturb() {
        const int leader = std::max(m_cluster.find_leader(), 1);
        const int number = pick(0, 2) == 0 ? leader : pick(1, instance_count);
        const int kind = pick(0, 3);
        if (kind == 0) {
            restart_one(number);
        } else if (kind == 1) {
            halt_one(number);
        } else {
            upset_worker();
        }
        pass(50, 500);
    }

    /// All lose their power; where all vote, two lose their disks too. They come back within a second.
    void lose_power(bool are_disks_lost) {
        std::vector<int> order = {1, 2, 3, 4, 5};
        std::shuffle(order.begin(), order.end(), m_random);
        m_cluster.crash_all();
        if (are_disks_lost) {
            m_wiped.assign(order.begin(), order.begin() + wiped_count);
            std::shuffle(order.begin(), order.end(), m_random);
            for (const auto number : m_wiped) {
                m_cluster.wipe(number);
                note(absl::StrCat("scheduler ", number, " loses its disk"));
            }
        }
        note("all have lost their power");
        if (pick(0, 1) == 0) {
            upset_worker();
        }
        for (const auto number : order) {
            pass(0, 350);
            m_cluster.start_scheduler(number);
            note(absl::StrCat("scheduler ", number, " starts"));
        }
        m_cluster.start_gateway();
    }

    void play_round() {
        for (int count = pick(0, 2); count > 0; --count) {
            disturb();
        }
        submit_one();
        pass(0, 700);
        lose_power(true);
        submit_one();
        wait_until([this] { return m_cluster.have_rejoined(m_wiped); });
        note("the replaced ones vote");
        if (pick(0, 2) == 0) {
            pass(0, 1500);
            lose_power(false);
            submit_one();
        }
    }

    void expect_all_well() {
        for (const auto& id : m_jobs) {
            EXPECT_TRUE(m_cluster.wait_for_state(id, "completed", patience)) << id;
        }
        wait_until([this] { return m_workers.get_running() == lasting_count; });
        EXPECT_EQ(m_workers.get_overlaps(), 0);
        EXPECT_EQ(m_workers.get_starts_after_done(), 0);
    }

    std::mt19937_64 m_random{GetParam()};
    std::string m_timeline;
    std::vector<std::string> m_jobs;
    std::vector<int> m_wiped;
    int m_crashes = 0;
    scheduler_cluster m_cluster{instance_count, get_lease(GetParam()), data_centres};
    stand_in_workers m_workers{worker_count, m_cluster.get_controls(), make_habits(GetParam())};
};

TEST_P(replaced_cluster, runs_nothing_twice_when_all_lose_power_and_two_their_disks) {
    ASSERT_NO_FATAL_FAILURE(begin());
    for (int round = 0; round < rounds; ++round) {
        ASSERT_NO_FATAL_FAILURE(play_round());
    }
    expect_all_well();
}

INSTANTIATE_TEST_SUITE_P(seeds, replaced_cluster, testing::ValuesIn(get_seeds()));

} // namespace
} // namespace poplarpitch
