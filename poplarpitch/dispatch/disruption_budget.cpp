#include "poplarpitch/dispatch/disruption_budget.h"

#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <set>

namespace poplarpitch {
namespace {

constexpr std::int64_t started_percent =
    100; // progress of a long-running task that has completed its startup
constexpr duration max_list_age = seconds{2}; // holds return a list each second

} // namespace

bool disruption_budget::is_at_work(const run_track& track, time_point now) {
    const bool is_running = track.stage == run_stage::running && !track.is_ending && !track.is_stop_wanted;
    const bool is_known = track.host != nullptr && !track.host->is_lost && !track.host->is_silent() &&
                          now - track.listed_at <= max_list_age;
    return is_running && is_known && track.percent >= started_percent;
}

std::uint32_t disruption_budget::count_others_away(const run_track& track, time_point now) const {
    const auto& step = track.key.task.step;
    std::set<std::uint32_t> at_work;
    for (auto run = m_runs.lower_bound(run_key{{step, 0}, 0}); run != m_runs.end(); ++run) {
        const auto& task = run->first.task;
        if (task.step != step) {
            break;
        }
        if (task.index != track.key.task.index && is_at_work(*run->second, now)) {
            at_work.insert(task.index);
        }
    }
    return track.get_spec().count - 1 - static_cast<std::uint32_t>(at_work.size());
}

bool disruption_budget::may_stop(const run_track& track, time_point now) const {
    const auto limit = track.get_spec().max_unavailable.value_or(0);
    return limit > 0 && count_others_away(track, now) < limit;
}

} // namespace poplarpitch
