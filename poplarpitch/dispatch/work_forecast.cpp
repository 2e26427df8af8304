#include "poplarpitch/dispatch/work_forecast.h"

#include "poplarpitch/dispatch/erase_job.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {

std::int64_t work_forecast::step_times::get_max_failed_time_ms() const {
    std::int64_t longest = 0;
    for (const auto& [task, time_ms] : failed_ms) {
        longest = std::max(longest, time_ms);
    }
    return longest;
}

void work_forecast::on_done(const task_key& task, std::int64_t took_ms) {
    auto& step = m_steps[task.step];
    step.longest_ms = std::max(step.longest_ms, took_ms);
}

void work_forecast::on_failed(const task_key& task, std::int64_t took_ms) {
    m_steps[task.step].failed_ms[task.index] += took_ms;
}

void work_forecast::on_step_done(const step_job& job, const step_key& step) {
    auto& times = m_steps[step];
    times.is_done = true;
    if (times.longest_ms > 0) {
        m_durations.observe(job.queue.name, job.steps[step.step].estimate_ms, times.longest_ms);
    }
}

void work_forecast::forget(job_id job) {
    erase_job(m_steps, step_key{job, 0, 0});
}

void work_forecast::clear() {
    m_durations.clear();
    m_steps.clear();
}

std::vector<std::int64_t> work_forecast::get_step_durations_ms(const step_job& job,
                                                               std::uint32_t occurrence) const {
    std::vector<std::int64_t> durations;
    durations.reserve(job.steps.size());
    for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
        const auto found = m_steps.find(step_key{job.id, occurrence, number});
        const auto expected = m_durations.predict(job.queue.name, job.steps[number].estimate_ms);
        if (found == m_steps.end()) {
            durations.push_back(expected);
            continue;
        }
        const auto& times = found->second;
        const bool is_known = times.is_done && times.longest_ms > 0;
        const auto work = is_known ? times.longest_ms : std::max(expected, times.longest_ms);
        durations.push_back(work + times.get_max_failed_time_ms());
    }
    return durations;
}

std::string work_forecast::save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
    job_wire::learned_durations message;
    m_durations.save(message);
    while (message.ByteSizeLong() > max_bytes) {
        message.mutable_queues()->RemoveLast(); // the queue with the fewest observations
    }
    return message.SerializeAsString();
}

bool work_forecast::load(std::string_view body, std::int64_t /*wall_ms*/) {
    job_wire::learned_durations message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return false;
    }
    m_durations.load(message);
    return true;
}

} // namespace poplarpitch
