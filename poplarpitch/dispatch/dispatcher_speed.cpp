// Workers that are slow compared with their pool: finds them, and moves tasks away from them.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/disruption_budget.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::int64_t full_percent = 100;
// Share of a run's forecast time after which its progress is considered: progress is reported in whole
// percent, so a shorter time shows mostly rounding.
constexpr double min_progress_share = 0.1;
// Multiple of the forecast after which a run without any progress counts. Some workers report no progress;
// their runs count when they end.
constexpr double max_silent_multiple = 2;
constexpr double max_tail_span_s = 1; // time that one list's tail latencies stand for, at most
constexpr duration max_list_age = seconds{2};
constexpr std::size_t max_speed_lines = 20;        // in one check
constexpr duration move_log_interval = seconds{1}; // of checks that move nothing

/// Numbers of slow and of all tail latencies of a group of serving tasks or of workers.
struct tail_tally {
    std::size_t slow = 0;
    std::size_t all = 0;
};

bool is_tail_slow(const run_track& track, const worker_speed_settings& settings) {
    return track.level > settings.slow_tail_multiple * track.get_spec().target_ms;
}

bool has_tail(const run_track& track) {
    return track.get_spec().is_serving() && track.stage == run_stage::running && track.level > 0 &&
           track.percent >= full_percent;
}

/// Returns true when filling tasks cannot explain the worker's tail latencies.
bool has_unexplained_tails(const worker_state& worker, bool is_unsound,
                           const worker_speed_settings& settings) {
    double share = 0;
    for (const auto& item : worker.fill_shares) {
        share += item.share;
    }
    return share <= settings.quiet_fill_share || is_unsound;
}

/// Counts the serving tasks by step. A step whose tasks are nearly all slow suffers from its own load.
std::map<step_key, tail_tally> tally_steps(const std::vector<worker_state*>& workers,
                                           const worker_speed_settings& settings, time_point now) {
    std::map<step_key, tail_tally> tallies;
    for (const auto* worker : workers) {
        if (worker->serving_runs == 0 || now - worker->listed_at > max_list_age) {
            continue;
        }
        for (const auto& [key, run] : worker->runs) {
            if (has_tail(*run)) {
                auto& tally = tallies[key.task.step];
                tally.slow += is_tail_slow(*run, settings) ? 1 : 0;
                ++tally.all;
            }
        }
    }
    return tallies;
}

/// Returns true when the tails of other tasks of the step show whether the worker or the step is at fault.
bool is_comparable(const tail_tally& step) {
    return step.all >= 2 && step.slow * 4 <= step.all * 3;
}

/// A worker's tail latencies that say something about its speed.
struct worker_tails {
    worker_state* worker;
    bool is_slow;
};

/// Returns the workers with new tail latencies that other tasks do not explain. Leaves out the pools in which
/// most workers have slow ones: the pool is slow as a whole.
std::vector<worker_tails> find_tails(const std::vector<worker_state*>& workers,
                                     const std::set<const worker_state*>& unsound,
                                     const worker_speed_settings& settings, time_point now) {
    const auto steps = tally_steps(workers, settings, now);
    std::map<std::string, tail_tally> pools;
    std::vector<worker_tails> found;
    for (auto* worker : workers) {
        const bool is_current = worker->serving_runs > 0 && now - worker->listed_at <= max_list_age;
        if (!is_current || !has_unexplained_tails(*worker, unsound.contains(worker), settings)) {
            continue;
        }
        tail_tally tally;
        for (const auto& [key, run] : worker->runs) {
            if (has_tail(*run) && is_comparable(steps.at(key.task.step))) {
                tally.slow += is_tail_slow(*run, settings) ? 1 : 0;
                ++tally.all;
            }
        }
        if (tally.all > 0) {
            const bool is_slow = tally.slow * 2 > tally.all;
            auto& pool = pools[worker->report.pool];
            pool.slow += is_slow ? 1 : 0;
            ++pool.all;
            found.push_back({worker, is_slow});
        }
    }
    std::erase_if(found, [&](const worker_tails& item) {
        const auto& pool = pools.at(item.worker->report.pool);
        return pool.all < settings.min_pool || pool.slow * 2 > pool.all ||
               item.worker->listed_at <= item.worker->tails_at;
    });
    return found;
}

/// Adds the tail latencies since the last list to the speeds.
void observe_tails(const std::vector<worker_state*>& workers, const std::vector<worker_tails>& tails,
                   const worker_speed_settings& settings, time_point now) {
    for (const auto& [worker, is_slow] : tails) {
        const bool has_before = worker->tails_at != time_point{};
        const auto span = has_before ? to_seconds(worker->listed_at - worker->tails_at) : 0;
        worker->speed.observe_tail(is_slow, std::min(span, max_tail_span_s), settings, now);
    }
    for (auto* worker : workers) {
        worker->tails_at = worker->listed_at;
    }
}

