// Workers that are slow compared with their pool: finds them, and moves tasks away from them.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/disruption_budget.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration speed_interval = milliseconds{250}; // lists arrive every 350 ms to 1 s
constexpr double full_percent = 100;
// Multiple of the target. At its peak a serving task's own load brings the tail to 0.6 of the target. A tail
// that is three times higher without filling tasks beside it is the worker's fault.
constexpr std::int64_t slow_tail_multiple = 2;
constexpr double quiet_fill_share = 0.03; // of the worker; filling tasks below it do not explain a tail
constexpr double new_run_time_s = 0.3;    // until a stopped task runs elsewhere, where there is room
constexpr double min_gain = 1.3;          // a move must be expected to end this many times sooner
constexpr std::uint64_t max_moves =
    12; // of long-running tasks in one check, so that not all are away at once

/// Workers with room for long-running tasks that are about to be moved, less the room that is planned for.
class destinations {
public:
    destinations(const std::vector<worker_state*>& workers, time_point now) {
        for (const auto* worker : workers) {
            if (is_usable(*worker, now)) {
                m_free.emplace_back(worker->report.pool, worker->get_free());
            }
        }
    }
    /// Plans a task and returns true when there is room for it.
    bool take(const std::string& pool, const worker_amounts& need) {
        for (auto& [name, free] : m_free) {
            if (name == pool && free.holds(need)) {
                free = free - need;
                return true;
            }
        }
        return false;
    }

private:
    std::vector<std::pair<std::string, worker_amounts>> m_free;
};

double get_fill_share(const worker_state& worker) {
    double share = 0;
    for (const auto& item : worker.fill_shares) {
        share += item.share;
    }
    return share;
}

/// Returns true when a run would end sooner elsewhere, including what a stop discards.
bool would_end_sooner_elsewhere(const run_track& track, double expected_s, double speed) {
    const auto left = 1 - static_cast<double>(track.percent) / full_percent;
    const auto here = left * expected_s / std::max(speed, 0.01);
    const auto elsewhere = (track.get_spec().checkpointing ? left : 1.0) * expected_s + new_run_time_s;
    return here > min_gain * elsewhere;
}

/// What one check did with the tasks on slow workers.
struct slow_worker_moves {
    std::uint64_t ending = 0;       ///< tasks that end, stopped to run elsewhere
    std::uint64_t long_running = 0; ///< long-running tasks that do not meet their target
    std::uint64_t moved = 0;        ///< those that were stopped
    std::uint64_t over_budget = 0;  ///< those that had to stay, since others of their step are away
    std::uint64_t without_room = 0; ///< those that had to stay, since no other worker has room
    std::uint64_t postponed = 0;    ///< those that are left for the next check
};

void log_moves(const slow_worker_moves& moves, std::size_t slow) {
    log_event(log_level::info, "slow_workers")
        .add("workers", static_cast<std::uint64_t>(slow))
        .add("ending_moved", moves.ending)
        .add("long_running", moves.long_running)
        .add("moved", moves.moved)
        .add("over_budget", moves.over_budget)
        .add("without_room", moves.without_room)
        .add("postponed", moves.postponed);
}

bool is_movable(const run_track& track) {
    return track.stage == run_stage::running && !track.is_ending && !track.is_stop_wanted &&
           !track.get_spec().gang;
}

} // namespace

double dispatcher::get_expected_s(const run_track& track) const {
    const auto& step = track.get_spec();
    return static_cast<double>(m_forecast.predict_ms(*track.job, step)) / 1000;
}

void dispatcher::observe_progress(run_track& track, std::int64_t percent, time_point now) {
    if (!m_settings.decisions.move_from_slow) {
        return;
    }
    const bool is_known = track.has_known_start && track.pace == 100 && !track.is_pace_pending;
    const auto since = std::max(track.progress_at, track.confirmed_at);
    if (is_known && !track.get_spec().long_running && percent >= track.percent) {
        const auto work = static_cast<double>(percent - track.percent) / full_percent * get_expected_s(track);
        track.host->speed.observe(work, to_seconds(now - since), now);
    }
    track.progress_at = now;
}

