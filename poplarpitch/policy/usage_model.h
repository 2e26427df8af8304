#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/policy/decaying_histogram.h"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace poplarpitch {

/// Quantiles of past usage that are reserved.
struct usage_settings {
    double cores_quantile = 0.75;  ///< cores can be shared for a while, so a moderate quantile suffices
    double memory_quantile = 0.98; ///< running out of memory kills tasks, so nearly the highest usage seen
    double memory_headroom = 1.1;  ///< factor applied to the memory quantile
    double min_samples = 8;        ///< with fewer samples, the declared amounts are reserved

    friend auto operator<=>(const usage_settings&, const usage_settings&) = default;
};

/// Learned ratio of what jobs use to what they declare, for each tenant and batch class; declarations are
/// often far off. A reservation is the declared amount times a quantile of that ratio. Thread safety: none,
/// as for all methods.
class usage_model {
public:
    explicit usage_model(const usage_settings& settings = {});

    /// Adds a finished task: used divided by declared amounts of cores, memory and run time.
    void add(const std::string& tenant, const std::string& batch, double cores_ratio, double memory_ratio,
             double time_ratio);
    /// Returns the resources to reserve for a task that declares `declared`. Slots and accelerators stay as
    /// declared.
    [[nodiscard]] resources get_reservation(const std::string& tenant, const std::string& batch,
                                            const resources& declared) const;
    /// Returns the median ratio of actual to declared run time; 1 while there are too few samples.
    [[nodiscard]] double get_time_ratio(const std::string& tenant, const std::string& batch) const;

private:
    struct ratios {
        ratios();
        decaying_histogram cores;
        decaying_histogram memory;
        decaying_histogram time;
    };

    [[nodiscard]] const ratios* find(const std::string& tenant, const std::string& batch) const;

    usage_settings m_settings;
    absl::flat_hash_map<std::pair<std::string, std::string>, ratios> m_ratios;
};

} // namespace poplarpitch
