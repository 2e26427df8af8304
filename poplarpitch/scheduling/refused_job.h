#pragma once

#include "poplarpitch/scheduling/job_id.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// A job that was cancelled in a queue before it was submitted there. The same id may be in use in another
/// queue.
struct refused_job {
    job_id id = 0;
    std::uint64_t queue = 0; ///< `queue_settings::get_hash`

    friend auto operator<=>(const refused_job&, const refused_job&) = default;
};

} // namespace poplarpitch
