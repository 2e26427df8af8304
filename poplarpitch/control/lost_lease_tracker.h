#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class job_table;

/// Tracks when the leases of lost attempts have expired. The wait starts when this leader first sees the
/// attempt as lost. That is never before the last possible renewal, because the owner stops renewing before
/// it reports the loss. A new leader starts the wait again, so a change of leader makes the wait longer,
/// never shorter. Thread safety: none, as for all methods.
class lost_lease_tracker {
public:
    /// Starts a term of leadership.
    void start() { m_tracked.clear(); }
    /// Returns commands for the leases that have certainly expired. `wait` is the task lease plus the drift
    /// margin.
    std::vector<wire::command> run(const job_table& jobs, duration wait, time_point now,
                                   std::int64_t wall_ms);

private:
    struct tracked_loss {
        log_index changed_index = 0; ///< last change of the job; a further change restarts the wait
        time_point first_seen{};
    };

    std::map<std::string, tracked_loss> m_tracked; ///< by job id
};

} // namespace poplarpitch
