#pragma once

#include "poplarpitch/core/resources.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>

namespace poplarpitch {

/// What the assigned and running jobs of one worker claim of it.
struct job_claims {
    resources reserved;                                          ///< set aside for them together
    absl::btree_map<std::string, std::uint32_t> tasks_by_tenant; ///< number of them, by tenant

    friend bool operator==(const job_claims&, const job_claims&) = default;
};

} // namespace poplarpitch
