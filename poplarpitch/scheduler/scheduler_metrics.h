#pragma once

#include "poplarpitch/telemetry/metrics_registry.h"

#include <string>

namespace poplarpitch {

struct job_timing;
struct scheduler_parts;

/// The metrics of a scheduler instance. Histograms by queue are updated by `observe`; counters and gauges are
/// read when the metrics are formatted. Thread safety: the loop's thread.
class scheduler_metrics {
public:
    /// Records the duration of a phase of a job.
    void observe(const job_timing& timing);
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string format(const scheduler_parts& parts);

private:
    metrics_registry m_registry;
};

} // namespace poplarpitch