std::map<std::string, double> get_medians(const std::vector<worker_state*>& workers,
                                          const worker_speed_settings& settings, time_point now) {
    std::map<std::string, std::vector<double>> speeds;
    for (const auto* worker : workers) {
        if (worker->counts_for_pool() &&
            worker->speed.get_evidence_s(settings, now) >= settings.min_evidence_s) {
            speeds[worker->report.pool].push_back(worker->speed.get_speed());
        }
    }
    std::map<std::string, double> medians;
    for (auto& [pool, values] : speeds) {
        medians[pool] = get_median_speed(std::move(values), settings);
    }
    return medians;
}

/// What one check did with the tasks on slow workers.
struct slow_worker_moves {
    std::uint64_t ending = 0;       ///< tasks that end, stopped to run elsewhere
    std::uint64_t long_running = 0; ///< long-running tasks that do not meet their target
    std::uint64_t moved = 0;        ///< those that were stopped
    std::uint64_t over_budget = 0;  ///< those that had to stay, since others of their step are away
    std::uint64_t without_room = 0; ///< those that had to stay, since no other worker has room
    std::uint64_t postponed = 0;    ///< those that are left for a later check
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

void log_speed(const worker_state& worker, double median) {
    log_event line(log_level::info, "worker_speed");
    add_worker(line, worker.report.incarnation)
        .add("state", worker.speed.is_slow() ? "slow" : "sound")
        .add("speed", worker.speed.get_speed())
        .add("median", median)
        .add("runs", static_cast<std::uint64_t>(worker.runs.size()));
}

bool is_movable(const run_track& track) {
    return track.stage == run_stage::running && !track.is_ending && !track.is_stop_wanted &&
           !track.get_spec().gang;
}

bool is_served_well(const run_track& track) {
    return track.get_spec().is_serving() && track.level <= track.get_spec().target_ms;
}

/// Returns true when nothing slows the run by intention: its pace is full, and no other task takes the
/// processor time that a filling task uses.
bool is_at_full_speed(const run_track& track) {
    if (!track.get_spec().is_filling) {
        return true;
    }
    const bool is_paced =
        track.pace != full_percent || track.is_pace_pending || !track.is_pace_known || !track.has_known_start;
    return !is_paced && track.host->get_spare_millicores() >= 0;
}

} // namespace

double dispatcher::get_expected_s(const run_track& track) const {
    return static_cast<double>(m_forecast.predict_ms(*track.job, track.get_spec())) / 1000;
}

void dispatcher::observe_progress(run_track& track, std::int64_t percent, bool has_ended, time_point now) {
    if (!m_settings.decisions.move_from_slow || track.get_spec().long_running) {
        return;
    }
    const bool was_at_full_speed = track.was_at_full_speed;
    track.was_at_full_speed = is_at_full_speed(track);
    const bool is_first = track.progress_at == time_point{};
    const bool may_resume = track.key.run > 1 && track.get_spec().checkpointing;
    const bool has_base = !is_first || (track.has_known_start && !may_resume);
    const auto since = is_first ? track.confirmed_at : track.progress_at;
    if (!has_base || !was_at_full_speed || !track.was_at_full_speed || percent < track.progress_percent) {
        track.progress_at = now;
        track.progress_percent = percent;
        return;
    }
    const auto expected_s = get_expected_s(track);
    const auto took_s = to_seconds(now - since);
    const bool has_moved = percent > track.progress_percent && took_s >= min_progress_share * expected_s;
    if (!has_ended && !has_moved && took_s < max_silent_multiple * expected_s) {
        return;
    }
    const auto done = static_cast<double>(percent - track.progress_percent) / full_percent;
    track.host->speed.observe(track.key.task, done * expected_s, took_s, m_speed_settings, now);
    track.progress_at = now;
    track.progress_percent = percent;
}

