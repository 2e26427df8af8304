#include "poplarpitch/stand_in/task_simulator.h"

#include "poplarpitch/stand_in/run_record.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration checkpoint_every = seconds{1};
constexpr double throttle_factor = 0.5;

} // namespace

task_simulator::task_simulator(const stand_in_settings& settings, std::string worker, double time_factor,
                               run_record& record)
    : m_settings(settings), m_worker(std::move(worker)), m_time_factor(time_factor), m_record(record) {}

std::string task_simulator::make_attempt_id(const std::string& job, std::uint64_t attempt) {
    return absl::StrCat(job, "#", attempt);
}

bool task_simulator::has_seen(const std::string& attempt_id) const {
    return m_tasks.contains(attempt_id) || m_ended.contains(attempt_id);
}

void task_simulator::start(simulated_task&& task, time_point now) {
    const auto attempt_id = make_attempt_id(task.job, task.attempt);
    task.updated = now;
    m_record.write("task-start", m_worker, attempt_id, task.batch);
    m_tasks.emplace(attempt_id, std::move(task));
}

bool task_simulator::apply_verb(const std::string& attempt_id, const std::string& verb, time_point now,
                                duration task_lease) {
    const auto found = m_tasks.find(attempt_id);
    if (found == m_tasks.end()) {
        if (!m_ended.contains(attempt_id) && verb == "stop") {
            m_ended[attempt_id] = 0; // never started on this worker; a start that arrives later is ignored
        }
        return true;
    }
    auto& task = found->second;
    if (verb == "throttle" || verb == "unthrottle") {
        task.is_throttled = verb == "throttle";
    } else if (verb == "checkpoint") {
        task.saved = task.done;
    } else if (verb == "evict") {
        task.saved = task.done;
        end(attempt_id, "evicted", "");
    } else if (verb == "stop") {
        end(attempt_id, "stopped", "");
    } else if (verb == "renew") {
        task.lease_end = std::max(task.lease_end, now + task_lease);
    } else {
        return false;
    }
    return true;
}

void task_simulator::end(const std::string& attempt_id, const std::string& kind, const std::string& detail) {
    const auto found = m_tasks.find(attempt_id);
    const auto& task = found->second;
    m_record.write("task-" + kind, m_worker, attempt_id, task.batch);
    task_report report;
    report.number = ++m_last_report;
    report.job = task.job;
    report.attempt = task.attempt;
    report.kind = kind;
    report.detail = detail;
    report.checkpoint = absl::StrCat(to_milliseconds(task.saved));
    if (task.declared_millicores > 0) {
        report.cores_ratio =
            static_cast<double>(get_used_millicores(task)) / static_cast<double>(task.declared_millicores);
    }
    if (task.declared.count() > 0) {
        report.time_ratio = to_seconds(task.total) / to_seconds(task.declared);
    }
    m_reports.push_back(report);
    m_ended[attempt_id] = report.number;
    m_tasks.erase(found);
}

void task_simulator::advance(time_point now, bool is_failing) {
    std::vector<std::string> finished;
    std::vector<std::string> failed;
    std::vector<std::string> expired;
    for (auto& [attempt_id, task] : m_tasks) {
        const double speed =
            m_settings.task_speed / m_time_factor * (task.is_throttled ? throttle_factor : 1);
        task.done +=
            duration{static_cast<std::int64_t>(static_cast<double>((now - task.updated).count()) * speed)};
        task.updated = now;
        if (task.done - task.saved >= checkpoint_every) {
            task.saved = task.done;
        }
        if (now >= task.lease_end) {
            expired.push_back(attempt_id);
        } else if (is_failing || (task.done >= task.total / 2 && absl::StrContains(task.payload, "fail"))) {
            failed.push_back(attempt_id);
        } else if (task.done >= task.total) {
            finished.push_back(attempt_id);
        }
    }
    for (const auto& attempt_id : expired) {
        // The lease was not renewed. The task stops without a report, because the owner must not rely on one.
        m_record.write("task-expired", m_worker, attempt_id, "");
        m_ended[attempt_id] = 0;
        m_tasks.erase(attempt_id);
    }
    for (const auto& attempt_id : failed) {
        end(attempt_id, "failed", "it was made to fail");
    }
    for (const auto& attempt_id : finished) {
        end(attempt_id, "finished", "ok");
    }
}

void task_simulator::renew(time_point lease_end) {
    for (auto& [attempt_id, task] : m_tasks) {
        task.lease_end = std::max(task.lease_end, lease_end);
    }
}

void task_simulator::acknowledge(const std::vector<std::uint64_t>& numbers) {
    std::erase_if(m_reports, [&](const task_report& report) {
        const bool is_known = std::find(numbers.begin(), numbers.end(), report.number) != numbers.end();
        if (is_known) {
            m_record.write("report-known", m_worker, make_attempt_id(report.job, report.attempt),
                           report.kind);
        }
        return is_known;
    });
}

std::vector<running_task> task_simulator::list_running() const {
    std::vector<running_task> running;
    running.reserve(m_tasks.size());
    for (const auto& [attempt_id, task] : m_tasks) {
        running.push_back({task.job, task.attempt, task.done - task.saved});
    }
    return running;
}

resources task_simulator::get_reserved() const {
    resources reserved;
    for (const auto& [attempt_id, task] : m_tasks) {
        reserved += task.reserved;
    }
    return reserved;
}

std::int64_t task_simulator::get_used_millicores(const simulated_task& task) const {
    const auto noise = m_settings.noise.find(task.batch);
    const bool is_as_declared = noise == m_settings.noise.end() || noise->second.millicores == 0;
    return is_as_declared ? task.declared_millicores : noise->second.millicores;
}

double task_simulator::get_growth() const {
    double growth = 0;
    for (const auto& [attempt_id, task] : m_tasks) {
        const auto noise = m_settings.noise.find(task.batch);
        if (noise == m_settings.noise.end()) {
            continue;
        }
        const double share = static_cast<double>(get_used_millicores(task)) /
                             static_cast<double>(m_settings.capacity.millicores);
        growth += noise->second.growth * share * (task.is_throttled ? throttle_factor : 1);
    }
    return growth;
}

} // namespace poplarpitch
