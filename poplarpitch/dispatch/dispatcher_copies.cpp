// Copies: second runs of slow tasks whose callers allow them.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/age_at_loss.h"
#include "poplarpitch/dispatch/copy_need.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration copy_interval = milliseconds{200}; // workers send a list every 350 ms to 1 s
// A run that was older than this when its worker stopped answering is unlikely to have caused that.
constexpr duration suspicious_age = seconds{1};
constexpr std::size_t max_copies = 1; // in addition to the first run

} // namespace

bool dispatcher::may_copy(const run_track& track, time_point now) const {
    const auto& spec = track.get_spec();
    const bool allows_copies = spec.speculative && !spec.gang && !spec.long_running;
    if (!allows_copies || track.stage != run_stage::running || track.is_ending || track.is_stop_wanted) {
        return false;
    }
    // A second run of a task that crashed its worker would crash another one before the first loss is known.
    const bool may_crash = m_suspects.get_isolation(track.key.task) != isolation_level::none ||
                           (track.host->hold_failures > 0 && get_age_at_loss(track, now) <= suspicious_age);
    const auto* task = m_job_state.find_task(track.key.task);
    return !may_crash && task != nullptr && task->runs.size() <= max_copies &&
           (should_leave(track) || needs_copy({now - track.confirmed_at, track.percent, spec.estimate_ms}));
}

/// Starts copies only while no task waits, since a copy discards the work of the slower run.
void dispatcher::start_copies(time_point now) {
    if (now < m_next_copies || !m_ready.empty()) {
        return;
    }
    m_next_copies = now + copy_interval;
    std::vector<run_key> slow;
    for (const auto& [key, track] : m_tracks) {
        if (may_copy(track, now)) {
            slow.push_back(key);
        }
    }
    if (slow.empty()) {
        return;
    }
    std::sort(slow.begin(), slow.end()); // the map's iteration order differs between processes
    const auto pass = begin_pass(now);
    for (const auto& key : slow) {
        start_copy(pass, *find(key));
    }
}

void dispatcher::start_copy(const placing_pass& pass, const run_track& slow) {
    ready_step ready;
    ready.job = slow.job;
    ready.since = pass.now;
    auto request = make_request(ready, slow.key.task, pass.now);
    request.excluded = slow.host->report.incarnation;
    auto* worker = choose(pass, ready, request);
    if (worker == nullptr) {
        return;
    }
    {
        auto line = log_event(log_level::info, "copy_started");
        add_run(line, slow.key);
        line.add("slow_worker", slow.host->report.incarnation.id);
        add_worker(line, worker->report.incarnation)
            .add("percent", slow.percent)
            .add("age_ms", to_milliseconds(pass.now - slow.confirmed_at))
            .add("estimate_ms", slow.get_spec().estimate_ms);
    }
    ++m_counts.copies;
    assign_task(ready, slow.key.task, *worker, request.get_run_isolation(), pass.now);
}

} // namespace poplarpitch
