#include "unit_tests/dispatch/idle_job_watch.h"

#include "poplarpitch/dispatch/placement.h"

#include <algorithm>
#include <set>

namespace poplarpitch {
namespace {

constexpr duration idle_bound = seconds{3};         // for which a job may be idle
constexpr duration calm_before = seconds{4};        // without disruptions, before those 3 s
constexpr duration long_running_bound = seconds{6}; // from the last run, for long-running tasks
constexpr duration look_interval = milliseconds{1500};
constexpr std::size_t idle_looks_bound = 3; // looks in a row, which span 3 s
constexpr std::size_t enough_room = 2;      // tasks of its size that must fit
constexpr double busy_share = 0.5;          // of the capacity; from there on a job may wait

double get_share(std::int64_t used, std::int64_t capacity) {
    return capacity == 0 ? 0 : static_cast<double>(used) / static_cast<double>(capacity);
}

} // namespace

std::string describe(const idle_job& item) {
    const std::string kind = item.finding == idle_finding::continuous ? "had nothing running"
                                                                      : "had nothing running at three looks";
    return "job " + std::to_string(item.step.job) + ", step " + std::to_string(item.step.step) + " " + kind +
           " for " + std::to_string(to_milliseconds(item.found_at - item.since)) + " ms until " +
           std::to_string(to_milliseconds(item.found_at.time_since_epoch())) + " ms, " +
           std::to_string(to_milliseconds(std::max(item.found_at - item.disrupted_at, duration{0}))) +
           " ms after the last disruption, with " + std::to_string(static_cast<int>(item.used_share * 100)) +
           "% of the capacity in use";
}

void idle_job_watch::measure(const std::vector<watched_worker>& workers) {
    m_free.clear();
    worker_amounts capacity;
    worker_amounts used;
    for (const auto& worker : workers) {
        if (!worker.is_up || !worker.is_sound || worker.report->is_draining) {
            continue;
        }
        free_worker item{worker.report, worker.report->capacity, {}};
        capacity += worker.report->capacity;
        for (const auto& run : worker.runs) {
            const auto need = get_need(*run.spec);
            item.free -= need;
            used += need;
            ++item.step_counts[run.task.step];
        }
        m_free.push_back(std::move(item));
    }
    m_used_share = std::max({get_share(used.millicores, capacity.millicores),
                             get_share(used.memory_mb, capacity.memory_mb),
                             get_share(used.accelerators, capacity.accelerators)});
}

bool idle_job_watch::has_room(const due_step& item) const {
    const auto& spec = *item.spec;
    const auto wanted = enough_room * (spec.gang ? spec.count : 1);
    std::size_t room = 0;
    for (const auto& worker : m_free) {
        if (!spec.required_label.empty() && !worker.report->has_label(spec.required_label)) {
            continue;
        }
        const auto count = worker.step_counts.find(item.step);
        const std::size_t of_step = count == worker.step_counts.end() ? 0 : count->second;
        room += count_fitting_tasks(spec, worker.free, of_step, wanted - room);
        if (room == wanted) {
            return true;
        }
    }
    return false;
}

void idle_job_watch::observe(const std::vector<watched_worker>& workers, const std::vector<due_step>& due,
                             time_point now) {
    m_now = now;
    measure(workers);
    std::set<job_id> running;
    for (const auto& worker : workers) {
        if (worker.is_up) {
            for (const auto& run : worker.runs) {
                running.insert(run.task.step.job);
            }
        }
    }
    const bool is_look = now >= m_next_look;
    if (is_look) {
        m_next_look += look_interval;
    }
    std::set<job_id> idle;
    std::set<job_id> open;
    for (const auto& item : due) {
        const auto job = item.step.job;
        open.insert(job);
        auto& wait = m_waits.try_emplace(job, job_wait{now, item.step}).first->second;
        if (running.contains(job)) {
            wait.last_run = now;
            continue;
        }
        const bool is_allowed = item.spec->long_running && now - wait.last_run <= long_running_bound;
        if (m_used_share < busy_share && !is_allowed && has_room(item) && idle.insert(job).second) {
            wait.step = item.step;
        }
    }
    m_idle_count = idle.size();
    std::erase_if(m_waits, [&open](const auto& item) { return !open.contains(item.first); });
    for (auto& [job, wait] : m_waits) {
        judge(wait, idle.contains(job), is_look, now);
    }
}

void idle_job_watch::judge(job_wait& wait, bool is_idle, bool is_look, time_point now) {
    if (!is_idle) {
        wait.idle_since.reset();
        wait.is_reported = false;
    } else if (!wait.idle_since.has_value()) {
        wait.idle_since = now;
    }
    if (is_look) {
        wait.first_idle_look = wait.idle_looks == 0 ? now : wait.first_idle_look;
        wait.idle_looks = is_idle ? wait.idle_looks + 1 : 0;
        wait.is_reported_by_looks = wait.is_reported_by_looks && is_idle;
    }
    if (!is_idle) {
        return;
    }
    auto since = *wait.idle_since;
    if (m_disrupted_at.has_value()) {
        since = std::max(since, *m_disrupted_at + calm_before);
    }
    if (!wait.is_reported && now - since > idle_bound) {
        wait.is_reported = true;
        m_found.push_back(make_finding(idle_finding::continuous, wait));
    }
    const bool is_idle_by_looks = is_look && wait.idle_looks >= idle_looks_bound;
    if (is_idle_by_looks && !wait.is_reported_by_looks && is_calm_since(now - idle_bound - calm_before)) {
        wait.is_reported_by_looks = true;
        m_found.push_back(make_finding(idle_finding::looks, wait));
    }
}

bool idle_job_watch::is_calm_since(time_point since) const {
    return !m_disrupted_at.has_value() || *m_disrupted_at <= since;
}

idle_job idle_job_watch::make_finding(idle_finding finding, const job_wait& wait) const {
    const auto since = finding == idle_finding::continuous ? *wait.idle_since : wait.first_idle_look;
    return {finding, wait.step, since, m_now, m_disrupted_at.value_or(time_point{}), m_used_share};
}

std::vector<idle_job> idle_job_watch::find_idle() const {
    std::vector<idle_job> found;
    for (const auto& [job, wait] : m_waits) {
        if (wait.idle_since.has_value() && m_now - *wait.idle_since > idle_bound) {
            found.push_back(make_finding(idle_finding::continuous, wait));
        } else if (wait.idle_looks >= idle_looks_bound) {
            found.push_back(make_finding(idle_finding::looks, wait));
        }
    }
    return found;
}

} // namespace poplarpitch
