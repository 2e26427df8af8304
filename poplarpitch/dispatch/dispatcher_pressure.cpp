// Filling tasks beside serving tasks: learns their interference, and slows, stops or moves filling tasks when
// tail latencies come close to their targets.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

// Share of the tail latency target up to which filling tasks are placed beside a serving task. Load pattern:
// in an overload, as many cores of filling tasks wait as run. A tail latency that is sometimes over its
// target then costs less than jobs that are never completed. On quiet days it is the other way round
// (with 1.1, a quiet day loses 0.012 and disturbed days gain 0.012).
constexpr double share_without_backlog = 0.9;
constexpr double share_with_backlog = 1.1;
constexpr double prediction_time_s = 0.5; // filling tasks take 1 to 4 s
constexpr double load_margin = 0.05; // of the serving tasks' capacity, reserved on top of their measured load
constexpr double pacing_share = 1.0; // share of the target from which filling tasks are slowed
constexpr double tail_smoothing_s =
    0.35; // a reported tail latency moves by two thirds of a change in this time
constexpr double default_interference_share = 0.5; // for a filling task that has not reported its use yet
constexpr double negligible_share = 0.003;
constexpr duration first_sample_span =
    milliseconds{500}; // the time that the first measurement of a task stands for
constexpr duration repeated_sample_limit =
    milliseconds{600}; // a value that stays the same for longer is a new measurement
constexpr std::int64_t unsound_multiple =
    14; // multiple of the target; filling tasks lengthen tails to 12 times at most
constexpr std::int64_t nearly_done_percent =
    85; // at a sixth of the speed, the remaining work takes as long as a new run
constexpr int min_pace_change_percent = 20;        // smaller changes are not worth an order
constexpr int min_useful_pace_percent = 30;        // a task that is slower than this is moved
constexpr duration move_after = milliseconds{500}; // time below the useful pace after which a task is moved
constexpr std::int64_t max_lost_percent =
    25; // progress that a move of a task without checkpoints may discard

} // namespace

void dispatcher::refresh_pressure(worker_state& worker) {
    const auto placing_share =
        share_without_backlog + (share_with_backlog - share_without_backlog) * m_demand.filling_backlog;
    auto& groups = worker.pressure.groups;
    groups.clear();
    worker.serving_unused_millicores = 0;
    if (worker.serving_runs == 0) {
        return;
    }
    for (const auto& [key, run] : worker.runs) {
        const auto& track = *run;
        const auto& spec = track.get_spec();
        if (!spec.is_serving()) {
            continue;
        }
        const auto allowed =
            m_pressure.get_allowed_slowdown(track.image, static_cast<double>(spec.target_ms), placing_share,
                                            track.own_load.load + prediction_time_s * track.own_load.trend);
        const auto load = std::min(track.own_load.load + load_margin, 1.0);
        worker.serving_unused_millicores +=
            static_cast<std::int64_t>(static_cast<double>(spec.millicores) * (1 - load));
        const auto group = std::find_if(groups.begin(), groups.end(), [&](const serving_group& item) {
            return item.job == track.key.task.step.job;
        });
        if (group == groups.end()) {
            groups.push_back({track.image, track.key.task.step.job, allowed, 0});
        } else {
            group->allowed_slowdown = std::min(group->allowed_slowdown, allowed);
        }
    }
    for (const auto& [key, run] : worker.runs) {
        const auto& track = *run;
        const auto& spec = track.get_spec();
        if (!spec.is_filling) {
            continue;
        }
        for (auto& group : groups) {
            group.slowdown += m_pressure.get_conservative_factor(group.image, track.image) *
                              worker.get_share(spec.millicores);
        }
    }
}

