#pragma once

#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Identifies the order that an answer belongs to.
struct relay_order_key {
    enum class kind : std::uint8_t { hold, start, stop, pace };

    kind type = kind::hold;
    worker_incarnation worker;
    run_key run;     ///< unused for a hold order
    int percent = 0; ///< only for a pace order

    friend auto operator<=>(const relay_order_key&, const relay_order_key&) = default;
};

} // namespace poplarpitch
