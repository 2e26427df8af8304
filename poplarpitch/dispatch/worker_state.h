#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/order_backoff.h"
#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/dispatch/run_loss.h"
#include "poplarpitch/dispatch/suspect_watch.h"
#include "poplarpitch/dispatch/worker_pressure.h"
#include "poplarpitch/dispatch/worker_trust.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

struct run_track;

/// A run that was given up when its worker's lease had lapsed: whether the worker crashed is not known yet.
struct lapsed_run {
    run_key run;
    run_loss loss; ///< what a crash would say of it

    friend auto operator<=>(const lapsed_run&, const lapsed_run&) = default;
};

/// Holds in a row without an answer after which a worker is taken for silent: one may be lost by chance.
inline constexpr int silent_after_failures = 2;

/// What the leader knows of one life of a worker. Soft: a new leader learns it anew.
struct worker_state {
    worker_report report;
    bool has_report = false; ///< false while only the log names it
    std::uint64_t report_sequence =
        0; ///< of the heartbeat that told all of it; later ones may have repeated it
    time_point known_since{};
    std::uint64_t fence = 0;  ///< of orders to this life
    bool needs_fence = false; ///< orders to a former life may yet come: only a higher fence keeps them off
    bool awaits_fence =
        false; ///< this life has answered, and the raise of the fence is on its way into the log
    bool is_confirmed = false; ///< it has sent its list under its fence
    bool is_leaving = false;
    bool is_lost = false;   ///< another life answered, or another worker at its address
    time_point leaves_at{}; ///< while leaving: it stays until then at least
    time_point last_heartbeat{};
    time_point room_known_until{}; ///< later nothing is started on it: its room may have shrunk

    bool is_hold_pending = false; ///< a hold is under way
    time_point hold_sent{};
    std::uint64_t hold_fence = 0; ///< of the hold that was sent last
    time_point listed_at{};       ///< when its last list came
    bool has_stray_runs = false;  ///< that list had runs which are not to be there
    time_point hold_expires_at{}; ///< by then the hold under way has an answer or has none
    time_point next_hold{};
    int hold_failures = 0;         ///< in a row
    time_point failing_since{};    ///< when the first of them came; of use only while there are some
    bool has_failed_early = false; ///< the first of them ended before its time, as when the process ends
    order_backoff backoff;         ///< of starts and stops
    std::size_t position = 0;      ///< in the table of workers
    std::uint64_t spread = 0;      ///< sets its repeated orders apart in time from those of others

    std::int64_t clock_ms = 0; ///< the worker's clock at `clock_at`; 0 while unknown
    time_point clock_at{};
    time_point granted_at{}; ///< when a lease was granted last
    time_point lease_end{};  ///< by then everything that this leader or an earlier one allowed has lapsed

    std::uint64_t seen = 0;         ///< highest number of its ends that was taken up
    std::uint64_t acknowledged = 0; ///< highest number that it may forget
    std::uint64_t acknowledged_sent =
        0; ///< highest number that it was told it may forget; 0 if that may be lost
    std::size_t ends_committing = 0;

    absl::btree_map<run_key, run_track*> runs;     ///< in order, so that equal states act alike
    std::map<step_key, std::uint32_t> step_counts; ///< runs of each step, for the limit on one worker
    worker_amounts reserved;                       ///< by tasks that count
    std::int64_t fill_millicores = 0;              ///< millicores wanted by tasks that fill
    std::int64_t short_millicores = 0;             ///< millicores of tasks that neither fill nor serve
    std::uint32_t fills = 0;                       ///< runs that fill
    std::uint32_t servings = 0;                    ///< runs whose answers are watched
    std::uint32_t suspects = 0;                    ///< runs whose tasks may have crashed a worker before
    std::uint32_t probations = 0;                  ///< those among them that are to be alone here
    std::vector<lapsed_run> lapsed;                ///< until it is heard again, or surely crashed
    std::int64_t serving_unused_millicores =
        0;                                ///< millicores that they reserve and, by their own load, do not use
    std::vector<image_share> fill_shares; ///< pressure by image, smoothed as the tails are
    time_point fill_shares_at{};
    worker_pressure pressure;
    worker_trust trust;

    /// Counts a run that is placed with this much care, or takes it back with -1. Thread safety: as the
    /// state.
    void count_isolated(isolation_level isolation, int sign) {
        if (isolation != isolation_level::none) {
            suspects += static_cast<std::uint32_t>(sign);
        }
        if (isolation == isolation_level::alone) {
            probations += static_cast<std::uint32_t>(sign);
        }
    }
    /// Notes a hold without an answer. Thread safety: as the state.
    void record_hold_failure(time_point now) {
        if (hold_failures == 0) {
            failing_since = now;
            has_failed_early = now < hold_expires_at;
        }
        ++hold_failures;
    }
    /// Returns true when no lease is granted any more: it may hear us while we do not hear it. Thread safety:
    /// as the state.
    [[nodiscard]] bool is_silent() const { return hold_failures >= silent_after_failures; }
    /// Returns what tasks that count may still take. Thread safety: as the state.
    [[nodiscard]] worker_amounts get_free() const { return report.capacity - reserved; }
    /// Returns the processor time that tasks which fill may still share, millicores. Thread safety: as the
    /// state.
    [[nodiscard]] std::int64_t get_spare_millicores() const {
        return report.capacity.millicores - reserved.millicores + serving_unused_millicores - fill_millicores;
    }
    /// Returns an amount of processor time, millicores, as a share of all that the worker has; all of it
    /// where the room has shrunk below that. Thread safety: as the state.
    [[nodiscard]] double get_share(std::int64_t millicores) const {
        const auto capacity = std::max<std::int64_t>(report.capacity.millicores, 1);
        return std::min(static_cast<double>(millicores) / static_cast<double>(capacity), 1.0);
    }
    /// Returns the worker's clock at `now`, never ahead of it though it may be slower by the share `drift`; 0
    /// while unknown. Thread safety: as the state.
    [[nodiscard]] std::int64_t estimate_clock(time_point now, double drift) const {
        const auto passed = std::chrono::duration_cast<duration>((now - clock_at) * (1 - drift));
        return clock_ms == 0 ? 0 : clock_ms + to_milliseconds(passed);
    }
};

} // namespace poplarpitch
