#pragma once

#include "poplarpitch/scheduling/worker_incarnation.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// Resources of a worker, or those that a task uses.
struct worker_amounts {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    friend auto operator<=>(const worker_amounts&, const worker_amounts&) = default;

    /// Returns true when `part` fits in every dimension. Thread safety: any thread.
    [[nodiscard]] constexpr bool holds(const worker_amounts& part) const {
        return part.millicores <= millicores && part.memory_mb <= memory_mb &&
               part.accelerators <= accelerators;
    }
    constexpr worker_amounts& operator+=(const worker_amounts& other) {
        millicores += other.millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr worker_amounts& operator-=(const worker_amounts& other) {
        millicores -= other.millicores;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    friend constexpr worker_amounts operator-(worker_amounts left, const worker_amounts& right) {
        return left -= right;
    }
};

/// A heartbeat that repeats an earlier report and changes only its time.
struct unchanged_report {
    worker_incarnation worker;
    std::uint64_t sequence = 0;             ///< as in a full report
    std::uint64_t full_report_sequence = 0; ///< sequence of the full report that it repeats
    std::int64_t clock_ms = 0;              ///< the worker's own clock

    friend bool operator==(const unchanged_report&, const unchanged_report&) = default;
};

/// A worker's full report in a heartbeat.
struct worker_report {
    worker_incarnation incarnation;
    std::string address; ///< IPv4 address and port for orders
    std::string pool;
    std::string data_centre;
    std::string machine; ///< stays the same over the incarnations of its workers; empty when not reported
    std::vector<std::string> labels; ///< its kind and its rack
    std::string rack;
    worker_amounts capacity;
    bool is_draining = false;      ///< accepts no new work
    std::int64_t remaining_ms = 0; ///< while draining: minimum time for which it stays
    std::int64_t clock_ms = 0;     ///< its own clock
    std::uint64_t sequence = 0;    ///< increases with each heartbeat, so that a late one is recognised

    friend bool operator==(const worker_report&, const worker_report&) = default;

    /// Returns true when the worker has `label`. Thread safety: any thread.
    [[nodiscard]] bool has_label(const std::string& label) const {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

} // namespace poplarpitch
