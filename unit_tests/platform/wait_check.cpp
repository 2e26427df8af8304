#include "unit_tests/platform/wait_check.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr int room_twice_over = 2; // tasks

} // namespace

wait_check::wait_check(std::vector<run_interval> runs, int slots, time_point calm_since, time_point now)
    : m_runs(std::move(runs)), m_calm_since(calm_since), m_now(now) {
    std::vector<std::pair<time_point, int>> changes;
    for (const auto& run : m_runs) {
        changes.emplace_back(run.start, -1);
        if (run.end.has_value()) {
            changes.emplace_back(*run.end, 1);
        }
    }
    std::sort(changes.begin(), changes.end());
    m_free_slots.emplace_back(time_point{}, slots);
    for (const auto& [when, change] : changes) {
        m_free_slots.emplace_back(when, m_free_slots.back().second + change);
    }
}

std::vector<wait_check::gap> wait_check::get_gaps(const std::string& task, time_point due) const {
    std::vector<gap> gaps;
    gap current{due, m_now, false};
    for (const auto& run : m_runs) {
        if (run.task != task) {
            continue;
        }
        current.until = run.start;
        gaps.push_back(current);
        current = {std::max(current.from, run.end.value_or(m_now)), m_now, true};
    }
    gaps.push_back(current);
    return gaps;
}

duration wait_check::get_longest_time_with_room(time_point from, time_point until) const {
    duration longest{0};
    auto room_since = from;
    for (std::size_t index = 0; index < m_free_slots.size(); ++index) {
        const auto& [begin, free] = m_free_slots[index];
        const auto end = index + 1 < m_free_slots.size() ? m_free_slots[index + 1].first : until;
        if (free < room_twice_over) {
            room_since = std::max(room_since, end);
        } else if (begin < until) {
            longest = std::max(longest, std::min(end, until) - room_since);
        }
    }
    return longest;
}

duration wait_check::get_longest_wait(const std::string& task, time_point due) const {
    duration longest{0};
    for (const auto& item : get_gaps(task, due)) {
        const auto restart_due = item.is_after_run ? item.from + time_to_restart : item.from;
        const auto counts_from = std::max(restart_due, m_calm_since + calm_before);
        if (counts_from < item.until) {
            longest = std::max(longest, get_longest_time_with_room(counts_from, item.until));
        }
    }
    return longest;
}

duration wait_check::get_gap_after(const std::string& task, time_point moment) const {
    for (const auto& item : get_gaps(task, moment)) {
        if (item.until > moment) {
            return item.until - item.from;
        }
    }
    return duration{0};
}

} // namespace poplarpitch
