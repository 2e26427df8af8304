#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <vector>

namespace poplarpitch {

/// What the leader knows of the runs of a task, or of all members of a gang, that ended as failed. Thread
/// safety: any thread while no thread modifies the object.
struct failed_attempts {
    std::vector<worker_incarnation> workers; ///< of these runs
    time_point last{}; ///< when the last one ended, or when this leader took over if that was later

    friend bool operator==(const failed_attempts&, const failed_attempts&) = default;
};

} // namespace poplarpitch
