#pragma once

#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_life.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Which order an answer is for.
struct order_name {
    enum class kind : std::uint8_t { hold, start, stop, pace };

    kind what = kind::hold;
    worker_life worker;
    run_key run;     ///< of all but a hold
    int percent = 0; ///< of a pace order

    friend auto operator<=>(const order_name&, const order_name&) = default;
};

} // namespace poplarpitch
