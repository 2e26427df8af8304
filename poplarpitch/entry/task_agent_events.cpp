// The part of task_agent that converts reports of workers, and their silence, into events for the log.
#include "poplarpitch/entry/task_agent.h"

#include <algorithm>

namespace poplarpitch {
namespace {

wire::usage_sample make_usage_sample(const owned_task& task, const task_report& report) {
    wire::usage_sample sample;
    sample.set_tenant(task.tenant);
    sample.set_batch(task.batch);
    sample.set_millicores_ratio(report.cores_ratio);
    sample.set_memory_ratio(report.memory_ratio);
    sample.set_run_time_ratio(report.time_ratio);
    return sample;
}

wire::command make_mark(const owned_worker& worker) {
    wire::command command;
    auto& mark = *command.mutable_mark();
    mark.set_worker(worker.id);
    mark.set_epoch(worker.epoch);
    mark.set_silent(worker.is_silent);
    return command;
}

} // namespace

wire::command task_agent::make_event(const owned_task& task, const std::string& worker,
                                     wire::job_event_kind kind, const std::string& detail,
                                     std::int64_t wall_ms) {
    wire::command command;
    auto& event = *command.mutable_event();
    event.set_job(task.job);
    event.set_attempt(task.attempt);
    event.set_kind(kind);
    event.set_detail(detail);
    event.set_worker(worker);
    event.set_at_ms(wall_ms);
    return command;
}

wire::command task_agent::make_refused_event(const owned_task& task, const std::string& worker,
                                             std::int64_t wall_ms) {
    return make_event(task, worker, wire::event_refused, "the worker refused it", wall_ms);
}

wire::command task_agent::make_crash_event(const owned_task& task, const std::string& worker,
                                           std::int64_t wall_ms) {
    auto command = make_event(task, worker, wire::event_lost, "its worker was restarted", wall_ms);
    command.mutable_event()->set_crashed(true);
    return command;
}

/// Control may lack a mark, because its commit failed, or hold one that was committed after the worker was
/// heard again.
bool task_agent::is_mark_due(const owned_worker& worker, time_point now) const {
    return worker.is_silent != worker.is_silent_in_log &&
           (worker.marked == time_point{} || now - worker.marked >= m_settings.resend_after);
}

std::vector<wire::command> task_agent::get_events(time_point now, duration silence, std::int64_t wall_ms) {
    std::vector<wire::command> events;
    for (auto& [id, worker] : m_fleet.get_workers()) {
        if (!worker.is_silent && now - worker.last_heard > silence) {
            // From now on no lease is renewed. Only after that may others rely on the leases expiring.
            worker.is_silent = true;
            worker.marked = {};
            worker.ledger.set_open(false);
            m_fleet.refresh(worker, now);
        }
        if (is_mark_due(worker, now)) {
            worker.marked = now;
            events.push_back(make_mark(worker));
        }
        for (auto& [job, task] : worker.tasks) {
            const bool is_due = now - task.since >= m_settings.resend_after;
            const bool is_overdue = worker.is_leaving || now - task.since > m_settings.capacity_wait;
            if (task.phase == task_phase::to_start && is_overdue) {
                // Its start was never sent, so it is returned to control and must not be sent any more.
                const auto* reason = worker.is_silent ? "its worker is silent" : "no room on the worker";
                events.push_back(make_event(task, id, wire::event_refused, reason, wall_ms));
                task.phase = task_phase::ended;
                task.since = now;
            } else if (task.phase == task_phase::ended && is_due) {
                // The event was not committed.
                events.push_back(make_event(task, id, wire::event_refused, "it was not started", wall_ms));
                task.since = now;
            } else if (worker.is_silent && task.phase != task_phase::ended && !task.is_lost_in_log &&
                       is_due) {
                events.push_back(make_event(task, id, wire::event_lost, "its worker is silent", wall_ms));
                task.since = now;
            }
        }
    }
    return events;
}

std::vector<wire::command> task_agent::on_start_answered(const task_action& action, start_result answer,
                                                         time_point now, std::int64_t wall_ms) {
    auto* worker = m_fleet.find(action.worker);
    if (worker == nullptr || worker->epoch != action.epoch) {
        return {};
    }
    const auto found = worker->tasks.find(action.task.job);
    if (found == worker->tasks.end() || found->second.attempt != action.task.attempt) {
        return {};
    }
    auto& task = found->second;
    if (answer == start_result::unknown) {
        task.has_unanswered_start = true;
        return {}; // stays in phase `starting` and is sent again
    }
    if (answer == start_result::stale_epoch && task.has_unanswered_start) {
        return {};
    }
    if (answer == start_result::other_process && task.has_unanswered_start) {
        return {make_crash_event(task, action.worker, wall_ms)};
    }
    if (answer == start_result::refused && task.has_unanswered_start) {
        withdraw(task);
        return {};
    }
    if (answer != start_result::started) {
        m_fleet.end_task(*worker, task);
        task.phase = task_phase::ended;
        task.since = now;
        return {make_refused_event(task, action.worker, wall_ms)};
    }
    if (task.phase == task_phase::starting) {
        task.phase = task_phase::running;
        task.since = now;
    }
    return {make_event(task, action.worker, wire::event_started, "", wall_ms)};
}

void task_agent::withdraw(owned_task& task) {
    const bool is_cancelled = task.phase == task_phase::stopping;
    // A task that must run at most once may have begun, and a stop would interrupt it. Its start is therefore
    // sent again until the worker accepts it.
    const bool may_stop = task.phase == task_phase::starting && task.is_idempotent;
    if (is_cancelled || may_stop) {
        task.phase = task_phase::withdrawing;
        task.since = {};
    }
}

void task_agent::on_stop_answered(const task_action& action) {
    auto* worker = m_fleet.find(action.worker);
    if (worker == nullptr || worker->epoch != action.epoch) {
        return;
    }
    const auto found = worker->tasks.find(action.task.job);
    if (found == worker->tasks.end() || found->second.attempt != action.task.attempt) {
        return;
    }
    auto& task = found->second;
    if (task.phase == task_phase::withdrawing && !task.is_stop_answered) {
        task.is_stop_answered = true;
        task.stop_sequence = worker->sequence + 1; // one announcement may already be in transit
    }
}

std::vector<task_agent::reported_event> task_agent::on_announced(const announcement& message, time_point now,
                                                                 std::int64_t wall_ms) {
    std::vector<reported_event> events;
    auto* worker = m_fleet.find(message.id);
    if (worker == nullptr) {
        return events;
    }
    for (const auto& running : message.tasks) {
        const auto found = worker->tasks.find(running.job);
        if (found != worker->tasks.end() && found->second.attempt == running.attempt) {
            found->second.uncheckpointed_work = running.uncheckpointed_work;
        } else if (message.epoch == worker->epoch) {
            // The log has superseded this run of the job, so its result is not needed.
            task_action stop;
            stop.verb = task_verb::stop;
            stop.worker = worker->id;
            stop.address = worker->address;
            stop.epoch = worker->epoch;
            stop.task.job = running.job;
            stop.task.attempt = running.attempt;
            m_orphan_stops.push_back(std::move(stop));
        }
    }
    for (const auto& report : message.reports) {
        owned_task task; // the log identifies the task by job and attempt; it may be unknown here
        task.job = report.job;
        task.attempt = report.attempt;
        const auto found = worker->tasks.find(report.job);
        if (found != worker->tasks.end() && found->second.attempt == report.attempt) {
            task = found->second;
        }
        auto kind = wire::event_checkpointed;
        if (report.kind == "finished") {
            kind = wire::event_finished;
        } else if (report.kind == "failed") {
            kind = wire::event_failed;
        } else if (report.kind == "evicted") {
            kind = wire::event_evicted;
        } else if (report.kind == "stopped") {
            kind = wire::event_stopped;
        }
        reported_event event{report.number, make_event(task, message.id, kind, report.detail, wall_ms)};
        event.command.mutable_event()->set_checkpoint(report.checkpoint);
        events.push_back(std::move(event));
        if (kind == wire::event_finished && !task.batch.empty()) {
            m_usage.push_back(make_usage_sample(task, report));
        }
    }
    const bool is_newest = message.sequence == worker->sequence; // a late list lacks what was started since
    if (message.is_complete && message.epoch == worker->epoch && is_newest) {
        check_unlisted_tasks(*worker, message, now, wall_ms, events);
    }
    return events;
}

void task_agent::check_unlisted_tasks(owned_worker& worker, const announcement& message, time_point now,
                                      std::int64_t wall_ms, std::vector<reported_event>& events) {
    const auto is_listed = [&](const owned_task& task) {
        return std::any_of(message.tasks.begin(), message.tasks.end(), [&](const running_task& running) {
            return running.job == task.job && running.attempt == task.attempt;
        });
    };
    const auto is_reported = [&](const owned_task& task) {
        return std::any_of(message.reports.begin(), message.reports.end(), [&](const task_report& report) {
            return report.job == task.job && report.attempt == task.attempt && report.kind != "checkpointed";
        });
    };
    for (auto& [job, task] : worker.tasks) {
        if (task.phase == task_phase::to_start || task.phase == task_phase::starting ||
            task.phase == task_phase::ended || is_reported(task)) {
            continue;
        }
        if (is_listed(task)) {
            if (task.phase == task_phase::unconfirmed) {
                events.push_back({0, make_event(task, message.id, wire::event_started, "", wall_ms)});
            }
            continue;
        }
        const bool is_same_process = task.incarnation == message.incarnation;
        if (task.phase == task_phase::withdrawing && is_same_process && !task.is_running_in_log) {
            if (task.is_stop_answered && message.sequence > task.stop_sequence) {
                events.push_back({0, make_refused_event(task, message.id, wall_ms)});
            }
            continue;
        }
        // Its start was answered, so it ran. A list that was made before the start lacks it.
        const bool is_started = task.phase == task_phase::running || task.phase == task_phase::evicting;
        const bool is_seen_nowhere = !task.is_running_in_log && is_same_process && !is_started;
        if (is_seen_nowhere && task.has_unanswered_start && task.phase == task_phase::unconfirmed &&
            task.is_idempotent) {
            task.phase = task_phase::withdrawing; // its start may still be executed
            task.since = {};
        } else if (is_seen_nowhere && !task.has_unanswered_start) {
            // Assigned under an older epoch, which the worker now refuses, and never started there.
            events.push_back({0, make_event(task, message.id, wire::event_absent, "", wall_ms)});
        } else if (!is_same_process || now - task.since > m_settings.missing_task_wait) {
            events.push_back({0, is_same_process ? make_event(task, message.id, wire::event_lost,
                                                              "its worker does not know it", wall_ms)
                                                 : make_crash_event(task, message.id, wall_ms)});
        }
    }
}

void task_agent::on_event_committed(const std::string& worker, const wire::job_event& event) {
    auto* owner = m_fleet.find(worker);
    if (owner == nullptr) {
        return;
    }
    const auto found = owner->tasks.find(event.job());
    if (found == owner->tasks.end() || found->second.attempt != event.attempt()) {
        return;
    }
    switch (event.kind()) {
    case wire::event_finished:
    case wire::event_failed:
    case wire::event_evicted:
    case wire::event_stopped:
    case wire::event_refused:
    case wire::event_absent:
        m_fleet.end_task(*owner, found->second);
        owner->tasks.erase(found);
        break;
    case wire::event_lost:
        // It keeps its reservation until its lease has expired and control removes it from the list.
        found->second.is_lost_in_log = true;
        break;
    case wire::event_started:
        found->second.is_running_in_log = true;
        found->second.is_lost_in_log = false;
        if (found->second.phase == task_phase::unconfirmed) {
            found->second.phase = task_phase::running;
        }
        break;
    default:
        break;
    }
}

bool task_agent::may_renew_leases(const owned_worker& worker) const {
    return !worker.is_silent && std::none_of(worker.tasks.begin(), worker.tasks.end(), [](const auto& item) {
        const auto& task = item.second;
        return task.phase == task_phase::unconfirmed ||
               (task.phase == task_phase::withdrawing && task.is_possibly_lost);
    });
}

bool task_agent::needs_complete_list(const owned_worker& worker) {
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto& item) {
        return item.second.phase == task_phase::withdrawing && item.second.is_stop_answered;
    });
}

