// Finds tasks that wait for long although workers have room, and reports why each worker is ruled out.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>

namespace poplarpitch {
namespace {

constexpr duration waits_interval = seconds{1};
constexpr duration long_wait_threshold =
    seconds{3};                                // a task that finds room has no reason to wait for longer
constexpr std::size_t max_reported_waits = 5;  // per pass; an obstacle for one task usually affects many
constexpr std::size_t max_examined_steps = 20; // per pass; examining 490 workers takes some 20 us

/// Returns the number of workers for each obstacle, as `name:count` separated by commas.
std::string format_counts(const std::array<std::uint64_t, placement_obstacles>& counts) {
    std::string text;
    for (std::size_t number = 0; number < placement_obstacles; ++number) {
        if (counts[number] > 0) {
            text += text.empty() ? "" : ",";
            text += get_obstacle_name(static_cast<placement_obstacle>(number));
            text += ":" + std::to_string(counts[number]);
        }
    }
    return text;
}

} // namespace

std::vector<step_key> dispatcher::rank_by_wait(time_point now) const {
    std::vector<std::tuple<bool, time_point, step_key>> waits;
    for (const auto& [key, ready] : m_ready) {
        if (!ready.waiting.empty() && now - ready.since > long_wait_threshold) {
            waits.emplace_back(!ready.job->steps[key.step].long_running, ready.since, key);
        }
    }
    std::sort(waits.begin(), waits.end());
    waits.resize(std::min(waits.size(), max_examined_steps));
    std::vector<step_key> keys;
    keys.reserve(waits.size());
    for (const auto& wait : waits) {
        keys.push_back(std::get<step_key>(wait));
    }
    return keys;
}

long_wait dispatcher::explain_wait(const step_key& key, time_point now) {
    const auto& ready = m_ready.at(key);
    long_wait wait;
    wait.task = {key, *ready.waiting.begin()};
    wait.waited = now - ready.since;
    wait.waiting = ready.waiting.size();
    const auto request = make_request(ready, wait.task, now);
    for (const auto* worker : m_workers.get_all()) {
        if (worker->report.pool != ready.job->queue.pool) {
            continue;
        }
        ++wait.workers;
        auto obstacle = find_unusable(*worker, now);
        const bool may_use =
            obstacle == placement_obstacle::none || (request.is_overdue && is_last_resort(*worker, now));
        if (may_use) {
            obstacle = find_obstacle(*worker, request);
        }
        if (obstacle == placement_obstacle::none) {
            obstacle = find_policy_obstacle(*worker, ready, request, now);
        }
        ++wait.passed_over[static_cast<std::size_t>(obstacle)];
        const bool stays = obstacle != placement_obstacle::unknown && obstacle != placement_obstacle::leaving;
        const bool has_room = get_room(*worker, request) >= request.spec->millicores &&
                              worker->get_free().holds(get_need(*request.spec));
        if (stays && has_room) {
            ++wait.with_room;
            ++wait.with_room_by_obstacle[static_cast<std::size_t>(obstacle)];
        }
        if (stays && obstacle != placement_obstacle::silent) {
            const auto free = worker->get_free().millicores;
            wait.free_millicores += free;
            wait.most_free_millicores = std::max(wait.most_free_millicores, free);
        }
    }
    return wait;
}

std::vector<long_wait> dispatcher::find_long_waits(time_point now) {
    std::vector<long_wait> found;
    for (const auto& key : rank_by_wait(now)) {
        auto wait = explain_wait(key, now);
        if (wait.with_room > 0) {
            found.push_back(wait);
        }
        if (found.size() == max_reported_waits) {
            break;
        }
    }
    return found;
}

void dispatcher::report_waits(time_point now) {
    if (now < m_next_waits) {
        return;
    }
    m_next_waits = now + waits_interval;
    for (const auto& wait : find_long_waits(now)) {
        const auto& spec = m_ready.at(wait.task.step).job->steps[wait.task.step.step];
        const bool is_paused = !m_suspects.may_start(wait.task, now);
        log_event(log_level::warn, "task_waits")
            .add("job", format_job_id(wait.task.step.job))
            .add("occurrence", static_cast<std::uint64_t>(wait.task.step.occurrence))
            .add("step", static_cast<std::uint64_t>(wait.task.step.step))
            .add("task", static_cast<std::uint64_t>(wait.task.index))
            .add("waited_ms", to_milliseconds(wait.waited))
            .add("waiting", wait.waiting)
            .add("millicores", spec.millicores)
            .add("memory_mb", spec.memory_mb)
            .add("lasts", spec.long_running ? "yes" : "no")
            .add("isolation", get_isolation_name(m_suspects.get_isolation(wait.task)))
            .add("paused", is_paused ? "yes" : "no")
            .add("workers", wait.workers)
            .add("with_room", wait.with_room)
            .add("passed_over", format_counts(wait.passed_over))
            .add("with_room_by", format_counts(wait.with_room_by_obstacle))
            .add("free_millicores", wait.free_millicores)
            .add("most_free_millicores", wait.most_free_millicores);
    }
}

} // namespace poplarpitch
