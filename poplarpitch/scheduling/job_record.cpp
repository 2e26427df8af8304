#include "poplarpitch/scheduling/job_record.h"

#include <algorithm>

namespace poplarpitch {

void task_record::record_failure(const worker_incarnation& worker) {
    if (failed_on.size() == max_failed_on) {
        failed_on.erase(failed_on.begin());
    }
    failed_on.push_back(worker);
}

std::uint32_t step_record::count_gang_failures() const {
    std::uint32_t failures = 0;
    for (const auto& task : tasks) {
        failures += task.failures;
    }
    return failures;
}

task_record* job_record::find_task(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) {
    const auto found = occurrences.find(occurrence);
    if (found == occurrences.end() || step >= found->second.steps.size() ||
        index >= found->second.steps[step].tasks.size()) {
        return nullptr;
    }
    return &found->second.steps[step].tasks[index];
}

const step_record* job_record::find_step(std::uint32_t occurrence, std::uint32_t step) const {
    const auto found = occurrences.find(occurrence);
    if (found == occurrences.end() || step >= found->second.steps.size()) {
        return nullptr;
    }
    return &found->second.steps[step];
}

bool job_record::may_begin(std::uint32_t occurrence, std::uint32_t step) const {
    const auto& earlier = job->steps[step].depends_on;
    return std::all_of(earlier.begin(), earlier.end(), [&](std::uint32_t number) {
        const auto* other = find_step(occurrence, number);
        return other != nullptr && other->is_done();
    });
}

occurrence_record& job_record::get_occurrence(std::uint32_t occurrence) {
    const auto [item, is_new] = occurrences.try_emplace(occurrence);
    if (is_new) {
        for (const auto& step : job->steps) {
            item->second.steps.push_back({std::vector<task_record>(step.count), 0, 0});
        }
    }
    return item->second;
}

} // namespace poplarpitch
