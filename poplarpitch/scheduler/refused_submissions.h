#pragma once

#include "poplarpitch/scheduler/command_batcher.h"
#include "poplarpitch/scheduling/refused_job.h"

#include <map>

namespace poplarpitch {

class job_state_machine;

/// Keeps in the log which jobs were cancelled before they were submitted, so that neither this leader nor a
/// later one accepts a copy of their submission that is still on its way. Thread safety: the loop's thread,
/// for all methods.
class refused_submissions {
public:
    /// Precondition: job state and batcher outlive the object.
    refused_submissions(const job_state_machine& job_state, command_batcher& batcher);

    /// Returns true when a submission of the job must not be accepted, also while that is being committed.
    [[nodiscard]] bool contains(const refused_job& job) const;
    /// Refuses submissions of the job from now on. `on_result` is called once: with `applied` when the log
    /// holds it, and with `refused` when too many are kept.
    void add(const refused_job& job, const command_batcher::result_handler& on_result);

private:
    const job_state_machine& m_job_state;
    command_batcher& m_batcher;
    std::map<refused_job, int> m_pending; ///< number of commands that are being committed, by job
};

} // namespace poplarpitch
