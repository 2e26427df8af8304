#pragma once

#include "poplarpitch/core/resources.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>

namespace poplarpitch {

/// Claims of the assigned and running jobs of one worker.
struct job_claims {
    resources reserved;                                          ///< total for all of them
    absl::btree_map<std::string, std::uint32_t> tasks_by_tenant; ///< number of tasks by tenant

    friend bool operator==(const job_claims&, const job_claims&) = default;
};

} // namespace poplarpitch
