#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/order_backoff.h"
#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/dispatch/run_loss.h"
#include "poplarpitch/dispatch/suspect_watch.h"
#include "poplarpitch/dispatch/worker_pressure.h"
#include "poplarpitch/dispatch/worker_speed.h"
#include "poplarpitch/dispatch/worker_trust.h"
#include "poplarpitch/scheduling/order_failure.h"
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

/// A run that was given up when its worker's lease had expired. It is not known yet whether the worker
/// crashed.
struct lapsed_run {
    run_key run;
    run_loss loss; ///< applies if the worker has crashed

    friend auto operator<=>(const lapsed_run&, const lapsed_run&) = default;
};

/// Consecutive unanswered holds after which a worker counts as silent. A single one may be lost by chance.
inline constexpr int silent_after_failures = 2;

/// A hold that is in flight for this long has reached its worker, unless the worker's process had ended
/// before. Its connection then fails within a round trip of the network, also through a relay.
inline constexpr duration max_hold_arrival = milliseconds{100};

/// What the leader knows of one incarnation of a worker. It is not replicated: a new leader learns it again.
struct worker_state {
    worker_report report;
    bool has_report = false;           ///< false while only the log mentions the worker
    std::uint64_t report_sequence = 0; ///< of the last full heartbeat, which later ones may refer to
    time_point known_since{};
    std::uint64_t fence = 0;   ///< of orders to this incarnation
    bool needs_fence = false;  ///< orders to a former incarnation may still arrive, and only a higher fence
                               ///< makes the worker refuse them
    bool awaits_fence = false; ///< this incarnation has answered, and the higher fence is being committed
    bool is_confirmed = false; ///< it has sent its list under its fence
    bool is_draining = false;
    bool is_data_centre_drained = false; ///< by order of an operator: nothing starts here
    bool is_lost = false;                ///< another incarnation answered, or another worker at its address
    time_point leaves_at{};              ///< while draining: the earliest time at which it ends
    time_point last_heartbeat{};
    duration heartbeat_interval{}; ///< longest recent time between two heartbeats; zero before the second one
    time_point
        room_known_until{}; ///< nothing is started after this time, since its free room may have shrunk

    bool is_hold_pending = false; ///< a hold is in flight
    time_point hold_sent{};
    std::uint64_t hold_fence = 0; ///< of the last hold
    time_point listed_at{};       ///< when the last list was received
    bool has_stray_runs = false;  ///< the last list had runs that should not be on the worker
    time_point hold_expires_at{}; ///< when the hold in flight times out
    duration hold_wait{};         ///< for how long the worker waits for an end before it answers that hold
    time_point next_hold{};
    int hold_failures = 0;         ///< consecutive failures
    time_point failing_since{};    ///< time of the first of them; only meaningful while there are failures
    bool has_failed_early = false; ///< the first of them failed before its timeout, as when the process ends
    bool has_broken_poll = false;  ///< at the first of them the worker was waiting for an end when its
                                   ///< connection broke, so no end was missed
    order_backoff backoff;         ///< for starts and stops
    std::size_t slot = 0;          ///< number in the table of workers; kept while the worker is known
    std::uint64_t worker_hash =
        0; ///< hash of its id: picks its relay, and spreads the retries of workers in time

    std::int64_t clock_ms = 0; ///< the worker's clock at `clock_at`; 0 while unknown
    time_point clock_at{};
    bool is_hold_unanswered = false;   ///< the last hold ended without an answer; no lease is extended until
                                       ///< one is answered
    std::int64_t granted_until_ms = 0; ///< end of the lease that was last granted, by the worker's clock
    time_point granted_at{};           ///< when an order with a lease was last sent
    time_point lease_end{};            ///< when all leases of this leader and earlier ones have expired

    std::uint64_t last_processed_end =
        0; ///< highest sequence number among the ends of runs that were processed
    std::uint64_t acknowledged_up_to = 0; ///< highest sequence number of an end that the worker may forget
    std::uint64_t acknowledged_sent = 0;  ///< highest acknowledgement sent; 0 if it may have been lost
    std::size_t ends_being_committed = 0; ///< ends of runs that it listed and that are being committed

