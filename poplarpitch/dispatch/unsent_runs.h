#pragma once

#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <algorithm>

namespace poplarpitch {

/// Returns true when no start was sent for any of a worker's runs, and at least one of them is of a
/// long-running task. Such a worker gets holds only since the first of them was assigned to it. Thread
/// safety: as the state.
inline bool has_only_unsent_runs(const worker_state& worker) {
    const bool are_unsent = std::all_of(worker.runs.begin(), worker.runs.end(), [](const auto& item) {
        const auto stage = item.second->stage;
        return item.second->starts == 0 && (stage == run_stage::committing || stage == run_stage::starting);
    });
    return are_unsent && std::any_of(worker.runs.begin(), worker.runs.end(),
                                     [](const auto& item) { return item.second->get_spec().long_running; });
}

} // namespace poplarpitch
