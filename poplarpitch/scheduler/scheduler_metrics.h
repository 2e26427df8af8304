#pragma once

#include "poplarpitch/telemetry/metrics_registry.h"

#include <map>
#include <set>
#include <string>

namespace poplarpitch {

struct job_timing;
class endpoint_report;
struct scheduler_parts;

/// The metrics of a scheduler instance. Histograms by queue are updated by `observe`; counters and gauges are
/// read when the metrics are formatted. Thread safety: the loop's thread.
class scheduler_metrics {
public:
    /// Records the duration of a phase of a job.
    void observe(const job_timing& timing);
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string format(const scheduler_parts& parts, const endpoint_report& endpoints);

private:
    /// Sets the share of each queue; a queue that is no longer listed has none.
    void set_queue_shares(const std::map<std::string, double>& shares);

    metrics_registry m_registry;
    std::set<std::string> m_share_queues; ///< whose share was set; one for each queue that submitted
};

} // namespace poplarpitch