/// Reported tail latencies are smoothed over time. The shares of filling tasks are smoothed with the same
/// time constant, so that the two match.
void dispatcher::smooth_fill_shares(worker_state& worker, time_point now) {
    const auto passed = std::min(to_seconds(now - worker.fill_shares_at), 10.0);
    const auto decay_factor = std::exp(-passed / tail_smoothing_s);
    worker.fill_shares_at = now;
    for (auto& item : worker.fill_shares) {
        item.share *= decay_factor;
    }
    for (const auto& [key, run] : worker.runs) {
        const auto& track = *run;
        const auto& spec = track.get_spec();
        if (!spec.is_filling || track.stage != run_stage::running) {
            continue;
        }
        const auto requested = static_cast<double>(spec.millicores) * track.pace / 100;
        const auto interference_share =
            track.level > 0
                ? pressure_model::get_interference_share(static_cast<double>(track.level), requested)
                : default_interference_share;
        const auto share = worker.get_share(spec.millicores) * interference_share * track.pace / 100;
        auto item = std::find_if(worker.fill_shares.begin(), worker.fill_shares.end(),
                                 [&](const image_share& other) { return other.image == track.image; });
        if (item == worker.fill_shares.end()) {
            worker.fill_shares.push_back({track.image, 0});
            item = worker.fill_shares.end() - 1;
        }
        item->share += (1 - decay_factor) * share;
    }
    std::erase_if(worker.fill_shares, [](const image_share& item) { return item.share < negligible_share; });
}

/// Filling tasks lengthen a tail latency only up to a bound. A tail far above it is a fault of the worker.
bool dispatcher::is_unsound(const worker_state& worker) const {
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& item) {
        const auto& track = *item.second;
        const auto& spec = track.get_spec();
        return spec.is_serving() && track.level > unsound_multiple * spec.target_ms;
    });
}

/// Load pattern: a tenth to a sixth of the workers become slow (5 to 8 times) or stall for 5 to 8 s, and with
/// 16 tasks a job, nearly every job has a task on such a worker. The tasks are moved at once and resume from
/// their checkpoints if they have any. A task that is nearly done stays.
void dispatcher::leave_unsound(worker_state& worker, time_point now) {
    if (!worker.trust.is_set_aside(now)) {
        auto line = log_event(log_level::warn, "worker_unsound");
        add_worker(line, worker.report.incarnation)
            .add("runs", static_cast<std::uint64_t>(worker.runs.size()));
    }
    worker.trust.on_unsound(now);
    for (const auto& [key, run] : worker.runs) {
        auto& track = *run;
        const auto& spec = track.get_spec();
        const bool is_movable = !spec.long_running && track.stage == run_stage::running && !track.is_ending;
        if (is_movable && track.percent < nearly_done_percent) {
            stop_run(track, now);
        }
    }
}

void dispatcher::observe_pressure(worker_state& worker, time_point now) {
    if (worker.serving_runs == 0) {
        return;
    }
    if (is_unsound(worker)) {
        leave_unsound(worker, now);
        return;
    }
    smooth_fill_shares(worker, now);
    for (const auto& [key, run] : worker.runs) {
        auto& track = *run;
        const auto& spec = track.get_spec();
        if (!spec.is_serving() || track.level <= 0 || track.percent < 100) {
            continue;
        }
        const bool is_repeated =
            track.level == track.observed_level && now - track.observed_at < repeated_sample_limit;
        if (is_repeated) {
            continue; // the worker updates the value only a few times a second
        }
        const bool is_first = track.observed_at == time_point{};
        const auto since = is_first ? 1.0 : to_seconds(now - track.observed_at);
        const auto passed = is_first ? first_sample_span : now - track.observed_at;
        track.watch.observe(static_cast<double>(track.level), static_cast<double>(spec.target_ms), passed);
        track.observed_at = now;
        track.observed_level = track.level;
        if (worker.speed.is_slow()) {
            continue; // the worker's fault would be learned as interference of the images
        }
        m_pressure.observe(track.image, static_cast<double>(track.level), static_cast<double>(spec.target_ms),
                           worker.fill_shares, since, track.own_load);
    }
    plan_paces(worker, now);
    refresh_pressure(worker);
}

