// Compares the production router and its models with baseline routers on 16 fake workers. Prints the same
// table on every run.
#include "performance_test/fake_workers.h"
#include "poplarpitch/policy/baseline_routers.h"
#include "poplarpitch/policy/best_fit_router.h"
#include "poplarpitch/policy/speed_model.h"

#include <cstdio>
#include <functional>
#include <queue>
#include <string>

namespace poplarpitch {
namespace {

constexpr int worker_count = 16;
constexpr int request_count = 40'000;
constexpr double base_ms = 5;

/// Settings of a scenario.
struct scenario {
    std::string name;
    bool has_noisy_tasks = false; ///< some workers run batch tasks all the time
    bool has_task_waves = false;  ///< batch tasks come and go every few seconds
    bool has_old_workers = false; ///< half of the workers are of the old generation
    bool has_load_shift = false;  ///< the load rises by half in the middle of the run
    double load = 0.6;            ///< share of all slots in use at undisturbed speed
};

struct outcome {
    double p99 = 0;
    double p50 = 0;
    double refused = 0; ///< share of requests that found no slot
};

/// Sends the same requests through one router and returns their times.
template <request_router Router>
outcome run(const scenario& setup, Router router, bool is_learning, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<std::vector<double>> matrix = {{3.0, 0.1}, {0.2, 1.5}};
    std::vector<fake_worker> workers(worker_count);
    for (int index = 0; index < worker_count; ++index) {
        workers[index].speed = setup.has_old_workers && index % 2 == 0 ? 1.8 : 1.0;
        if (setup.has_noisy_tasks && index % 3 == 0) {
            workers[index].tasks = {{0, 24, 1e9, 0}};
        } else if (setup.has_noisy_tasks && index % 3 == 1) {
            workers[index].tasks = {{1, 24, 1e9, 0}};
        }
    }
    interference_model interference;
    speed_model speed;
    std::vector<routing_candidate> rows(worker_count);
    routing_random choice(static_cast<std::uint32_t>(seed) | 1U);
    const auto later = [](const fake_request& left, const fake_request& right) {
        return left.end_ms > right.end_ms;
    };
    std::priority_queue<fake_request, std::vector<fake_request>, decltype(later)> running(later);
    std::vector<double> times;
    int refused = 0;
    double now = 0;
    const double base_rate = setup.load * worker_count * 8 / base_ms; // requests a millisecond
    for (int number = 0; number < request_count; ++number) {
        const bool is_second_half = number > request_count / 2;
        const double rate = setup.has_load_shift && is_second_half ? base_rate * 1.5 : base_rate;
        now += std::exponential_distribution<double>(rate)(random);
        if (setup.has_task_waves && number % 8000 == 0) {
            for (auto& worker : workers) {
                worker.tasks =
                    random() % 3 == 0 ? std::vector<fake_task>{{0, 24, 1e9, 0}} : std::vector<fake_task>{};
            }
        }
        while (!running.empty() && running.top().end_ms <= now) {
            --workers[running.top().worker].busy;
            running.pop();
        }
        const auto service = static_cast<std::uint32_t>(random() % 2);
        for (std::size_t index = 0; index < rows.size(); ++index) {
            const auto& worker = workers[index];
            const double factor = is_learning ? speed.get_factor(static_cast<std::uint32_t>(index)) *
                                                    interference.predict(service, worker.get_runners())
                                              : 1.0;
            rows[index] = {static_cast<float>(factor), worker.slots - worker.busy, worker.slots, worker.busy,
                           true};
        }
        const auto picked = router.pick(rows, choice);
        if (!picked.has_value()) {
            ++refused;
            continue;
        }
        auto& worker = workers[*picked];
        const double jitter = std::exp(std::normal_distribution<double>(0, 0.25)(random));
        const double time = base_ms * jitter * worker.get_slowdown(matrix, service);
        const auto runners = worker.get_runners();
        ++worker.busy;
        running.push({now + time, *picked});
        times.push_back(time);
        if (is_learning) {
            const double predicted = interference.predict(service, runners);
            const auto worker_number = static_cast<std::uint32_t>(*picked);
            const double alone = speed.get_base_us(service) * speed.get_factor(worker_number);
            speed.add(service, worker_number, time * 1000, predicted);
            if (alone > 0) {
                interference.add(service, runners, time * 1000 / alone);
            }
        }
    }
    return {get_quantile(times, 0.99), get_quantile(times, 0.5),
            static_cast<double>(refused) / request_count};
}

/// Median and range over the seeds.
struct summary {
    double p99 = 0;
    double low = 0;
    double high = 0;
    double refused = 0;
};

summary summarize(const std::function<outcome(std::uint64_t)>& once) {
    std::vector<double> p99;
    std::vector<double> refused;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto result = once(seed);
        p99.push_back(result.p99);
        refused.push_back(result.refused);
    }
    return {get_quantile(p99, 0.5), get_quantile(p99, 0), get_quantile(p99, 1), get_quantile(refused, 0.5)};
}

void print_row(const std::string& name, const summary& found, double best) {
    std::printf("  %-20s p99 %8.2f ms (%.2f to %.2f)  refused %5.2f%%  ratio to best baseline %.2f\n",
                name.c_str(), found.p99, found.low, found.high, found.refused * 100, found.p99 / best);
}

} // namespace
} // namespace poplarpitch

int main() {
    using namespace poplarpitch;
    const std::vector<scenario> scenarios = {
        {"steady", false, false, false, false, 0.6},
        {"noisy tasks", true, false, false, false, 0.5},
        {"noisy waves", false, true, false, false, 0.5},
        {"old and new hardware", false, false, true, false, 0.4},
        {"load shift", false, false, false, true, 0.4},
        {"noisy, old and new", true, false, true, false, 0.4},
        {"noisy, load shift", true, false, false, true, 0.35},
    };
    std::printf(
        "routing decisions: 16 workers, 8 slots, 40,000 requests, 10 seeds, medians (lowest to highest)\n");
    for (const auto& setup : scenarios) {
        const auto random =
            summarize([&](std::uint64_t seed) { return run(setup, random_router{}, false, seed); });
        const auto round_robin =
            summarize([&](std::uint64_t seed) { return run(setup, round_robin_router{}, false, seed); });
        const auto least_outstanding = summarize(
            [&](std::uint64_t seed) { return run(setup, least_outstanding_router{}, false, seed); });
        const auto two_choices =
            summarize([&](std::uint64_t seed) { return run(setup, two_choices_router{}, false, seed); });
        const auto production =
            summarize([&](std::uint64_t seed) { return run(setup, best_fit_router{}, true, seed); });
        const double best = std::min({random.p99, round_robin.p99, least_outstanding.p99, two_choices.p99});
        std::printf("%s\n", setup.name.c_str());
        print_row("random", random, best);
        print_row("round robin", round_robin, best);
        print_row("least outstanding", least_outstanding, best);
        print_row("two choices", two_choices, best);
        print_row("poplarpitch", production, best);
    }
    return 0;
}