void dispatcher::check_speeds(time_point now) {
    if (!m_settings.decisions.move_from_slow || now < m_next_speeds) {
        return;
    }
    if (m_next_speeds == time_point{}) {
        m_speeds_since = now;
    }
    m_next_speeds = now + m_speed_settings.check_interval;
    const auto& workers = m_workers.get_all();
    std::set<const worker_state*> unsound;
    for (const auto* worker : workers) {
        if (worker->serving_runs > 0 && is_unsound(*worker)) {
            unsound.insert(worker);
        }
    }
    observe_tails(workers, find_tails(workers, unsound, m_speed_settings, now), m_speed_settings, now);
    auto medians = get_medians(workers, m_speed_settings, now);
    std::vector<worker_state*> slow;
    std::size_t lines = 0;
    for (auto* worker : workers) {
        const auto median = medians[worker->report.pool];
        const bool was_sound = !worker->speed.is_slow() && !worker->speed.is_on_probation();
        if (worker->speed.classify(median, m_speed_settings, now)) {
            m_must_place = m_must_place || !worker->speed.is_slow();
            const bool is_sound = !worker->speed.is_slow() && !worker->speed.is_on_probation();
            if (was_sound != is_sound && ++lines <= max_speed_lines) {
                log_speed(*worker, median);
            }
        }
        if (worker->speed.is_slow() && !worker->is_lost) {
            slow.push_back(worker);
        }
    }
    m_counts.slow_workers = slow.size();
    leave_slow(slow, now);
}

bool dispatcher::should_leave(const run_track& track) const {
    if (track.host == nullptr || !track.host->speed.is_slow()) {
        return false;
    }
    const auto done = static_cast<double>(track.percent) / full_percent;
    return track.host->speed.would_end_sooner_elsewhere(1 - done, track.get_spec().checkpointing ? 0 : done,
                                                        get_expected_s(track), m_speed_settings);
}

bool dispatcher::plan_move(const run_track& track, move_plan& plan, time_point now) {
    const auto& step = track.key.task.step;
    if (plan.refused.contains(step) || plan.searches_left == 0) {
        return false;
    }
    --plan.searches_left;
    ready_step ready;
    ready.job = track.job;
    ready.since = now;
    const auto request = make_request(ready, track.key.task, now);
    const auto need = get_need(*request.spec);
    auto& targets = plan.targets[track.job->queue.pool];
    for (auto target = targets.begin(); target != targets.end(); ++target) {
        const auto* worker = *target;
        const auto& planned = plan.planned[worker];
        auto& filling = plan.filling[worker];
        const bool has_room =
            (worker->get_free() - planned).holds(need) &&
            find_obstacle(*worker, request) == placement_obstacle::none &&
            find_policy_obstacle(*worker, ready, request, now) == placement_obstacle::none &&
            (!request.spec->is_filling ||
             get_room(*worker, request) - filling - planned.millicores >= request.spec->millicores);
        if (has_room) {
            plan.planned[worker] += need;
            filling += request.spec->is_filling ? request.spec->millicores : 0;
            std::rotate(targets.begin(), target, targets.end()); // the next search begins here
            return true;
        }
    }
    plan.refused.insert(step);
    return false;
}

void dispatcher::leave_slow(const std::vector<worker_state*>& slow, time_point now) {
    if (slow.empty()) {
        return;
    }
    move_plan plan;
    plan.searches_left = m_speed_settings.max_searches;
    for (auto* worker : m_workers.get_all()) {
        if (is_usable(*worker, now) && !worker->speed.is_on_probation()) {
            plan.targets[worker->report.pool].push_back(worker);
        }
    }
    const bool may_move_long_running = now - m_speeds_since >= m_speed_settings.takeover_pause;
    slow_worker_moves moves;
    for (auto* worker : slow) {
        if (worker->is_draining || worker->is_silent()) {
            continue;
        }
        for (const auto& [key, run] : worker->runs) {
            auto& track = *run;
            const auto job = m_jobs.find(key.task.step.job);
            if (!is_movable(track) || job == m_jobs.end()) {
                continue;
            }
            if (!track.get_spec().long_running) {
                const auto* task = m_job_state.find_task(key.task);
                const bool has_copy = task == nullptr || task->runs.size() > 1;
                const bool is_copied = track.get_spec().speculative && (has_copy || m_ready.empty());
                if (!is_copied && should_leave(track) && plan_move(track, plan, now)) {
                    ++moves.ending;
                    stop_run(track, now);
                }
                continue;
            }
            if (is_served_well(track) || !disruption_budget::is_at_work(track, now)) {
                continue;
            }
            ++moves.long_running;
            if (!disruption_budget(job->second.runs).may_stop(track, now)) {
                ++moves.over_budget;
            } else if (!may_move_long_running || moves.moved >= m_speed_settings.max_long_running_moves) {
                ++moves.postponed;
            } else if (!plan_move(track, plan, now)) {
                ++moves.without_room;
            } else {
                ++moves.moved;
                stop_run(track, now);
            }
        }
    }
    m_counts.moved_from_slow += moves.ending + moves.moved;
    if (moves.ending + moves.moved > 0 || now >= m_next_speed_log) {
        m_next_speed_log = now + move_log_interval;
        log_moves(moves, slow.size());
    }
}

} // namespace poplarpitch
