#pragma once

#include "poplarpitch/policy/interference_model.h"
#include "poplarpitch/policy/name_index.h"
#include "poplarpitch/policy/speed_model.h"

namespace poplarpitch {

/// The models that an entry learns of services, batch classes and workers, and the dense indexes that
/// identify these. Thread safety: none.
struct fleet_models {
    name_index services;
    name_index batches;
    name_index workers;
    speed_model speed;
    interference_model interference;
};

} // namespace poplarpitch
