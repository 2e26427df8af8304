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

/// Counters, gauges and latency histograms (Boost.Histogram) by tenant and service or batch class, formatted
/// as Prometheus text. The number of series is bounded. Above the bound new series share one named "other",
/// so that arbitrary tenant names cannot exhaust the memory. Thread safety: any thread, for all methods.
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
    /// Adds one duration to a histogram.
    void observe(const std::string& name, const metric_labels& labels, duration value);
    /// Returns all series as Prometheus text.
    [[nodiscard]] std::string format() const;

private:
    using series_key = std::pair<std::string, metric_labels>;
    struct histogram_series;
    /// Part of the series. Each thread uses one shard, which reduces lock contention. `format` adds them up.
    struct shard;
    /// The sums of all shards.
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