/// Plans paces from the expected interference of each filling task, so that a task regains its speed as soon
/// as the load of the serving tasks allows. A tail over its target slows the tasks that may cause it at once.
void dispatcher::plan_paces(worker_state& worker, time_point now) {
    if (worker.serving_runs == 0 || worker.filling_runs == 0) {
        return;
    }
    std::vector<run_track*> filling_tracks;
    for (const auto& [key, run] : worker.runs) {
        auto& track = *run;
        if (track.get_spec().is_filling && track.stage == run_stage::running && !track.is_stop_wanted &&
            !track.is_ending) {
            track.planned_pace = 100;
            filling_tracks.push_back(&track);
        }
    }
    for (const auto& [key, run] : worker.runs) {
        const auto& serving = *run;
        if (serving.get_spec().is_serving() && serving.level > 0) {
            slow_fills_for(worker, serving, filling_tracks);
        }
    }
    for (auto* fill : filling_tracks) {
        order_pace(worker, *fill, now);
    }
}

void dispatcher::slow_fills_for(const worker_state& worker, const run_track& serving,
                                const std::vector<run_track*>& filling_tracks) {
    const auto& spec = serving.get_spec();
    const auto target = static_cast<double>(spec.target_ms);
    struct fill_slowdown {
        run_track* fill;
        double slowdown; ///< at full speed
    };
    std::vector<fill_slowdown> slowdowns;
    slowdowns.reserve(filling_tracks.size());
    double total = 0;
    for (auto* fill : filling_tracks) {
        const auto& filling = fill->get_spec();
        const double slowdown =
            m_pressure.get_factor(serving.image, fill->image) * worker.get_share(filling.millicores);
        slowdowns.push_back({fill, slowdown});
        total += slowdown * fill->planned_pace / 100;
    }
    const double allowed =
        m_pressure.get_allowed_slowdown(serving.image, target, pacing_share, serving.own_load.load);
    double excess = std::max(total - allowed,
                             total * serving.watch.get_pressure_reduction()); // regardless of the model
    if (excess <= 0) {
        return;
    }
    std::sort(slowdowns.begin(), slowdowns.end(), [](const fill_slowdown& left, const fill_slowdown& right) {
        return left.slowdown > right.slowdown;
    });
    for (const auto& [fill, full_slowdown] : slowdowns) {
        const double slowdown = full_slowdown * fill->planned_pace / 100;
        if (excess <= 0) {
            return;
        }
        if (slowdown <= 0) {
            continue; // already stopped for another serving task; the ones after it may still interfere
        }
        const double left = std::max(0.0, 1 - excess / slowdown);
        fill->planned_pace = static_cast<int>(left * fill->planned_pace);
        excess -= slowdown * (1 - left);
    }
}

void dispatcher::order_pace(worker_state& worker, run_track& fill, time_point now) {
    if (fill.planned_pace >= min_useful_pace_percent) {
        fill.slow_since = time_point{};
    } else if (fill.slow_since == time_point{}) {
        fill.slow_since = now;
    }
    const auto& spec = fill.get_spec();
    const bool may_move = spec.checkpointing || fill.percent < max_lost_percent;
    if (may_move && fill.slow_since != time_point{} && now - fill.slow_since > move_after) {
        stop_run(fill, now);
        return;
    }
    const bool is_end = fill.planned_pace == 0 || fill.planned_pace == 100;
    const int change = std::abs(fill.planned_pace - fill.pace);
    if (fill.is_pace_pending || change == 0 || (change < min_pace_change_percent && !is_end)) {
        return;
    }
    fill.is_pace_pending = true;
    ++m_counts.pace_orders;
    pace_order order;
    order.target = make_target(worker, m_settings.order_timeout);
    order.run = fill.key;
    order.percent = fill.planned_pace;
    m_orders.emplace_back(std::move(order));
}

void dispatcher::on_pace(const run_key& key, int percent, const order_answer& answer, time_point now) {
    auto* track = find(key);
    if (track == nullptr || !is_leading()) {
        return;
    }
    static_cast<void>(now);
    track->is_pace_pending = false;
    track->is_pace_known = !answer.failure.has_value();
    if (!answer.failure.has_value()) {
        track->pace = percent;
    }
}

} // namespace poplarpitch
