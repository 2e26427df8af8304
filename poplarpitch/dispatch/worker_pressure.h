#pragma once

#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Serving tasks of one job on a worker, and the interference that they tolerate.
struct serving_group {
    image_number image = 0;
    job_id job = 0; ///< the load of the tasks of one job varies together
    double allowed_slowdown =
        0;               ///< slowdown that filling tasks may cause before a tail comes close to its target
    double slowdown = 0; ///< estimated slowdown by the filling tasks assigned to the worker

    friend bool operator==(const serving_group&, const serving_group&) = default;
};

/// The interference that the serving tasks of a worker tolerate. It is recomputed from time to time and
/// updated at each placement.
struct worker_pressure {
    std::vector<serving_group> groups;

    friend bool operator==(const worker_pressure&, const worker_pressure&) = default;
};

} // namespace poplarpitch
