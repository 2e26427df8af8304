// How much other work is done while some tasks crash their workers: 20 workers of 16 cores at about half of
// what they hold, four jobs a second for 25 s, one of 24 with such a task. Virtual time; the same seeds give
// the same figures. Prints one line: jobs that crash nothing and were done when the traffic ended, their
// share, workers that crashed until 30 s later, and how long done jobs took on average.
#include "unit_tests/dispatch/crash_world.h"

#include <cstdint>
#include <cstdio>
#include <map>
#include <random>

namespace poplarpitch {
namespace {

constexpr std::uint64_t seeds = 40;
constexpr duration traffic_time = seconds{25};
constexpr duration settle_time = seconds{30};
constexpr duration arrival_pause = milliseconds{250};
constexpr duration poll_interval = milliseconds{50};
constexpr std::uint64_t jobs_per_crashing_job = 24;

/// What one seed or all of them came to.
struct crash_figures {
    int sent = 0;
    int done = 0;
    int crashed = 0;
    std::int64_t took_ms = 0;
};

class crash_load {
public:
    explicit crash_load(std::uint64_t seed) : m_world(get_settings(), seed), m_random(seed) {}

    crash_figures run() {
        for (duration passed{0}; passed < traffic_time; passed += arrival_pause) {
            submit_one();
            for (duration waited{0}; waited < arrival_pause; waited += poll_interval) {
                m_world.run(poll_interval);
                m_passed += poll_interval;
                record_done_jobs();
            }
        }
        const auto done_in_time = m_figures.done;
        m_world.run(settle_time);
        m_figures.done = done_in_time;
        m_figures.crashed = m_world.count_worker_crashes();
        return m_figures;
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
        ++m_figures.sent;
        m_open[id] = m_passed;
    }

    /// Records which jobs are done by now.
    void record_done_jobs() {
        std::erase_if(m_open, [this](const auto& item) {
            if (m_world.get_job_state().find_job(item.first)->phase != job_phase::completed) {
                return false;
            }
            ++m_figures.done;
            m_figures.took_ms += to_milliseconds(m_passed - item.second);
            return true;
        });
    }

    crash_world m_world;
    std::mt19937_64 m_random;
    duration m_passed{0};
    std::map<job_id, duration> m_open; ///< when each was sent
    crash_figures m_figures;
};

} // namespace
} // namespace poplarpitch

int main() {
    poplarpitch::crash_figures sum;
    for (std::uint64_t seed = 1; seed <= poplarpitch::seeds; ++seed) {
        const auto figures = poplarpitch::crash_load(seed).run();
        sum.sent += figures.sent;
        sum.done += figures.done;
        sum.crashed += figures.crashed;
        sum.took_ms += figures.took_ms;
    }
    std::printf("sent=%d done=%d share=%.3f crashed_workers=%d mean_ms=%lld\n", sum.sent, sum.done,
                static_cast<double>(sum.done) / sum.sent, sum.crashed,
                static_cast<long long>(sum.took_ms / sum.done));
    return 0;
}
