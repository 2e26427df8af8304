#include "poplarpitch/dispatch/placement.h"

#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <algorithm>
#include <limits>

namespace poplarpitch {
namespace {

// Maximum time since the last list of a worker whose holds cannot be sent. Lists arrive once a second.
constexpr duration max_unheard = seconds{2};
constexpr duration max_heartbeat_interval = seconds{2}; // one that came late does not count as the usual one
constexpr duration heartbeat_slack = milliseconds{500}; // a heartbeat that an instance does not answer goes
                                                        // to the next one
// Costs are only compared with each other. One unit is the difference between an empty and a full worker.
constexpr double remote_data_cost = 4;  // tasks that are remote from their data take a multiple of the time
constexpr double failed_there_cost = 3; // the task failed on this worker; another one may do better
constexpr double doubtful_cost = 1.5;   // the worker's last run failed
constexpr double beside_filling_cost = 0.3; // a serving task on a worker with filling tasks
constexpr double no_serving_cost =
    0.8; // a filling task on a worker without serving tasks, which is kept for high interference
constexpr double fullness_weight = 0.3;    // of the used share of the spare processor time
constexpr double first_serving_cost = 1.0; // the first serving task of a worker
constexpr double other_image_cost = 1.5;   // for each other job of another image that serves on the worker
constexpr double other_job_cost = 0.3;     // for each other job that serves on the worker
constexpr std::int64_t no_room = -1; // millicores; less than any task requests, also one that requests none
constexpr std::int64_t starving_divisor =
    2;                                 // of the request; a filling task at half speed still makes progress
constexpr double neighbour_cost = 1.0; // for each run that a crash caused by a suspect would end
constexpr double serving_neighbour_cost =
    2.0; // the same for a serving run, whose callers wait for its answers
constexpr double other_suspect_cost =
    20.0; // after a crash of two suspects together, neither could be identified as the cause
constexpr double beside_suspect_cost = 2.0; // a task that is no suspect beside a suspect
constexpr double beside_kept_cost = 10.0;   // a worker kept for a suspect is the last choice
constexpr double last_attempt_cost = 10.0;  // a doubtful worker is the last choice for a last attempt
constexpr double short_beside_filling_cost =
    0.5; // a task that neither fills nor serves on a worker with filling tasks

double get_fill_cost(const worker_state& worker) {
    return 1.0 - worker.get_share(worker.get_spare_millicores());
}

/// Returns how close a filling task would bring the worker's serving tasks to their limit, which is 1.
double get_slowdown_cost(const worker_state& worker, const placement_request& request) {
    if (worker.pressure.groups.empty()) {
        return no_serving_cost;
    }
    const auto share = worker.get_share(request.spec->millicores);
    double highest = 0;
    for (const auto& group : worker.pressure.groups) {
        const auto slowdown = request.factors[group.image] * share;
        highest = std::max(highest, (group.slowdown + slowdown) / group.allowed_slowdown);
    }
    return highest;
}

/// Returns a cost for the mix of jobs and images that serve on the worker. With fewer images, more kinds of
/// filling tasks fit. The load of the tasks of one job varies together, so a worker with a single job has
/// quiet periods in which it bears filling tasks with high interference.
double get_mixing_cost(const worker_state& worker, const placement_request& request) {
    double cost = 0;
    for (const auto& group : worker.pressure.groups) {
        cost += (group.job != request.step.job ? other_job_cost : 0) +
                (group.image != request.image ? other_image_cost : 0);
    }
    return cost;
}

/// Returns the room that a filling task requires, in millicores. A task of a starving job accepts less. On
/// a worker without serving tasks this only slows the filling tasks; on others the task is paced.
std::int64_t get_least_room(const worker_state& worker, const placement_request& request) {
    const auto wanted = request.spec->millicores;
    if (!request.is_starving) {
        return wanted;
    }
    return worker.serving_runs == 0 ? std::numeric_limits<std::int64_t>::min() : wanted / starving_divisor;
}

/// Returns a cost for the runs that another crash would end, and for the difficulty of identifying its cause.
double get_risk_cost(const worker_state& worker, isolation_level isolation) {
    if (isolation == isolation_level::none) {
        return worker.probations > 0 ? beside_kept_cost : worker.suspects > 0 ? beside_suspect_cost : 0;
    }
    return neighbour_cost * static_cast<double>(worker.runs.size()) +
           serving_neighbour_cost * static_cast<double>(worker.serving_runs) +
           other_suspect_cost * static_cast<double>(worker.suspects);
}

/// A worker without runs gets no holds, so only missing heartbeats show that it has vanished.
bool has_missed_heartbeats(const worker_state& worker, time_point now) {
    const auto heard_at = std::max(worker.last_heartbeat, worker.listed_at);
    const auto interval = std::min(worker.heartbeat_interval, max_heartbeat_interval);
    return interval > duration{0} && now - heard_at > interval + interval / 2 + heartbeat_slack;
}

/// A worker on probation is tried with one task that ends, besides those that never left it. A long-running
/// task would have to be moved again if the worker were still slow.
bool is_kept_for_trial(const worker_state& worker, const step_spec& spec) {
    return worker.speed.is_on_probation() &&
           (spec.long_running || std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& item) {
                return item.second->assigned_at >= worker.speed.get_state_since();
            }));
}

