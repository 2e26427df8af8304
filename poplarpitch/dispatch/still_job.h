#pragma once

#include "poplarpitch/dispatch/job_activity.h"
#include "poplarpitch/scheduling/job_id.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// A job of which no run is known to have been at work for long, although a task of it waits or counts as
/// assigned.
struct still_job {
    job_id job = 0;
    std::uint64_t waiting = 0; ///< its tasks that wait for a worker
    job_activity activity;

    friend auto operator<=>(const still_job&, const still_job&) = default;
};

} // namespace poplarpitch
