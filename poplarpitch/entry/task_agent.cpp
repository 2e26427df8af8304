#include "poplarpitch/entry/task_agent.h"

#include "poplarpitch/policy/eviction_candidate.h"
#include "poplarpitch/state/amounts_codec.h"

#include <algorithm>
#include <set>

namespace poplarpitch {
namespace {

bool is_being_stopped(const task_phase phase) {
    return phase == task_phase::stopping || phase == task_phase::evicting || phase == task_phase::withdrawing;
}

bool needs_stop_call(const owned_task& task) {
    return task.phase == task_phase::stopping ||
           (task.phase == task_phase::withdrawing && !task.is_stop_answered);
}

} // namespace

task_agent::task_agent(owned_fleet& fleet, const task_agent_settings& settings)
    : m_fleet(fleet), m_settings(settings) {}

// ---- updates from control

void task_agent::apply_jobs(const wire::renew_answer& answer, time_point now) {
    if (answer.owned_changed()) {
        const std::set<std::string> ids(answer.job_ids().begin(), answer.job_ids().end());
        for (auto& [id, worker] : m_fleet.get_workers()) {
            for (auto item = worker.tasks.begin(); item != worker.tasks.end();) {
                if (ids.contains(item->first)) {
                    ++item;
                    continue;
                }
                m_fleet.end_task(worker, item->second);
                item = worker.tasks.erase(item);
            }
        }
    }
    for (const auto& job : answer.jobs()) {
        if (auto* worker = m_fleet.find(job.worker())) {
            apply_job(*worker, job, now);
        }
    }
}

void task_agent::apply_job(owned_worker& worker, const wire::job& job, time_point now) {
    auto& task = worker.tasks[job.id()];
    const bool is_new = task.job.empty() || task.attempt != job.attempt();
    if (is_new) {
        m_fleet.end_task(worker, task);
        task = owned_task{};
        task.job = job.id();
        task.attempt = job.attempt();
        task.tenant = job.tenant();
        task.batch = job.batch();
        task.payload = job.payload();
        task.checkpoint = job.checkpoint();
        task.declared = decode(job.need());
        task.reserved = decode(job.reserved());
        task.run_time = milliseconds{job.run_time_ms()};
        task.is_idempotent = job.idempotent();
        task.is_urgent = job.urgent();
        task.evictions = static_cast<int>(job.evictions());
        task.incarnation = job.worker_incarnation();
        task.since = now;
        const bool is_own = job.state() == wire::job_assigned && job.epoch() == worker.epoch;
        task.phase = is_own ? task_phase::to_start : task_phase::unconfirmed;
        if (!is_own) {
            // The task may be running there, so it is charged to the ledger from now on, whether it fits or
            // not.
            m_fleet.adopt_task(worker, task);
        }
    }
    task.is_running_in_log = job.state() == wire::job_running;
    task.is_lost_in_log = job.lost(); // a start that is committed after the loss ends the wait for the lease
    if (job.cancel_requested() && !is_being_stopped(task.phase) && task.phase != task_phase::ended) {
        task.phase = task_phase::stopping;
        task.since = {};
    } else if (job.evict_requested() && task.phase == task_phase::running) {
        task.phase = task_phase::evicting;
        task.since = {};
        ++m_evictions;
    }
}

// ---- calls to workers

std::vector<task_action> task_agent::get_actions(time_point now) {
    auto actions = std::exchange(m_orphan_stops, {});
    for (auto& [id, worker] : m_fleet.get_workers()) {
        if (worker.is_silent || !worker.ledger.is_open()) {
            continue;
        }
        relieve(worker, now);
        const bool is_pressed = worker.relief.get_level() >= relief_level::throttle;
        for (auto& [job, task] : worker.tasks) {
            task_action action;
            action.worker = id;
            action.address = worker.address;
            action.epoch = worker.epoch;
            const bool is_due = now - task.since >= m_settings.resend_after || task.since == time_point{};
            if (task.phase == task_phase::to_start && !worker.is_leaving) {
                if (!m_fleet.start_task(worker, task)) {
                    continue;
                }
                task.phase = task_phase::starting;
                action.verb = task_verb::start;
            } else if (task.phase == task_phase::starting && is_due) {
                task.has_unanswered_start = true; // the previous call may still be unanswered
                action.verb = task_verb::start;
            } else if (needs_stop_call(task) && is_due) {
                action.verb = task_verb::stop;
            } else if (task.phase == task_phase::evicting && is_due) {
                action.verb = task_verb::evict;
            } else if (task.phase == task_phase::running && task.is_throttled != is_pressed &&
                       !task.is_urgent) {
                action.verb = is_pressed ? task_verb::throttle : task_verb::unthrottle;
                task.is_throttled = is_pressed;
            } else {
                continue;
            }
            task.since = now;
            action.task = task;
            actions.push_back(std::move(action));
        }
    }
    return actions;
}

double task_agent::get_latency_growth(owned_worker& worker, const owned_task& task) {
    const auto capacity = std::max<std::int64_t>(worker.ledger.get_capacity().millicores, 1);
    const double share = static_cast<double>(task.reserved.millicores) / static_cast<double>(capacity);
    auto& models = m_fleet.get_models();
    const auto batch = models.batches.get(task.batch);
    double growth = 0;
    for (const auto& row : worker.rows) {
        growth = std::max(growth, models.interference.get_coefficient(row.service, batch) * share);
    }
    return growth;
}

void task_agent::relieve(owned_worker& worker, time_point now) {
    worker.relief.update(worker.slowdown, now);
    const bool is_leaving = worker.is_leaving; // its idempotent tasks move regardless of load
    if (!worker.relief.is_eviction_due(now) && !is_leaving) {
        return;
    }
    std::vector<eviction_candidate> candidates;
    std::vector<owned_task*> tasks;
    for (auto& [job, task] : worker.tasks) {
        if (task.phase != task_phase::running) {
            continue;
        }
        const bool is_movable = task.is_idempotent && !task.is_urgent;
        candidates.push_back(
            {get_latency_growth(worker, task), task.uncheckpointed_work, task.evictions, is_movable});
        tasks.push_back(&task);
    }
    const auto evict = [&](owned_task& task) {
        task.phase = task_phase::evicting;
        task.since = {};
        ++m_evictions;
    };
    if (is_leaving) {
        for (auto* task : tasks) {
            if (task->is_idempotent) {
                evict(*task);
            }
        }
        return;
    }
    const auto picked = pick_eviction(candidates);
    if (picked.has_value() && m_budget.try_take(now)) {
        evict(*tasks[*picked]);
        worker.relief.on_evicted(now);
    }
}

} // namespace poplarpitch
