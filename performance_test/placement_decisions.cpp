// Compares the production placer, relief escalation and choice of evictions with first fit and least loaded,
// with and without eviction, on 16 fake workers. Requests are represented by the slowdown that they would
// see. Prints the same table on every run.
#include "performance_test/fake_workers.h"
#include "poplarpitch/policy/baseline_placers.h"
#include "poplarpitch/policy/cost_placer.h"
#include "poplarpitch/policy/eviction_budget.h"
#include "poplarpitch/policy/eviction_candidate.h"
#include "poplarpitch/policy/pick_or_probe.h"
#include "poplarpitch/policy/relief_escalation.h"
#include "poplarpitch/policy/usage_model.h"

#include <cstdio>
#include <deque>
#include <string>

namespace poplarpitch {
namespace {

constexpr int worker_count = 16;
constexpr int ticks = 6000; // 100 ms each: ten minutes
constexpr double tick_s = 0.1;
// Workers report the resource usage of a task five seconds after its end.
constexpr int usage_delay_ticks = 50;

/// Settings of a policy for placement and relief.
struct policy_settings {
    std::string name;
    bool is_production = false; ///< the production policy: cost placer with learned interference
    bool is_first_fit = false;  ///< first fit if true, least loaded if false; unused by the production policy
    double evict_above = 0;     ///< a baseline evicts above this slowdown; 0 for never
    objective_settings objective;
};

struct scenario {
    std::string name;
    bool has_job_waves = false; ///< jobs arrive in waves
    double declared_factor = 1; ///< declared size of a task relative to its real size
};

struct outcome {
    double slowdown_p99 = 0; ///< of requests, over all workers and ticks
    double done = 0;         ///< seconds of batch work finished, on a new worker
    double evictions = 0;
};

/// A worker's report of a task's resource usage that has not arrived yet.
struct usage_report {
    int due_tick = 0;
    std::uint32_t batch = 0;
};

class placement_run {
public:
    placement_run(const policy_settings& policy, const scenario& setup, std::uint64_t seed)
        : m_policy(policy), m_scenario(setup), m_random(seed), m_placer(policy.objective),
          m_workers(worker_count),
          m_reliefs(worker_count, relief_escalation(make_relief_settings(policy.objective))),
          m_observed_slowdowns(worker_count, 1.0) {
        for (int index = 0; index < worker_count; ++index) {
            m_workers[index].speed = index % 2 == 0 ? 1.8 : 1.0;
            // Half of the workers carry most of the requests.
            m_workers[index].busy = index < worker_count / 2 ? 6 : 1;
        }
        m_probes.set_objective(policy.objective);
    }

    outcome run() {
        for (m_tick = 0; m_tick < ticks; ++m_tick) {
            learn_usage();
            arrive();
            place();
            work();
            observe();
            relieve();
        }
        return {get_quantile(m_slowdowns, 0.99), m_done, static_cast<double>(m_evictions)};
    }

private:
    void arrive() {
        const bool is_wave = !m_scenario.has_job_waves || (m_tick / 300) % 2 == 0;
        if (is_wave && m_tick % (m_scenario.has_job_waves ? 4 : 8) == 0) {
            const auto batch = static_cast<std::uint32_t>(m_random() % 3);
            m_queue.push_back(
                {batch, batch == 0 ? 24.0 : 8.0, 20.0 + static_cast<double>(m_random() % 30), 0});
        }
    }

    /// Returns the cores that the system considers free. It knows the reservations, not the real demand of
    /// tasks.
    [[nodiscard]] static double get_free_cores(const fake_worker& worker) {
        double reserved = 0;
        for (const auto& task : worker.tasks) {
            reserved += task.get_reserved();
        }
        return worker.cores - reserved;
    }

    /// Returns the share of their real demand for cores that the worker's tasks get.
    [[nodiscard]] static double get_core_share(const fake_worker& worker) {
        double wanted = 0;
        for (const auto& task : worker.tasks) {
            wanted += task.cores;
        }
        return wanted > worker.cores ? worker.cores / wanted : 1;
    }

