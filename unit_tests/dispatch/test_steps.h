#pragma once

#include "poplarpitch/scheduling/step_spec.h"

namespace poplarpitch {

/// A step of small tasks that end: one core, 100 MB, about a second.
inline step_spec make_step(std::uint32_t count = 1) {
    step_spec step;
    step.count = count;
    step.millicores = 1000;
    step.memory_mb = 100;
    step.estimate_ms = 1000;
    return step;
}

} // namespace poplarpitch
