#pragma once

#include "poplarpitch/telemetry/metrics_registry.h"

#include <string>

namespace poplarpitch {

struct job_timing;
struct scheduler_parts;

/// The metrics of a scheduler instance: histograms by queue as things happen, counters and gauges when they
/// are asked for. Thread safety: the loop's thread.
class scheduler_metrics {
public:
    /// Notes how long something in a job's life took.
    void observe(const job_timing& timing);
    /// Returns everything as Prometheus text.
    [[nodiscard]] std::string format(const scheduler_parts& parts);

private:
    metrics_registry m_registry;
};

} // namespace poplarpitch