    /// Returns the cores to reserve for a task.
    [[nodiscard]] double get_reservation(const fake_task& task) const {
        const auto declared = static_cast<std::int64_t>(task.cores * 1000 * m_scenario.declared_factor);
        const resources need{0, declared, 0, 0};
        const auto reserved =
            m_policy.is_production ? m_usage.get_reservation("t", std::to_string(task.batch), need) : need;
        return std::min(static_cast<double>(reserved.millicores) / 1000, 64.0);
    }

    [[nodiscard]] time_point get_now() const {
        return time_point{seconds{1000} + milliseconds{100} * m_tick};
    }

    /// Processes the usage reports that are due. They arrive with a delay.
    void learn_usage() {
        while (!m_reports.empty() && m_reports.front().due_tick <= m_tick) {
            m_usage.add("t", std::to_string(m_reports.front().batch), 1 / m_scenario.declared_factor, 1, 1);
            m_reports.pop_front();
        }
    }

    void place() {
        std::vector<placement_candidate> candidates(worker_count);
        for (int tries = 0; tries < 4 && !m_queue.empty(); ++tries) {
            for (int index = 0; index < worker_count; ++index) {
                auto& candidate = candidates[index];
                const auto& worker = m_workers[index];
                candidate.capacity = {8, 64000, 64000, 0};
                const auto free = static_cast<std::int64_t>(get_free_cores(worker) * 1000);
                candidate.free = {8, free, free, 0};
                candidate.speed = static_cast<float>(worker.speed);
                candidate.slowdown = static_cast<float>(m_observed_slowdowns[index]);
                candidate.services = {{0, static_cast<float>(worker.busy)}};
                candidate.is_open =
                    !m_policy.is_production || m_reliefs[index].get_level() == relief_level::none;
            }
            auto task = m_queue.front();
            task.reserved = get_reservation(task);
            const auto millicores = static_cast<std::int64_t>(task.reserved * 1000);
            const placement_request request{{0, millicores, 0, 0}, task.batch, 30, false};
            std::optional<std::size_t> picked;
            if (m_policy.is_production) {
                picked = pick_or_probe(m_placer, candidates, request, m_interference, m_probes, get_now());
            } else if (m_policy.is_first_fit) {
                picked = first_fit_placer{}.pick(candidates, request, m_interference);
            } else {
                picked = least_loaded_placer{}.pick(candidates, request, m_interference);
            }
            if (!picked.has_value()) {
                // A task that does not fit moves to the end of the queue, as in the scheduler.
                m_queue.push_back(task);
                m_queue.pop_front();
                continue;
            }
            m_queue.pop_front();
            m_workers[*picked].tasks.push_back(task);
        }
    }

    void work() {
        for (int index = 0; index < worker_count; ++index) {
            auto& worker = m_workers[index];
            const bool is_throttled =
                m_policy.is_production && m_reliefs[index].get_level() >= relief_level::throttle;
            const double core_share = get_core_share(worker);
            for (auto& task : worker.tasks) {
                const double done = tick_s / worker.speed * core_share * (is_throttled ? 0.5 : 1.0);
                task.remaining_s -= done;
                task.unsaved_s = task.unsaved_s > 10 ? 0 : task.unsaved_s + done; // checkpoint every 10 s
                m_done += done;
            }
            std::erase_if(worker.tasks, [this](const fake_task& task) {
                if (task.remaining_s <= 0) {
                    m_reports.push_back({m_tick + usage_delay_ticks, task.batch});
                }
                return task.remaining_s <= 0;
            });
        }
    }

    void observe() {
        for (int index = 0; index < worker_count; ++index) {
            const auto& worker = m_workers[index];
            const bool is_throttled =
                m_policy.is_production && m_reliefs[index].get_level() >= relief_level::throttle;
            // An entry learns the base time of a service under its normal load, so the load alone does not
            // count as a slowdown.
            const double load = 1 + 0.3 * static_cast<double>(worker.busy) / worker.slots;
            const double growth = worker.get_slowdown(m_matrix, 0) / (worker.speed * load) - 1;
            const double factor = 1 + growth * (is_throttled ? 0.6 : 1.0);
            std::lognormal_distribution<double> noise(0, 0.1);
            for (int request = 0; request < worker.busy; ++request) {
                const double sample = factor * noise(m_random);
                m_slowdowns.push_back(sample);
                m_interference.add(0, worker.get_runners(), sample);
                m_observed_slowdowns[index] += (sample - m_observed_slowdowns[index]) / 40;
            }
        }
    }

