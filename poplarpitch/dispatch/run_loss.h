#pragma once

#include "poplarpitch/scheduling/crash_evidence.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// What the loss of a run says about its task, besides how the run ended.
struct run_loss {
    crash_evidence crash = crash_evidence::none;
    std::int64_t age_ms = 0; ///< how long the run existed; 0 while unknown

    friend auto operator<=>(const run_loss&, const run_loss&) = default;
};

} // namespace poplarpitch
