#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/task_key.h"

#include <absl/container/btree_map.h>

#include <cstdint>

namespace poplarpitch {

struct run_track;

/// Decides whether the scheduler may stop a long-running task for its own purposes.
///
/// A step states how many of its tasks may be unavailable at the same time because of the scheduler's orders.
/// Every task that is not known to be at work counts as away, whatever the cause: two causes together must
/// not exceed the limit. Thread safety: none, as for all methods.
class disruption_budget {
public:
    /// `runs`: all runs of the job that have not ended. Precondition: they outlive the object.
    explicit disruption_budget(const absl::btree_map<run_key, run_track*>& runs) : m_runs(runs) {}

    /// Returns true when the run is known to be at work: it has completed its startup, nothing has ended or
    /// stopped it, and its worker has listed it recently.
    [[nodiscard]] static bool is_at_work(const run_track& track, time_point now);
    /// Returns how many tasks of the run's step, without its own, are not known to be at work.
    [[nodiscard]] std::uint32_t count_others_away(const run_track& track, time_point now) const;
    /// Returns true when fewer other tasks of the run's step are away than may be. Always false for a step
    /// without such a limit or with a limit of zero.
    [[nodiscard]] bool may_stop(const run_track& track, time_point now) const;

private:
    const absl::btree_map<run_key, run_track*>& m_runs;
};

} // namespace poplarpitch
