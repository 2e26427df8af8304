// Finds tasks that wait for long although workers have room, and reports why each worker is ruled out. Finds
// jobs that stand still, whether workers have room or not.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>

namespace poplarpitch {
namespace {

constexpr duration waits_interval = seconds{1};
constexpr duration long_wait_threshold =
    seconds{3};                                  // a task that finds room has no reason to wait for longer
constexpr std::size_t max_reported_waits = 5;    // per pass; an obstacle for one task usually affects many
constexpr std::size_t max_examined_steps = 20;   // per pass; examining 490 workers takes some 20 us
constexpr duration still_threshold = seconds{3}; // users allow no more while most of the room is free
constexpr std::size_t max_still_jobs = 5;        // per pass

held_run_state get_held_run_state(const run_track& track) {
    if (track.is_ending) {
        return held_run_state::ending;
    }
    switch (track.stage) {
    case run_stage::committing:
        return held_run_state::committing;
    case run_stage::adopting:
        return held_run_state::adopting;
    case run_stage::starting:
        return held_run_state::starting;
    case run_stage::running:
        return held_run_state::running;
    }
    return held_run_state::running;
}

/// Returns the counts that are not zero as `name:count`, separated by commas. `get_name` returns the name of
/// an enumerator, whose value is its index in `counts`.
template <class Enum, std::size_t Size>
std::string format_counts(const std::array<std::uint64_t, Size>& counts, const char* (*get_name)(Enum)) {
    std::string text;
    for (std::size_t number = 0; number < Size; ++number) {
        if (counts[number] > 0) {
            text += text.empty() ? "" : ",";
            text += get_name(static_cast<Enum>(number));
            text += ":" + std::to_string(counts[number]);
        }
    }
    return text;
}

void add_activity(log_event& line, const job_activity& activity) {
    line.add("starving", get_starving_name(activity.starving))
        .add("job_runs", format_counts(activity.runs, get_held_run_state_name))
        .add("still_ms", to_milliseconds(activity.still))
        .add("pool_core_percent", activity.pool_core_percent)
        .add("pool_memory_percent", activity.pool_memory_percent);
}

std::int64_t get_percent(std::int64_t part, std::int64_t whole) {
    constexpr std::int64_t hundred = 100;
    return whole > 0 ? hundred * part / whole : 0;
}

} // namespace

std::vector<step_key> dispatcher::rank_by_wait(time_point now) const {
    std::vector<std::tuple<bool, time_point, step_key>> waits;
    for (const auto& [key, ready] : m_ready) {
        const bool is_open = m_jobs.contains(key.job);
        if (is_open && !ready.waiting.empty() && now - ready.since > long_wait_threshold) {
            waits.emplace_back(!ready.job->steps[key.step].long_running, ready.since, key);
        }
    }
    std::sort(waits.begin(), waits.end());
    waits.resize(std::min(waits.size(), max_examined_steps));
    std::vector<step_key> keys;
    keys.reserve(waits.size());
    for (const auto& wait : waits) {
        keys.push_back(std::get<step_key>(wait));
    }
    return keys;
}

long_wait dispatcher::explain_wait(const step_key& key, time_point now) {
    const auto& ready = m_ready.at(key);
    long_wait wait;
    wait.task = {key, *ready.waiting.begin()};
    wait.waited = now - ready.since;
    wait.waiting = ready.waiting.size();
    const auto request = make_request(ready, wait.task, now);
    for (const auto* worker : m_workers.get_all()) {
        if (worker->report.pool != ready.job->queue.pool) {
            continue;
        }
        ++wait.workers;
        auto obstacle = find_unusable(*worker, now);
        const bool may_use =
            obstacle == placement_obstacle::none || (request.is_overdue && is_last_resort(*worker, now));
        if (may_use) {
            obstacle = find_obstacle(*worker, request);
        }
        if (obstacle == placement_obstacle::none) {
            obstacle = find_policy_obstacle(*worker, ready, request, now);
        }
        ++wait.passed_over[static_cast<std::size_t>(obstacle)];
        const bool stays = obstacle != placement_obstacle::unknown && obstacle != placement_obstacle::leaving;
        const bool has_room = get_room(*worker, request) >= request.spec->millicores &&
                              worker->get_free().holds(get_need(*request.spec));
        if (stays && has_room) {
            ++wait.with_room;
            ++wait.with_room_by_obstacle[static_cast<std::size_t>(obstacle)];
        }
        if (stays && obstacle != placement_obstacle::silent) {
            const auto free = worker->get_free().millicores;
            wait.free_millicores += free;
            wait.most_free_millicores = std::max(wait.most_free_millicores, free);
        }
    }
    return wait;
}

std::vector<long_wait> dispatcher::find_long_waits(time_point now) {
    std::vector<long_wait> found;
    for (const auto& key : rank_by_wait(now)) {
        auto wait = explain_wait(key, now);
        if (wait.with_room > 0) {
            wait.job = examine_job(key.job, m_ready.at(key).job->queue.pool, now);
            found.push_back(wait);
        }
        if (found.size() == max_reported_waits) {
            break;
        }
    }
    return found;
}

void dispatcher::report_waits(time_point now) {
    if (now < m_next_waits) {
        return;
    }
    m_next_waits = now + waits_interval;
    for (const auto& wait : find_long_waits(now)) {
        const auto& spec = m_ready.at(wait.task.step).job->steps[wait.task.step.step];
        const bool is_paused = !m_suspects.may_start(wait.task, now);
        auto line = log_event(log_level::warn, "task_waits");
        line.add("job", format_job_id(wait.task.step.job))
            .add("occurrence", static_cast<std::uint64_t>(wait.task.step.occurrence))
            .add("step", static_cast<std::uint64_t>(wait.task.step.step))
            .add("task", static_cast<std::uint64_t>(wait.task.index))
            .add("waited_ms", to_milliseconds(wait.waited))
            .add("waiting", wait.waiting)
            .add("millicores", spec.millicores)
            .add("memory_mb", spec.memory_mb)
            .add("lasts", spec.long_running ? "yes" : "no")
            .add("isolation", get_isolation_name(m_suspects.get_isolation(wait.task)))
            .add("paused", is_paused ? "yes" : "no")
            .add("workers", wait.workers)
            .add("with_room", wait.with_room)
            .add("passed_over", format_counts(wait.passed_over, get_obstacle_name))
            .add("with_room_by", format_counts(wait.with_room_by_obstacle, get_obstacle_name))
            .add("free_millicores", wait.free_millicores)
            .add("most_free_millicores", wait.most_free_millicores);
        add_activity(line, wait.job);
    }
    report_still_jobs(now);
}

// ---- jobs that stand still

time_point dispatcher::get_still_since(job_id id, const open_job& job) const {
    const auto since = get_last_work(job);
    if (!job.runs.empty()) {
        return since;
    }
    auto turn = time_point::max();
    for (auto found = m_ready.lower_bound(step_key{id, 0, 0});
         found != m_ready.end() && found->first.job == id; ++found) {
        turn = std::min(turn, found->second.since);
    }
    return std::max(since, turn);
}

std::uint64_t dispatcher::count_waiting_tasks(job_id id) const {
    std::uint64_t waiting = 0;
    for (auto found = m_ready.lower_bound(step_key{id, 0, 0});
         found != m_ready.end() && found->first.job == id; ++found) {
        waiting += found->second.waiting.size();
    }
    return waiting;
}

job_activity dispatcher::examine_job(job_id id, const std::string& pool, time_point now) const {
    const auto& job = m_jobs.at(id);
    job_activity activity;
    for (const auto& [key, track] : job.runs) {
        ++activity.runs[static_cast<std::size_t>(get_held_run_state(*track))];
    }
    activity.still = now - get_still_since(id, job);
    activity.starving = is_starving(job, pool, now)         ? starving_state::starving
                        : !job.runs.empty()                 ? starving_state::has_runs
                        : !m_underused_pools.contains(pool) ? starving_state::pool_in_use
                                                            : starving_state::too_early;
    worker_amounts capacity;
    worker_amounts reserved;
    for (const auto* worker : m_workers.get_all()) {
        if (worker->counts_for_pool() && worker->report.pool == pool) {
            capacity += worker->get_pool_capacity();
            reserved += worker->reserved;
        }
    }
    activity.pool_core_percent = get_percent(reserved.millicores, capacity.millicores);
    activity.pool_memory_percent = get_percent(reserved.memory_mb, capacity.memory_mb);
    return activity;
}

std::vector<still_job> dispatcher::find_still_jobs(time_point now) const {
    std::vector<std::tuple<bool, time_point, job_id>> ranked;
    for (const auto& [id, job] : m_jobs) {
        const auto since = get_still_since(id, job);
        const auto* record = m_job_state.find_job(id);
        if (record != nullptr && since < now - still_threshold) {
            ranked.emplace_back(!m_underused_pools.contains(record->job->queue.pool), since, id);
        }
    }
    const auto count = std::min(ranked.size(), max_still_jobs);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<still_job> found;
    for (std::size_t number = 0; number < count; ++number) {
        const auto id = std::get<job_id>(ranked[number]);
        const auto& pool = m_job_state.find_job(id)->job->queue.pool;
        found.push_back({id, count_waiting_tasks(id), examine_job(id, pool, now)});
    }
    return found;
}

void dispatcher::report_still_jobs(time_point now) {
    for (const auto& still : find_still_jobs(now)) {
        auto line = log_event(log_level::warn, "job_stands_still");
        line.add("job", format_job_id(still.job)).add("waiting", still.waiting);
        add_activity(line, still.activity);
    }
}

} // namespace poplarpitch
