// Finds tasks that neither run, nor wait for a worker or a time, nor have ended. Each of them is a fault of
// the leader.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration audit_interval = seconds{1};
constexpr duration list_timeout = seconds{3};    // lists arrive at least once a second
constexpr duration commit_timeout = seconds{10}; // a disk may stall for seconds
constexpr std::size_t max_lines = 20;            // per audit; a single fault usually affects many tasks

/// Returns why a run makes no progress, or nothing.
std::optional<stuck_reason> find_stuck_reason(const run_track& track, time_point now) {
    if (track.is_ending) {
        const bool is_late = now - track.ending_since > commit_timeout;
        return is_late ? std::optional{stuck_reason::end_not_committed} : std::nullopt;
    }
    const bool has_lists_without =
        track.stage == run_stage::running && track.host->listed_at - track.listed_at > list_timeout;
    return has_lists_without ? std::optional{stuck_reason::not_listed} : std::nullopt;
}

} // namespace

void dispatcher::find_stuck_tasks(const job_record& record, const step_key& key,
                                  std::vector<stuck_task>& stuck) const {
    const auto* step = record.find_step(key.occurrence, key.step);
    const auto ready = m_ready.find(key);
    for (std::uint32_t index = 0; step != nullptr && index < step->tasks.size(); ++index) {
        const auto& task = step->tasks[index];
        const bool is_queued = ready != m_ready.end() && ready->second.waiting.contains(index);
        if (task.phase == task_phase::waiting && !is_queued &&
            find_track({{key, index}, task.last_run + 1}) == nullptr) { // not assigned to a worker either
            stuck.push_back({{{key, index}, 0}, stuck_reason::not_queued});
        }
        for (const auto& run : task.runs) {
            if (find_track({{key, index}, run.run}) == nullptr) {
                stuck.push_back({{{key, index}, run.run}, stuck_reason::not_tracked});
            }
        }
    }
}

std::vector<stuck_task> dispatcher::find_stuck(time_point now) const {
    std::vector<stuck_task> stuck;
    for (const auto& [key, track] : m_tracks) {
        if (const auto reason = find_stuck_reason(track, now); reason.has_value()) {
            stuck.push_back({key, *reason});
        }
    }
    for (const auto& [id, job] : m_jobs) {
        const auto& record = *m_job_state.find_job(id);
        for (const auto& [number, occurrence] : record.occurrences) {
            const bool has_begun = !record.job->schedule.has_value() || job.due.contains(number);
            for (std::uint32_t step = 0; has_begun && step < occurrence.steps.size(); ++step) {
                if (record.may_begin(number, step)) {
                    find_stuck_tasks(record, {id, number, step}, stuck);
                }
            }
        }
    }
    std::sort(stuck.begin(), stuck.end()); // the maps' iteration order differs between processes
    return stuck;
}

void dispatcher::audit(time_point now) {
    if (now < m_next_audit) {
        return;
    }
    m_next_audit = now + audit_interval;
    const auto stuck = find_stuck(now);
    m_counts.stuck_tasks = stuck.size();
    for (std::size_t number = 0; number < std::min(stuck.size(), max_lines); ++number) {
        auto line = log_event(log_level::error, "task_stuck");
        add_run(line, stuck[number].run);
        line.add("reason", get_stuck_name(stuck[number].reason));
        const auto* track = find_track(stuck[number].run);
        if (track != nullptr) {
            add_worker(line, track->host->report.incarnation);
        }
        line.add("stuck", static_cast<std::uint64_t>(stuck.size()));
    }
}

} // namespace poplarpitch