    void relieve() {
        const auto now = get_now();
        for (int index = 0; index < worker_count; ++index) {
            auto& worker = m_workers[index];
            if (!m_policy.is_production) {
                if (m_policy.evict_above > 0 && m_observed_slowdowns[index] > m_policy.evict_above &&
                    !worker.tasks.empty()) {
                    evict(worker, 0);
                }
                continue;
            }
            m_reliefs[index].update(m_observed_slowdowns[index], now);
            if (!m_reliefs[index].is_eviction_due(now)) {
                continue;
            }
            std::vector<eviction_candidate> candidates;
            for (const auto& task : worker.tasks) {
                const double growth =
                    m_interference.get_coefficient(0, task.batch) * task.get_reserved() / worker.cores;
                candidates.push_back(
                    {growth, duration{static_cast<std::int64_t>(task.unsaved_s * 1e9)}, 0, true});
            }
            const auto picked = pick_eviction(candidates);
            if (picked.has_value() && m_budget.try_take(now)) {
                evict(worker, *picked);
                m_reliefs[index].on_evicted(now);
            }
        }
    }

    void evict(fake_worker& worker, std::size_t place) {
        auto task = worker.tasks[place];
        // The baseline cannot request a checkpoint, so work since the last one is lost.
        const double lost = m_policy.is_production ? 0 : task.unsaved_s;
        m_done -= lost;
        task.remaining_s += lost;
        task.unsaved_s = 0;
        worker.tasks.erase(worker.tasks.begin() + static_cast<std::ptrdiff_t>(place));
        m_queue.push_back(task);
        ++m_evictions;
    }

    const std::vector<std::vector<double>> m_matrix = {{2.5, 0.1, 0.6}};
    policy_settings m_policy;
    scenario m_scenario;
    std::mt19937_64 m_random;
    cost_placer m_placer;
    interference_model m_interference;
    usage_model m_usage;
    probe_timer m_probes;
    std::deque<usage_report> m_reports; ///< by due tick
    std::vector<fake_worker> m_workers;
    std::vector<relief_escalation> m_reliefs;
    std::vector<double> m_observed_slowdowns;
    eviction_budget m_budget;
    std::deque<fake_task> m_queue;
    std::vector<double> m_slowdowns;
    double m_done = 0;
    int m_evictions = 0;
    int m_tick = 0;
};

void print_scenario(const scenario& setup, const std::vector<policy_settings>& policies) {
    std::printf("%s\n", setup.name.c_str());
    for (const auto& policy : policies) {
        std::vector<double> slowdown;
        std::vector<double> done;
        std::vector<double> evictions;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const auto result = placement_run(policy, setup, seed).run();
            slowdown.push_back(result.slowdown_p99);
            done.push_back(result.done);
            evictions.push_back(result.evictions);
        }
        std::printf(
            "  %-28s slowdown p99 %6.2f (%.2f to %.2f)  batch work %7.0f s (%.0f to %.0f)  evictions %5.0f\n",
            policy.name.c_str(), get_quantile(slowdown, 0.5), get_quantile(slowdown, 0),
            get_quantile(slowdown, 1), get_quantile(done, 0.5), get_quantile(done, 0), get_quantile(done, 1),
            get_quantile(evictions, 0.5));
    }
}

} // namespace
} // namespace poplarpitch

int main() {
    using namespace poplarpitch;
    const std::vector<policy_settings> policies = {
        {"first fit, no eviction", false, true, 0, {}},
        {"first fit, evict at 1.8", false, true, 1.8, {}},
        {"least loaded, no eviction", false, false, 0, {}},
        {"least loaded, evict at 1.8", false, false, 1.8, {}},
        {"poplarpitch (ring: tail 3)", true, false, 0, {3, 1, 1}},
        {"poplarpitch (assoc.: batch 3)", true, false, 0, {1, 3, 3}},
    };
    std::printf("placement decisions: 16 workers of 64 cores, half old, 10 minutes, 10 seeds, medians (low "
                "to high)\n");
    print_scenario({"steady", false, 1}, policies);
    print_scenario({"waves of noisy tasks", true, 1}, policies);
    print_scenario({"declared 5x too large", false, 5}, policies);
    print_scenario({"declared 5x too small", false, 0.2}, policies);
    return 0;
}