    absl::btree_map<run_key, run_track*> runs;     ///< ordered, so that equal states lead to equal decisions
    std::map<step_key, std::uint32_t> step_counts; ///< runs of each step, for the limit per worker
    worker_amounts reserved;                       ///< by all tasks; filling tasks reserve no processor time
    std::int64_t filling_millicores = 0;           ///< millicores requested by filling tasks
    std::int64_t short_task_millicores = 0;        ///< millicores of tasks that neither fill nor serve
    std::uint32_t filling_runs = 0;                ///< runs of filling tasks
    std::uint32_t serving_runs = 0;                ///< runs of serving tasks
    std::uint32_t suspects = 0;                    ///< runs whose tasks may have crashed a worker before
    std::uint32_t probations = 0;                  ///< suspect runs that require this worker for themselves
    std::vector<lapsed_run> lapsed_runs; ///< kept until the worker answers again or has certainly crashed
    std::int64_t serving_unused_millicores =
        0; ///< millicores that serving tasks reserve and, by their own load, do not use
    std::vector<image_share> fill_shares; ///< filling tasks' use by image, smoothed like the tail latencies
    time_point fill_shares_at{};
    worker_pressure pressure;
    worker_trust trust;
    worker_speed speed;
    time_point tails_at{}; ///< time of the last list whose tail latencies were considered for the speed

    /// Counts a run with this isolation, or removes it from the counts with -1. Thread safety: as the state.
    void count_isolated(isolation_level isolation, int sign) {
        if (isolation != isolation_level::none) {
            suspects += static_cast<std::uint32_t>(sign);
        }
        if (isolation == isolation_level::alone) {
            probations += static_cast<std::uint32_t>(sign);
        }
    }
    /// Records a heartbeat. Thread safety: as the state.
    void record_heartbeat(time_point now) {
        const auto gap = now - last_heartbeat;
        heartbeat_interval = std::max(gap, heartbeat_interval - heartbeat_interval / 4);
        last_heartbeat = now;
    }
    /// Records an unanswered hold. Thread safety: as the state.
    void record_hold_failure(order_failure failure, time_point now) {
        if (hold_failures == 0) {
            const auto waited = now - hold_sent;
            failing_since = now;
            has_failed_early = now < hold_expires_at;
            has_broken_poll =
                failure == order_failure::unanswered && waited >= max_hold_arrival && waited <= hold_wait;
        }
        ++hold_failures;
    }
    /// Returns true when no starts are sent: the worker may receive orders although its answers do not
    /// arrive. Thread safety: as the state.
    [[nodiscard]] bool is_silent() const { return hold_failures >= silent_after_failures; }
    /// Returns true when the worker is part of what its pool offers. Thread safety: as the state.
    [[nodiscard]] bool counts_for_pool() const { return has_report && !is_lost && !is_draining; }
    /// Returns what the worker offers to its pool. A drained data centre has no room beyond what runs there.
    /// Thread safety: as the state.
    [[nodiscard]] const worker_amounts& get_pool_capacity() const {
        return is_data_centre_drained ? reserved : report.capacity;
    }
    /// Returns what is not reserved. Thread safety: as the state.
    [[nodiscard]] worker_amounts get_free() const { return report.capacity - reserved; }
    /// Returns the processor time that is left for filling tasks, in millicores. Thread safety: as the state.
    [[nodiscard]] std::int64_t get_spare_millicores() const {
        return report.capacity.millicores - reserved.millicores + serving_unused_millicores -
               filling_millicores;
    }
    /// Returns an amount of processor time, in millicores, as a share of the worker's capacity, 1 at most
    /// even where the capacity has shrunk below the amount. Thread safety: as the state.
    [[nodiscard]] double get_share(std::int64_t millicores) const {
        const auto capacity = std::max<std::int64_t>(report.capacity.millicores, 1);
        return std::min(static_cast<double>(millicores) / static_cast<double>(capacity), 1.0);
    }
    /// Returns the worker's clock at `now`, or 0 while it is unknown. The estimate is never ahead of the
    /// clock, even if that is slower by the share `drift`. Thread safety: as the state.
    [[nodiscard]] std::int64_t estimate_clock(time_point now, double drift) const {
        const auto passed = std::chrono::duration_cast<duration>((now - clock_at) * (1 - drift));
        return clock_ms == 0 ? 0 : clock_ms + to_milliseconds(passed);
    }
};

} // namespace poplarpitch
