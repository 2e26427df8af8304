#include "poplarpitch/scheduling/job_size.h"

#include "poplarpitch/scheduling/job_record.h"

#include <algorithm>
#include <cstdint>

namespace poplarpitch {
namespace {

constexpr std::size_t text_copies = 5;  // state, log entry, message, last and next snapshot
constexpr std::size_t job_bytes = 1500; // its records and those of its queue, in all copies
constexpr std::size_t step_bytes = 300;
constexpr duration occurrence_time = seconds{60}; // an occurrence usually ends within
constexpr std::size_t task_bytes = 200;           // its record, and what the dispatcher keeps of it

std::size_t estimate_ended_bytes(const step_job& job) {
    std::size_t bytes = job_bytes;
    for (const auto& step : job.steps) {
        const auto text = step.required_label.size() + step.affinity_rack.size() + step.image.size();
        bytes += step_bytes + text_copies * text + step.depends_on.size() * sizeof(step.depends_on[0]);
    }
    return bytes;
}

/// Returns how many occurrences of a job may have tasks at the same time: those that become due within
/// `occurrence_time`, and those that were already due when the job was accepted.
std::size_t count_open_occurrences(const step_job& job) {
    if (!job.schedule.has_value()) {
        return 1;
    }
    const auto& schedule = *job.schedule;
    if (schedule.interval_ms <= 0) {
        return schedule.count;
    }
    const auto overdue_ms = std::max<std::int64_t>(job.accepted_ms - schedule.first_ms, 0);
    const auto open_ms = overdue_ms + to_milliseconds(occurrence_time);
    return static_cast<std::size_t>(
        std::min<std::int64_t>(open_ms / schedule.interval_ms + 1, schedule.count));
}

} // namespace

std::size_t estimate_bytes(const step_job& job) {
    std::size_t tasks = 0;
    for (const auto& step : job.steps) {
        tasks += step.count;
    }
    return estimate_ended_bytes(job) + text_copies * job.payload.size() +
           task_bytes * tasks * count_open_occurrences(job);
}

std::size_t estimate_bytes(const job_record& record) {
    return record.phase == job_phase::open ? estimate_bytes(*record.job) : estimate_ended_bytes(*record.job);
}

} // namespace poplarpitch
