#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class job_table;

/// Waits for the leases of lost attempts to run out. The wait begins when this leader first sees the attempt
/// lost, which is never before the last possible renewal: the owner stopped renewing before it reported the
/// loss. A new leader begins anew, so a change of leader makes the wait longer, never shorter. Thread safety:
/// none, as for all methods.
class lost_lease_tracker {
public:
    /// Starts a term of leadership.
    void start() { m_tracked.clear(); }
    /// Returns the leases that have surely run out. `wait` is the task lease plus the drift margin.
    std::vector<wire::command> run(const job_table& jobs, duration wait, time_point now,
                                   std::int64_t wall_ms);

private:
    struct tracked_loss {
        log_index changed_index = 0; ///< the job's state that was seen; a change starts the wait anew
        time_point first_seen{};
    };

    std::map<std::string, tracked_loss> m_tracked; ///< by job
};

} // namespace poplarpitch
