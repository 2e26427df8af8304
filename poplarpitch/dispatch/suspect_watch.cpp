#include "poplarpitch/dispatch/suspect_watch.h"

#include "poplarpitch/dispatch/erase_job.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::uint32_t alone_after = 2;            // crashes; the task is given up after one more
constexpr duration retry_pause = milliseconds{500}; // before a task that must run alone is started again
// Together with the pause it stays below the 3 s for which a job may have nothing running while there is free
// room.
constexpr duration max_alone_wait = milliseconds{2000};

constexpr std::size_t probation_part =
    20; // one in this many workers may be reserved for a suspect, and always at least one

} // namespace

std::size_t get_max_probations(std::size_t workers) {
    return std::max<std::size_t>(workers / probation_part, 1);
}

void suspect_watch::record_crashes(const task_key& task, std::uint32_t crashes, time_point now) {
    if (crashes == 0) {
        forget(task);
        return;
    }
    m_suspects[task] = {crashes, now};
}

void suspect_watch::forget_job(job_id job) {
    erase_job(m_suspects, task_key{{job, 0, 0}, 0});
}

isolation_level suspect_watch::get_isolation(const task_key& task) const {
    const auto found = m_suspects.find(task);
    if (found == m_suspects.end()) {
        return isolation_level::none;
    }
    return found->second.crashes < alone_after ? isolation_level::apart : isolation_level::alone;
}

bool suspect_watch::has_any(const step_key& step) const {
    const auto found = m_suspects.lower_bound({step, 0});
    return found != m_suspects.end() && found->first.step == step;
}

bool suspect_watch::may_start(const task_key& task, time_point now) const {
    const auto found = m_suspects.find(task);
    const bool is_paused = found != m_suspects.end() && found->second.crashes >= alone_after;
    return !is_paused || now >= found->second.recorded_at + retry_pause;
}

bool suspect_watch::may_wait(const task_key& task, time_point now) const {
    const auto found = m_suspects.find(task);
    return found != m_suspects.end() && now < found->second.recorded_at + max_alone_wait;
}

} // namespace poplarpitch