bool is_avoided(const worker_state& worker, const placement_request& request) {
    return request.avoided != nullptr && std::find(request.avoided->begin(), request.avoided->end(),
                                                   worker.report.incarnation) != request.avoided->end();
}

/// Returns true when the worker's last run failed as far as known. What an earlier leader saw is known only
/// of the workers on which this very task failed.
bool is_doubtful(const worker_state& worker, const placement_request& request) {
    return worker.trust.is_doubtful() || (is_avoided(worker, request) && !worker.trust.is_proven());
}

placement_obstacle find_soft_obstacle(const worker_state& worker, const placement_request& request) {
    if (request.is_last_attempt && is_doubtful(worker, request)) {
        return placement_obstacle::doubtful;
    }
    if (is_kept_for_trial(worker, *request.spec)) {
        return placement_obstacle::set_aside;
    }
    return worker.probations > 0 ? placement_obstacle::kept_for_suspect : placement_obstacle::none;
}

/// Returns a cost for best fit: the fuller worker that still holds the task costs less.
double get_pack_cost(const worker_state& worker) {
    return worker.get_share(worker.get_free().millicores);
}

} // namespace

worker_amounts get_need(const step_spec& spec) {
    return {spec.is_filling ? 0 : spec.millicores, spec.memory_mb, spec.accelerators};
}

placement_obstacle find_unusable(const worker_state& worker, time_point now) {
    if (!worker.has_report || !worker.is_confirmed || worker.clock_ms == 0 || worker.is_lost) {
        return placement_obstacle::unknown;
    }
    if (worker.is_draining) {
        return placement_obstacle::leaving;
    }
    if (worker.is_data_centre_drained) {
        return placement_obstacle::data_centre_drained;
    }
    const bool is_unheard = worker.is_hold_unanswered && now - worker.listed_at > max_unheard;
    if (worker.hold_failures > 0 || is_unheard || has_missed_heartbeats(worker, now)) {
        return placement_obstacle::silent;
    }
    if (now > worker.room_known_until) {
        return placement_obstacle::room_unknown;
    }
    return worker.trust.is_set_aside(now) || worker.speed.is_slow() ? placement_obstacle::set_aside
                                                                    : placement_obstacle::none;
}

bool is_usable(const worker_state& worker, time_point now) {
    return find_unusable(worker, now) == placement_obstacle::none;
}

bool is_last_resort(const worker_state& worker, time_point now) {
    return find_unusable(worker, now) == placement_obstacle::set_aside && !worker.trust.is_refusing(now);
}

