#pragma once

#include "poplarpitch/scheduling/task_key.h"

#include <algorithm>

namespace poplarpitch {

/// Returns the job that a step or a task belongs to. Thread safety: any thread.
[[nodiscard]] inline job_id get_job(const step_key& key) {
    return key.job;
}
[[nodiscard]] inline job_id get_job(const task_key& key) {
    return key.step.job;
}

/// Erases all entries of one job from an ordered map of steps or tasks. Precondition: `first` is the smallest
/// key of the job. Thread safety: none.
template <class Map>
void erase_job(Map& map, const typename Map::key_type& first) {
    const auto begin = map.lower_bound(first);
    const auto end = std::find_if_not(
        begin, map.end(), [&first](const auto& item) { return get_job(item.first) == get_job(first); });
    map.erase(begin, end);
}

} // namespace poplarpitch
