#pragma once

#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Decides when a batch class that the learned interference keeps off all workers may be placed once
/// regardless. Interference changes with load, and a class that runs nowhere gives no samples: without probes
/// a wrong estimate would exclude it forever. Thread safety: none, as for all methods.
class probe_timer {
public:
    /// Sets the probe interval: the more the objective weighs the tail, the rarer the probes, since each
    /// costs some tail latency.
    void set_objective(const objective_settings& objective);
    /// Returns true when a probe of `batch` (the dense index of the class), for which no worker was found, is
    /// due. The first call for a class starts its interval and returns false, since its estimate is recent.
    [[nodiscard]] bool is_due(std::uint32_t batch, time_point now);
    /// Records a probe.
    void on_probed(std::uint32_t batch, time_point now);

private:
    duration m_interval = seconds{60}; ///< between two probes of one class
    std::vector<time_point> m_last;    ///< time of the last probe by batch class; zero at first
};

} // namespace poplarpitch
