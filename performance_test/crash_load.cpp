// Measures how much other work completes while some tasks crash their workers: 20 workers of 16 cores at
// about half of their capacity, four jobs per second for 25 s, one of 24 with a task that crashes its worker.
// Runs in virtual time and prints the same figures on every run, in one line: the harmless jobs that were
// submitted, those completed when the load ended, their share, the workers that crashed until 30 s later, and
// the mean time to completion.
#include "unit_tests/dispatch/crash_world.h"

#include <cstdint>
#include <cstdio>
#include <map>
#include <random>

namespace poplarpitch {
namespace {

constexpr std::uint64_t seeds = 40;
constexpr duration load_duration = seconds{25};
constexpr duration settle_duration = seconds{30};
constexpr duration arrival_interval = milliseconds{250};
constexpr duration poll_interval = milliseconds{50};
constexpr std::uint64_t jobs_per_crashing_job = 24;

/// Results of one seed, or the sum over all seeds.
struct crash_totals {
    int sent = 0;
    int done = 0;
    int crashed_workers = 0;
    std::int64_t total_ms = 0;
};

class crash_load {
public:
    explicit crash_load(std::uint64_t seed) : m_world(get_settings(), seed), m_random(seed) {}

    crash_totals run() {
        for (duration elapsed{0}; elapsed < load_duration; elapsed += arrival_interval) {
            submit_one();
            for (duration waited{0}; waited < arrival_interval; waited += poll_interval) {
                m_world.run(poll_interval);
                m_elapsed += poll_interval;
                collect_completed_jobs();
            }
        }
        const auto done_in_time = m_totals.done;
        m_world.run(settle_duration);
        m_totals.done = done_in_time;
        m_totals.crashed_workers = m_world.count_worker_crashes();
        return m_totals;
    }

private:
    static crash_world_settings get_settings() {
        crash_world_settings settings;
        settings.crash_after = milliseconds{10};
        return settings;
    }

    std::uint64_t pick(std::uint64_t least, std::uint64_t most) {
        return least + m_random() % (most - least + 1);
    }

    void submit_one() {
        step_spec step;
        step.count = static_cast<std::uint32_t>(pick(1, 10));
        step.millicores = static_cast<std::int64_t>(pick(1, 5)) * 1000;
        step.memory_mb = 500;
        const auto length = milliseconds{pick(200, 3000)};
        step.estimate_ms = to_milliseconds(length);
        const auto id = m_world.submit({step}, length);
        if (pick(1, jobs_per_crashing_job) == 1) {
            m_world.add_crashing_task({{id, 0, 0}, 0});
            return;
        }
        ++m_totals.sent;
        m_open_jobs[id] = m_elapsed;
    }

    /// Counts the jobs that have completed since the last call, and their time to completion.
    void collect_completed_jobs() {
        std::erase_if(m_open_jobs, [this](const auto& item) {
            if (m_world.get_job_state().find_job(item.first)->phase != job_phase::completed) {
                return false;
            }
            ++m_totals.done;
            m_totals.total_ms += to_milliseconds(m_elapsed - item.second);
            return true;
        });
    }

    crash_world m_world;
    std::mt19937_64 m_random;
    duration m_elapsed{0};
    std::map<job_id, duration> m_open_jobs; ///< time of submission
    crash_totals m_totals;
};

} // namespace
} // namespace poplarpitch

int main() {
    poplarpitch::crash_totals sum;
    for (std::uint64_t seed = 1; seed <= poplarpitch::seeds; ++seed) {
        const auto totals = poplarpitch::crash_load(seed).run();
        sum.sent += totals.sent;
        sum.done += totals.done;
        sum.crashed_workers += totals.crashed_workers;
        sum.total_ms += totals.total_ms;
    }
    std::printf("sent=%d done=%d share=%.3f crashed_workers=%d mean_ms=%lld\n", sum.sent, sum.done,
                static_cast<double>(sum.done) / sum.sent, sum.crashed_workers,
                static_cast<long long>(sum.total_ms / sum.done));
    return 0;
}