std::int64_t get_room(const worker_state& worker, const placement_request& request) {
    if (!request.spec->is_filling) {
        return worker.get_free().millicores;
    }
    auto room = static_cast<double>(worker.get_spare_millicores());
    const auto capacity = static_cast<double>(worker.report.capacity.millicores);
    for (const auto& group : worker.pressure.groups) {
        const auto factor = request.factors[group.image];
        const auto spare = group.allowed_slowdown - group.slowdown;
        if (spare <= 0) {
            return no_room;
        }
        if (factor > 0) {
            room = std::min(room, spare / factor * capacity);
        }
    }
    return static_cast<std::int64_t>(room);
}

placement_obstacle find_obstacle(const worker_state& worker, const placement_request& request) {
    const auto& spec = *request.spec;
    if (!spec.required_label.empty() && !worker.report.has_label(spec.required_label)) {
        return placement_obstacle::label;
    }
    if (!request.rack.empty() && worker.report.rack != request.rack) {
        return placement_obstacle::rack;
    }
    if (!worker.get_free().holds(get_need(spec))) {
        return placement_obstacle::room;
    }
    if (spec.max_per_worker > 0) {
        const auto count = worker.step_counts.find(request.step);
        if (count != worker.step_counts.end() && count->second >= spec.max_per_worker) {
            return placement_obstacle::spread;
        }
    }
    const auto soft = find_soft_obstacle(worker, request);
    if (soft != placement_obstacle::none && !request.is_overdue) {
        return soft;
    }
    if (request.wants_own_worker() && !worker.runs.empty()) {
        return placement_obstacle::not_empty;
    }
    if (spec.is_filling && get_room(worker, request) < get_least_room(worker, request)) {
        return placement_obstacle::pressure;
    }
    return placement_obstacle::none;
}

std::optional<double> get_placement_cost(const worker_state& worker, const placement_request& request) {
    if (find_obstacle(worker, request) != placement_obstacle::none) {
        return std::nullopt;
    }
    const auto& spec = *request.spec;
    double cost = get_risk_cost(worker, request.isolation);
    if (spec.is_filling) {
        cost += get_slowdown_cost(worker, request) + fullness_weight * get_fill_cost(worker);
    } else if (spec.is_serving()) {
        cost += get_pack_cost(worker) + get_mixing_cost(worker, request) +
                (worker.filling_runs > 0 ? beside_filling_cost : 0) +
                (worker.serving_runs > 0 ? 0 : first_serving_cost);
    } else {
        cost += get_pack_cost(worker) + (worker.filling_runs > 0 ? short_beside_filling_cost : 0);
    }
    if (!spec.affinity_rack.empty() && worker.report.rack != spec.affinity_rack) {
        cost += remote_data_cost;
    }
    if (worker.trust.is_doubtful()) {
        cost += doubtful_cost + (request.is_last_attempt ? last_attempt_cost : 0);
    }
    if (is_avoided(worker, request)) {
        cost += failed_there_cost;
    }
    return cost;
}

std::uint64_t count_fitting(const worker_state& worker, const placement_request& request,
                            std::uint64_t limit) {
    auto hard = request;
    hard.is_overdue = true;
    if (find_obstacle(worker, hard) != placement_obstacle::none) {
        return 0;
    }
    const auto& spec = *request.spec;
    if (spec.max_per_worker > 0) {
        const auto count = worker.step_counts.find(request.step);
        const std::uint64_t placed = count == worker.step_counts.end() ? 0 : count->second;
        limit = std::min(limit, spec.max_per_worker - placed);
    }
    const auto need = get_need(spec);
    auto free = worker.get_free();
    std::uint64_t fitting = 0;
    while (fitting < limit && free.holds(need)) {
        free -= need;
        ++fitting;
    }
    return fitting;
}

} // namespace poplarpitch
