#include "unit_tests/platform/run_record.h"

#include "poplarpitch/core/system_clock.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>

namespace poplarpitch {

void run_record::add_history_line(task_record& record, const std::string& what) {
    record.history.push_back(
        absl::StrCat(absl::FormatTime("%H:%M:%E3S", absl::Now(), absl::UTCTimeZone()), " ", what));
}

void run_record::add_start(const std::string& task, std::uint32_t run, const std::string& worker) {
    const absl::MutexLock lock(&m_mutex);
    auto& record = m_tasks[task];
    const bool is_overlap = record.running > 0;
    bool is_after_done = false;
    for (auto& [ended, end] : record.done_ends) {
        is_after_done = is_after_done || end.is_acknowledged;
        ++end.starts_since;
    }
    m_concurrent_starts += is_overlap ? 1 : 0;
    m_starts_after_done += is_after_done ? 1 : 0;
    record.has_violation = record.has_violation || is_overlap || is_after_done;
    ++record.running;
    ++record.starts;
    m_intervals.push_back({task, run, worker, system_clock().now(), std::nullopt});
    add_history_line(record, absl::StrCat("run ", run, " starts on ", worker,
                                          is_overlap ? " CONCURRENTLY WITH ANOTHER RUN" : "",
                                          is_after_done ? " AFTER AN ACKNOWLEDGED END" : ""));
}

void run_record::add_concurrent_start(const std::string& task, std::uint32_t run, const std::string& worker) {
    const absl::MutexLock lock(&m_mutex);
    auto& record = m_tasks[task];
    ++m_concurrent_starts;
    record.has_violation = true;
    add_history_line(record,
                     absl::StrCat("run ", run, " was asked for on ", worker, " WHERE ANOTHER RUN IS ACTIVE"));
}

void run_record::add_end(const std::string& task, std::uint32_t run, const std::string& worker,
                         const std::string& outcome) {
    const absl::MutexLock lock(&m_mutex);
    auto& record = m_tasks[task];
    --record.running;
    const auto interval =
        std::find_if(m_intervals.rbegin(), m_intervals.rend(), [&](const run_interval& item) {
            return !item.end.has_value() && item.task == task && item.run == run && item.worker == worker;
        });
    if (interval != m_intervals.rend()) {
        interval->end = system_clock().now();
    }
    if (outcome == "done") {
        ++record.done;
        record.done_ends[run] = {};
    }
    add_history_line(record, absl::StrCat("run ", run, " ends on ", worker, " as ", outcome));
}

void run_record::add_acknowledged_end(const std::string& task, std::uint32_t run) {
    const absl::MutexLock lock(&m_mutex);
    auto& record = m_tasks[task];
    const auto end = record.done_ends.find(run);
    if (end == record.done_ends.end() || end->second.is_acknowledged) {
        return;
    }
    end->second.is_acknowledged = true;
    const int starts = end->second.starts_since;
    m_starts_after_done += starts;
    record.has_violation = record.has_violation || starts > 0;
    add_history_line(record, absl::StrCat("run ", run, " is acknowledged as done",
                                          starts > 0 ? " AFTER ANOTHER START" : ""));
}

void run_record::add_lapsed_end(const std::string& task, std::uint32_t run) {
    const absl::MutexLock lock(&m_mutex);
    auto& record = m_tasks[task];
    const auto end = record.done_ends.find(run);
    if (end != record.done_ends.end() && !end->second.is_acknowledged) {
        record.done_ends.erase(end);
        add_history_line(
            record,
            absl::StrCat("run ", run, " is disregarded: the lease lapsed before its end was acknowledged"));
    }
}

void run_record::add_note(const std::string& task, const std::string& what) {
    const absl::MutexLock lock(&m_mutex);
    add_history_line(m_tasks[task], what);
}

int run_record::get_concurrent_start_count() const {
    const absl::MutexLock lock(&m_mutex);
    return m_concurrent_starts;
}

int run_record::get_starts_after_done() const {
    const absl::MutexLock lock(&m_mutex);
    return m_starts_after_done;
}

int run_record::get_running_count() const {
    const absl::MutexLock lock(&m_mutex);
    int sum = 0;
    for (const auto& [task, record] : m_tasks) {
        sum += record.running;
    }
    return sum;
}

std::map<std::string, int> run_record::get_done_counts() const {
    const absl::MutexLock lock(&m_mutex);
    std::map<std::string, int> counts;
    for (const auto& [task, record] : m_tasks) {
        if (record.done > 0) {
            counts[task] = record.done;
        }
    }
    return counts;
}

std::map<std::string, int> run_record::get_start_counts() const {
    const absl::MutexLock lock(&m_mutex);
    std::map<std::string, int> counts;
    for (const auto& [task, record] : m_tasks) {
        if (record.starts > 0) {
            counts[task] = record.starts;
        }
    }
    return counts;
}

std::vector<run_interval> run_record::get_intervals() const {
    const absl::MutexLock lock(&m_mutex);
    return m_intervals;
}

std::string run_record::describe(const std::string& prefix) const {
    const absl::MutexLock lock(&m_mutex);
    std::string text;
    for (const auto& [task, record] : m_tasks) {
        if (!record.has_violation && !task.starts_with(prefix)) {
            continue;
        }
        for (const auto& line : record.history) {
            absl::StrAppend(&text, task, " ", line, "\n");
        }
    }
    return text;
}

} // namespace poplarpitch
