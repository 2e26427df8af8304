#include "poplarpitch/dispatch/attempt_history.h"

#include "poplarpitch/dispatch/erase_job.h"
#include "poplarpitch/scheduling/job_record.h"

#include <algorithm>

namespace poplarpitch {

void attempt_history::clear() {
    m_failed.clear();
    m_claimed.clear();
}

void attempt_history::restore(const job_record& record, time_point now) {
    for (const auto& [number, occurrence] : record.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const auto& task = tasks[index];
                if (task.phase == task_phase::done || (task.failures == 0 && task.failed_on.empty())) {
                    continue;
                }
                const task_key key{{record.job->id, number, step}, index};
                auto& failed = m_failed[record.job->get_attempt_key(key)];
                failed.workers.insert(failed.workers.end(), task.failed_on.begin(), task.failed_on.end());
                failed.last = now;
            }
        }
    }
}

void attempt_history::forget_job(job_id id) {
    const step_key first{id, 0, 0};
    erase_job(m_failed, task_key{first, 0});
    erase_job(m_claimed, first);
}

void attempt_history::record_failure(const task_key& key, const worker_incarnation& worker, time_point now) {
    auto& failed = m_failed[key];
    failed.workers.push_back(worker);
    failed.last = now;
}

const failed_attempts* attempt_history::find(const task_key& key) const {
    const auto found = m_failed.find(key);
    return found == m_failed.end() ? nullptr : &found->second;
}

bool attempt_history::has_any(const step_key& key) const {
    const auto found = m_failed.lower_bound(task_key{key, 0});
    return found != m_failed.end() && found->first.step == key;
}

bool attempt_history::claim_gang_attempt(const run_key& run, std::uint32_t last_counted_run) {
    auto& claimed = m_claimed[run.task.step];
    claimed = std::max(claimed, last_counted_run);
    if (claimed >= run.run) {
        return false;
    }
    claimed = run.run;
    return true;
}

} // namespace poplarpitch