void task_agent::end_silence(owned_worker& worker, time_point now) {
    worker.is_silent = false;
    worker.is_silent_in_log = false; // its registration has removed the mark
    worker.marked = now;
    worker.last_heard = now;
    worker.ledger.set_open(false);
    for (auto& [job, task] : worker.tasks) {
        if (task.phase != task_phase::to_start && task.phase != task_phase::ended) {
            m_fleet.adopt_task(worker, task);
            if (task.phase == task_phase::starting) {
                task.has_unanswered_start = true; // the list may be older than the start's arrival
            }
            if (task.phase != task_phase::withdrawing) {
                task.phase = task_phase::unconfirmed;
            }
            task.is_possibly_lost = true;
            task.since = now;
        }
    }
    m_fleet.refresh(worker, now);
}

std::vector<wire::usage_sample> task_agent::take_usage() {
    return std::exchange(m_usage, {});
}

void task_agent::return_usage(const std::vector<wire::usage_sample>& samples) {
    constexpr std::size_t max_samples = 1000; // the newest suffice after a long loss of control
    m_usage.insert(m_usage.end(), samples.begin(), samples.end());
    if (m_usage.size() > max_samples) {
        m_usage.erase(m_usage.begin(), m_usage.end() - max_samples);
    }
}

} // namespace poplarpitch
