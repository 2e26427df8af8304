#pragma once

#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Serving tasks of one image on a worker, as far as filling tasks beside them matter.
struct serving_group {
    image_number image = 0;
    job_id job = 0;  ///< tasks of one job rise and fall together
    double room = 0; ///< by how much filling tasks may slow them before a tail comes near its target
    double slowdown =
        0; ///< by how much the filling tasks assigned to the worker slow them, as far as is known

    friend bool operator==(const serving_group&, const serving_group&) = default;
};

/// What the serving tasks of a worker bear. Made anew from time to time, and added to at each placement.
struct worker_pressure {
    std::vector<serving_group> groups;

    friend bool operator==(const worker_pressure&, const worker_pressure&) = default;
};

} // namespace poplarpitch
