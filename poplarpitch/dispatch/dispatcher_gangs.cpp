// Placement of gangs: all members start in one run, or none does.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

// The last attempt of a gang waits for up to this long after the failure before it. Workers that fail all
// that they start do so for 5 to 8 s.
constexpr duration max_last_attempt_wait = seconds{8};
constexpr std::uint64_t ample_room = 2; // in gangs: a job must not stand still beside so much room

/// Returns for how many members like the requested one the workers of a pool have room, up to `limit`.
std::uint64_t count_room(const std::map<std::string, std::vector<worker_state*>>& workers,
                         const std::string& pool, const placement_request& request, std::uint64_t limit) {
    std::uint64_t room = 0;
    if (const auto found = workers.find(pool); found != workers.end()) {
        for (const auto* worker : found->second) {
            room += count_fitting(*worker, request, limit - room);
        }
    }
    return room;
}

} // namespace

bool dispatcher::may_begin_gang(const ready_step& ready, const step_key& key, time_point now) const {
    const auto count = ready.job->steps[key.step].count;
    if (ready.waiting.size() != count) {
        return false; // some members of the previous run of the gang have not ended
    }
    return std::all_of(ready.waiting.begin(), ready.waiting.end(), [&](std::uint32_t index) {
        return m_suspects.may_start({key, index}, now);
    });
}

void dispatcher::place_gang(placing_pass& pass, ready_step& ready, const step_key& key) {
    if (!may_begin_gang(ready, key, pass.now)) {
        return;
    }
    auto requests = make_gang_requests(pass, ready, key);
    const auto own_workers = static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [](const placement_request& request) { return request.wants_own_worker(); }));
    if (own_workers > pass.probations_left) {
        return;
    }
    std::set<std::string> racks;
    if (ready.job->steps[key.step].same_rack) {
        for (const auto* worker : m_workers.get_all()) {
            racks.insert(worker->report.rack);
        }
    }
    // A gang that fits into no single rack is spread over several.
    const bool is_placed =
        std::any_of(racks.begin(), racks.end(),
                    [&](const auto& rack) { return place_members(pass, ready, key, requests, rack); }) ||
        place_members(pass, ready, key, requests, {});
    pass.probations_left -= is_placed ? own_workers : 0;
}

bool dispatcher::place_members(const placing_pass& pass, ready_step& ready, const step_key& key,
                               std::vector<placement_request>& requests, const std::string& rack) {
    const auto run = get_next_gang_run(ready, key);
    auto& job = m_jobs.at(key.job);
    const auto idle_since = job.idle_since;
    const auto idle_time = job.idle_time;
    std::vector<std::pair<run_key, const worker_state*>> placed;
    for (std::uint32_t index = 0; index < requests.size(); ++index) {
        auto& request = requests[index];
        request.rack = rack;
        const auto* chosen = choose(pass, ready, request);
        if (chosen == nullptr) {
            break;
        }
        const run_key member{{key, index}, run};
        add_track(member, ready.job, chosen->report.incarnation, run_stage::committing,
                  request.get_run_isolation(), pass.now)
            .idle_since = ready.since;
        placed.emplace_back(member, chosen);
    }
    if (placed.size() < requests.size()) {
        for (const auto& [member, worker] : placed) {
            drop_track(member);
        }
        job.idle_since = idle_since; // nothing was assigned
        job.idle_time = idle_time;
        return false;
    }
    for (const auto& [member, worker] : placed) {
        propose_assignment(member, *worker);
    }
    ready.waiting.clear();
    return true;
}

std::uint32_t dispatcher::get_next_gang_run(const ready_step& ready, const step_key& key) const {
    std::uint32_t last_run = 0;
    for (const auto index : ready.waiting) {
        const auto* task = m_job_state.find_task({key, index});
        last_run = std::max(last_run, task == nullptr ? 0 : task->last_run);
    }
    return last_run + 1;
}

std::vector<placement_request> dispatcher::make_gang_requests(const placing_pass& pass,
                                                              const ready_step& ready, const step_key& key) {
    const auto& job = m_jobs.at(key.job);
    const bool is_job_starving = is_starving(job, ready.job->queue.pool, pass.now);
    std::vector<placement_request> requests;
    for (const auto index : ready.waiting) {
        requests.push_back(make_request(ready, {key, index}, pass.now));
        if (is_job_starving) {
            accept_less(requests.back(), job, pass.now);
        }
    }
    if (requests.front().is_last_attempt) {
        const bool may_use_doubtful = may_use_doubtful_workers(pass, ready, requests.front());
        for (auto& request : requests) {
            request.is_overdue = may_use_doubtful;
        }
    }
    return requests;
}

/// Load pattern: a gang needs nearly all workers of its pool, and a few of them fail all that they start for
/// seconds. Any member that fails fails the gang, so that with no worker to spare all attempts are used up
/// within a second. A starving job passes over the obstacle where there is ample room, as tasks outside gangs
/// do.
bool dispatcher::may_use_doubtful_workers(const placing_pass& pass, const ready_step& ready,
                                          const placement_request& request) const {
    const auto* failed = m_attempts.find({request.step, 0});
    if (failed == nullptr || pass.now - failed->last >= max_last_attempt_wait) {
        return true;
    }
    const auto& pool = ready.job->queue.pool;
    const auto wanted = ample_room * request.spec->count;
    return request.is_overdue && count_room(pass.usable, pool, request, wanted) +
                                         count_room(pass.set_aside, pool, request, wanted) >=
                                     wanted;
}

} // namespace poplarpitch
