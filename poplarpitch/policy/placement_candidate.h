#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/policy/interference_model.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Request rate of one service on a worker.
struct service_load {
    std::uint32_t service = 0; ///< dense index of the service
    float rate = 0;            ///< requests per second

    friend auto operator<=>(const service_load&, const service_load&) = default;
};

/// A worker as input to placement.
struct placement_candidate {
    resources capacity;
    resources free;
    float speed = 1;                        ///< run time relative to that on a typical worker
    float slowdown = 1;                     ///< measured latency of its services divided by the expected one
    std::uint32_t rack = 0;                 ///< dense index of the rack
    std::uint16_t tenant_tasks_in_rack = 0; ///< tasks of this tenant in the same rack, for spreading
    bool is_open = true;            ///< accepts new tasks: not silent, leaving, quarantined or under relief
    bool has_failed_before = false; ///< the job has already failed on this worker
    std::vector<service_load> services;

    friend bool operator==(const placement_candidate&, const placement_candidate&) = default;
};

/// The task to place.
struct placement_request {
    resources need;          ///< resources to reserve for it
    std::uint32_t batch = 0; ///< dense index of the batch class
    float run_seconds = 60;  ///< expected run time on a typical worker
    bool is_urgent = false;
    bool is_probe = false; ///< tests whether its class still slows the services as much as was learned

    friend bool operator==(const placement_request&, const placement_request&) = default;
};

} // namespace poplarpitch
