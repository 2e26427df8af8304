#pragma once

#include "poplarpitch/scheduling/step_spec.h"

namespace poplarpitch {

/// Returns a step of small tasks that end: 1 core, 100 MB, an estimate of 1 s.
inline step_spec make_step(std::uint32_t count = 1) {
    step_spec step;
    step.count = count;
    step.millicores = 1000;
    step.memory_mb = 100;
    step.estimate_ms = 1000;
    return step;
}

} // namespace poplarpitch
