#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/policy/interference_model.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Requests of one service that a worker serves.
struct service_load {
    std::uint32_t service = 0; ///< dense number of the service
    float rate = 0;            ///< requests a second

    friend auto operator<=>(const service_load&, const service_load&) = default;
};

/// One worker as placement sees it.
struct placement_candidate {
    resources capacity;
    resources free;
    float speed = 1;                   ///< time over the ordinary worker's
    float slowdown = 1;                ///< measured over expected latency of its services
    std::uint32_t rack = 0;            ///< dense number of the rack
    std::uint16_t same_job_tenant = 0; ///< tasks of this tenant in the same rack, for spreading
    bool is_open = true;               ///< takes new tasks: not silent, leaving, quarantined or under relief
    bool is_failed_before = false;     ///< the job failed here already
    std::vector<service_load> services;

    friend bool operator==(const placement_candidate&, const placement_candidate&) = default;
};

/// The task to place.
struct placement_request {
    resources need;          ///< what is set aside
    std::uint32_t batch = 0; ///< dense number of the batch class
    float run_seconds = 60;  ///< expected on an ordinary worker
    bool is_urgent = false;
    bool is_probe = false; ///< tries anew whether its class still slows services as was learned

    friend bool operator==(const placement_request&, const placement_request&) = default;
};

} // namespace poplarpitch
