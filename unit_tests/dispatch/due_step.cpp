#include "unit_tests/dispatch/due_step.h"

namespace poplarpitch {
namespace {

bool has_open_task(const job_record& record, const step_key& key, const std::set<task_key>& done) {
    const auto* step = record.find_step(key.occurrence, key.step);
    for (std::uint32_t index = 0; index < record.job->steps[key.step].count; ++index) {
        const bool is_committed = step != nullptr && step->tasks[index].phase == task_phase::done;
        if (!is_committed && !done.contains({key, index})) {
            return true;
        }
    }
    return false;
}

} // namespace

std::vector<due_step> find_due_steps(const job_state_machine& job_state, std::set<job_id>& jobs,
                                     const std::set<task_key>& done) {
    std::erase_if(jobs, [&job_state](job_id id) {
        const auto* record = job_state.find_job(id);
        return record == nullptr || record->phase != job_phase::open;
    });
    std::vector<due_step> found;
    for (const auto id : jobs) {
        const auto* record = job_state.find_job(id);
        for (std::uint32_t step = 0; step < record->job->steps.size(); ++step) {
            const step_key key{id, 0, step};
            if (record->may_begin(0, step) && has_open_task(*record, key, done)) {
                found.push_back({key, &record->job->steps[step]});
            }
        }
    }
    return found;
}

} // namespace poplarpitch
