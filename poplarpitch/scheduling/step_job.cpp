#include "poplarpitch/scheduling/step_job.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t max_payload_bytes = 4000;       // the limit stated to callers
constexpr std::size_t max_steps = 1000;               // bounds the size of one job's record
constexpr std::uint32_t max_tasks_per_step = 100'000; // bounds the size of one job's record too
constexpr std::uint32_t max_occurrences = 1'000'000;

} // namespace

std::uint32_t step_job::get_occurrence_count() const {
    return schedule.has_value() ? schedule->count : 1;
}

std::int64_t step_job::get_long_running_millicores() const {
    std::int64_t sum = 0;
    for (const auto& step : steps) {
        sum += step.long_running && !step.is_filling ? step.millicores * step.count : 0;
    }
    return sum;
}

std::int64_t step_job::get_critical_path_ms(const std::vector<std::int64_t>& durations_ms) const {
    std::vector<std::int64_t> ends;
    ends.reserve(steps.size());
    for (std::size_t number = 0; number < steps.size(); ++number) {
        std::int64_t start = 0;
        for (const auto earlier : steps[number].depends_on) {
            start = std::max(start, ends[earlier]);
        }
        ends.push_back(start + durations_ms[number]);
    }
    return ends.empty() ? 0 : *std::max_element(ends.begin(), ends.end());
}

task_key step_job::get_attempt_key(const task_key& key) const {
    return steps[key.step.step].gang ? task_key{key.step, 0} : key;
}

duration step_job::get_objective(const std::vector<std::int64_t>& durations_ms) const {
    const auto stretched = queue.latency_factor * static_cast<double>(get_critical_path_ms(durations_ms));
    return queue.target_latency + duration{milliseconds{static_cast<std::int64_t>(stretched)}};
}

std::int64_t step_job::get_remaining_path_ms(std::uint32_t first,
                                             const std::vector<std::int64_t>& durations_ms) const {
    std::vector<std::int64_t> ends(steps.size(), -1); // -1: does not depend on `first`
    ends[first] = durations_ms[first];
    auto last = ends[first];
    for (std::size_t number = first + 1; number < steps.size(); ++number) {
        for (const auto earlier : steps[number].depends_on) {
            if (ends[earlier] >= 0) {
                ends[number] = std::max(ends[number], ends[earlier] + durations_ms[number]);
            }
        }
        last = std::max(last, ends[number]);
    }
    return last;
}

std::optional<std::string> validate_job(const step_job& job) {
    if (job.payload.size() > max_payload_bytes) {
        return "the payload is longer than 4,000 bytes";
    }
    if (job.steps.empty() || job.steps.size() > max_steps) {
        return "a job has 1 to 1,000 steps";
    }
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const auto& step = job.steps[number];
        if (step.count == 0 || step.count > max_tasks_per_step) {
            return "a step has 1 to 100,000 tasks";
        }
        if (step.millicores < 0 || step.memory_mb < 0 || step.accelerators < 0 || step.estimate_ms < 0) {
            return "an amount is negative";
        }
        const bool is_earlier = std::all_of(step.depends_on.begin(), step.depends_on.end(),
                                            [number](std::uint32_t other) { return other < number; });
        if (!is_earlier) {
            return "a step depends on itself or a later one";
        }
    }
    if (job.schedule.has_value() &&
        (job.schedule->count > max_occurrences || job.schedule->interval_ms < 0)) {
        return "the schedule is out of range";
    }
    return std::nullopt;
}

} // namespace poplarpitch
