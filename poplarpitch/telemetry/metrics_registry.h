#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/telemetry/metric_labels.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

/// Counters, gauges and latency histograms (Boost.Histogram), for each tenant and service or class, printed
/// as Prometheus text. Series are bounded in number; above the bound they share one series named "other", so
/// that made-up tenant names cannot fill the memory. Thread safety: any thread, for all methods.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Adds to a counter.
    void count(const std::string& name, const metric_labels& labels, std::int64_t amount = 1);
    /// Sets a gauge.
    void set(const std::string& name, const metric_labels& labels, double value);
    /// Adds one time to a histogram.
    void observe(const std::string& name, const metric_labels& labels, duration value);
    /// Returns everything as Prometheus text.
    [[nodiscard]] std::string format() const;

private:
    using series_key = std::pair<std::string, metric_labels>;
    struct histogram_series;
    /// A part of the series; each thread uses one, so that threads seldom meet. The text adds them up.
    struct shard;
    /// All series of one kind added up.
    struct totals;

    shard& get_shard();
    [[nodiscard]] totals sum_shards() const;
    static series_key make_key(const std::string& name, const metric_labels& labels, bool is_known);

    std::vector<std::unique_ptr<shard>> m_shards;
    std::atomic<std::size_t> m_next_shard{0};
    mutable absl::Mutex m_gauge_mutex;
    std::map<series_key, double> m_gauges ABSL_GUARDED_BY(m_gauge_mutex);
};

} // namespace poplarpitch
