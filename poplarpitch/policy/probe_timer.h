#pragma once

#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Says when a batch class that the learned interference keeps out everywhere may be tried once all the same.
/// Pairings change with load, and a class that runs nowhere gives no samples: without probes a wrong estimate
/// would keep it out for good. Thread safety: none, as for all methods.
class probe_timer {
public:
    /// Takes the objective: the more the tail weighs, the rarer the probes, since each costs some of it.
    void set_objective(const objective_settings& objective);
    /// Returns true when `batch` (its dense number), which found no room, may be probed now. The first time
    /// it is asked for a class the interval begins: the estimate was made a moment ago.
    [[nodiscard]] bool is_due(std::uint32_t batch, time_point now);
    /// Notes a probe.
    void on_probed(std::uint32_t batch, time_point now);

private:
    duration m_interval = seconds{60}; ///< between two probes of one class
    std::vector<time_point> m_last;    ///< by batch class; zero before it was first asked for
};

} // namespace poplarpitch