void dispatcher::observe_tails(worker_state& worker, time_point now) {
    if (!m_settings.decisions.move_from_slow || worker.serving_runs == 0) {
        return;
    }
    const bool has_quiet_fills = get_fill_share(worker) <= quiet_fill_share;
    if (!has_quiet_fills && !is_unsound(worker)) {
        return; // filling tasks may explain the tails
    }
    for (const auto& [key, run] : worker.runs) {
        const auto& target_ms = run->get_spec().target_ms;
        if (run->get_spec().is_serving() && run->level > 0 && run->percent >= full_percent) {
            const auto took = std::min(to_seconds(now - run->tail_at), 1.0);
            const bool is_slow = run->level > slow_tail_multiple * target_ms;
            worker.speed.observe_tail(is_slow, took, now);
        }
        run->tail_at = now;
    }
}

void dispatcher::check_speeds(time_point now) {
    if (!m_settings.decisions.move_from_slow || now < m_next_speeds) {
        return;
    }
    m_next_speeds = now + speed_interval;
    const worker_speed_settings settings;
    std::map<std::string, std::vector<double>> speeds;
    for (const auto* worker : m_workers.get_all()) {
        if (worker->has_report && worker->speed.get_evidence_s(settings, now) >= settings.min_evidence_s) {
            speeds[worker->report.pool].push_back(worker->speed.get_speed());
        }
    }
    std::map<std::string, double> medians;
    for (auto& [pool, values] : speeds) {
        medians[pool] = get_median_speed(std::move(values), settings);
    }
    std::vector<worker_state*> slow;
    for (auto* worker : m_workers.get_all()) {
        const auto median = medians[worker->report.pool];
        if (worker->speed.classify(median, settings, now)) {
            log_event line(log_level::info, "worker_speed");
            add_worker(line, worker->report.incarnation)
                .add("state", worker->speed.is_slow()           ? "slow"
                              : worker->speed.is_on_probation() ? "probation"
                                                                : "sound")
                .add("speed", worker->speed.get_speed())
                .add("median", median)
                .add("runs", static_cast<std::uint64_t>(worker->runs.size()));
        }
        if (worker->speed.is_slow()) {
            worker->trust.on_slow(now);
            slow.push_back(worker);
        }
    }
    m_counts.slow_workers = slow.size();
    leave_slow(slow, now);
}

void dispatcher::leave_slow(const std::vector<worker_state*>& slow, time_point now) {
    if (slow.empty()) {
        return;
    }
    destinations room(m_workers.get_all(), now);
    slow_worker_moves moves;
    for (auto* worker : slow) {
        for (const auto& [key, run] : worker->runs) {
            auto& track = *run;
            if (!is_movable(track) || worker->is_draining) {
                continue;
            }
            if (!track.get_spec().long_running) {
                if (would_end_sooner_elsewhere(track, get_expected_s(track), worker->speed.get_speed())) {
                    ++moves.ending;
                    stop_run(track, now);
                }
                continue;
            }
            const auto job = m_jobs.find(key.task.step.job);
            const bool is_served_well =
                track.get_spec().is_serving() && track.level <= track.get_spec().target_ms;
            if (is_served_well || job == m_jobs.end()) {
                continue;
            }
            ++moves.long_running;
            if (!disruption_budget(job->second.runs).may_stop(track, now)) {
                ++moves.over_budget;
            } else if (moves.moved >= max_moves) {
                ++moves.postponed;
            } else if (!room.take(track.job->queue.pool, get_need(track.get_spec()))) {
                ++moves.without_room;
            } else {
                ++moves.moved;
                stop_run(track, now);
            }
        }
    }
    m_counts.moved_from_slow += moves.ending + moves.moved;
    log_moves(moves, slow.size());
}

} // namespace poplarpitch
