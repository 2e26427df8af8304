#include "unit_tests/dispatch/long_running_watch.h"

#include "poplarpitch/dispatch/erase_job.h"
#include "poplarpitch/dispatch/placement.h"

#include <algorithm>
#include <set>

namespace poplarpitch {
namespace {

constexpr duration restart_bound = seconds{6}; // from the end of a task's last run
constexpr duration stall_bound = seconds{3};   // for which a task may stand still although there is room
constexpr duration calm_before = seconds{4};   // without disruptions, before those 3 s
constexpr std::size_t enough_room = 2;         // tasks of its size that must fit

std::size_t count_room_on(const watched_worker& worker, const step_key& step, const step_spec& spec,
                          std::size_t most) {
    const bool has_label = spec.required_label.empty() || worker.report->has_label(spec.required_label);
    if (!worker.is_up || !worker.is_sound || worker.report->is_draining || !has_label) {
        return 0;
    }
    auto free = worker.report->capacity;
    std::size_t of_step = 0;
    for (const auto& run : worker.runs) {
        free -= get_need(*run.spec);
        of_step += run.task.step == step ? 1 : 0;
    }
    return count_fitting_tasks(spec, free, of_step, most);
}

} // namespace

std::size_t count_fitting_tasks(const step_spec& spec, worker_amounts free, std::size_t of_step,
                                std::size_t most) {
    const auto need = get_need(spec);
    std::size_t room = 0;
    while (room < most && free.holds(need) &&
           (spec.max_per_worker == 0 || of_step + room < spec.max_per_worker)) {
        free -= need;
        ++room;
    }
    return room;
}

std::size_t count_room(const step_key& step, const step_spec& spec,
                       const std::vector<watched_worker>& workers, std::size_t most) {
    std::size_t room = 0;
    for (const auto& worker : workers) {
        room += count_room_on(worker, step, spec, most - room);
        if (room == most) {
            break;
        }
    }
    return room;
}

std::string describe(const stalled_task& item) {
    const auto since_disruption = to_milliseconds(item.last_run + item.waited - item.disrupted_at);
    const auto since_room = to_milliseconds(item.last_run + item.waited - item.room_since);
    return "task " + std::to_string(item.task.index) + " of job " + std::to_string(item.task.step.job) +
           " did not run for " + std::to_string(to_milliseconds(item.waited)) + " ms, with room for " +
           std::to_string(since_room) + " ms, " + std::to_string(since_disruption) +
           " ms after the last disruption";
}

void long_running_watch::add_task(const task_key& task, const step_spec& spec, time_point now) {
    auto& state = m_tasks[task];
    state.spec = &spec;
    state.last_run = now;
}

void long_running_watch::remove_job(job_id job) {
    erase_job(m_tasks, task_key{{job, 0, 0}, 0});
}

void long_running_watch::observe(const std::vector<watched_worker>& workers, time_point now) {
    std::set<task_key> running;
    for (const auto& worker : workers) {
        if (!worker.is_up) {
            continue;
        }
        for (const auto& run : worker.runs) {
            if (run.spec->long_running) {
                running.insert(run.task);
            }
        }
    }
    for (auto& [task, state] : m_tasks) {
        if (running.contains(task)) {
            state.last_run = now;
            state.room_since.reset();
            state.report.reset();
        } else {
            judge(task, state, workers, now);
        }
    }
}

void long_running_watch::judge(const task_key& task, watched_task& state,
                               const std::vector<watched_worker>& workers, time_point now) {
    const bool has_room = count_room(task.step, *state.spec, workers, enough_room) == enough_room;
    if (state.report.has_value()) {
        state.had_room_since = state.had_room_since && has_room;
        if (state.had_room_since) {
            m_stalled[*state.report].waited = now - state.last_run;
        }
        return;
    }
    if (!has_room) {
        state.room_since.reset();
        return;
    }
    state.room_since = state.room_since.value_or(now);
    auto stalls_since = std::max(*state.room_since, state.last_run + restart_bound);
    if (m_disrupted_at.has_value()) {
        stalls_since = std::max(stalls_since, *m_disrupted_at + calm_before);
    }
    if (now - stalls_since <= stall_bound) {
        return;
    }
    state.report = m_stalled.size();
    state.had_room_since = true;
    m_stalled.push_back({task, state.last_run, *state.room_since, m_disrupted_at.value_or(time_point{}),
                         now - state.last_run});
}

} // namespace poplarpitch
