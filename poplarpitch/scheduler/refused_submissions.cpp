#include "poplarpitch/scheduler/refused_submissions.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <utility>

namespace poplarpitch {

refused_submissions::refused_submissions(const job_state_machine& job_state, command_batcher& batcher)
    : m_job_state(job_state), m_batcher(batcher) {}

bool refused_submissions::contains(const refused_job& job) const {
    return m_job_state.is_refused(job) || m_pending.contains(job);
}

void refused_submissions::add(const refused_job& job, const command_batcher::result_handler& on_result) {
    if (m_job_state.is_refused(job)) {
        on_result(commit_result::applied);
        return;
    }
    if (m_job_state.get_refused().size() + m_pending.size() >= job_state_machine::max_refused_jobs) {
        on_result(commit_result::refused);
        return;
    }
    job_wire::job_command command;
    encode(job, *command.mutable_refuse());
    log_event(log_level::info, "submission_refused").add("job", format_job_id(job.id));
    ++m_pending[job];
    m_batcher.add(std::move(command), [this, job, on_result](commit_result outcome) {
        const auto pending = m_pending.find(job);
        if (--pending->second == 0) {
            m_pending.erase(pending);
        }
        on_result(outcome);
    });
}

} // namespace poplarpitch
