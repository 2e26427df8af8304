#pragma once

#include "poplarpitch/control/job_scheduler.h"
#include "poplarpitch/control/lost_lease_tracker.h"
#include "poplarpitch/control/owner_assigner.h"
#include "poplarpitch/control/session_registry.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <vector>

namespace poplarpitch {

class state_machine;

/// The periodic work of the leader: expires sessions, assigns workers to entries, ends the leases of lost
/// attempts, places jobs and expires old records. It does no I/O: it gets replicated state, reports and the
/// time, and returns commands, so a test can stop it at any step. Thread safety: none, as for all methods.
class leader_duties {
public:
    /// Starts a term of leadership.
    void start(const state_machine& state, time_point now);
    /// Records the renewal of a session and the usage samples that came with it.
    void renew(const state_machine& state, const wire::renew_request& request, time_point now);
    /// Returns the commands that are due. Precondition: the commands of the last call were applied or
    /// dropped.
    std::vector<wire::command> run(const state_machine& state, std::size_t max_assignments, time_point now,
                                   std::int64_t wall_ms);

    [[nodiscard]] const session_registry& get_sessions() const { return m_sessions; }

private:
    void expire_records(const state_machine& state, time_point now, std::int64_t wall_ms,
                        std::vector<wire::command>& commands);

    session_registry m_sessions;
    owner_assigner m_owners;
    job_scheduler m_scheduler;
    lost_lease_tracker m_lost_leases;
    time_point m_next_expiry{};
};

} // namespace poplarpitch
