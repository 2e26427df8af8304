// Placement: decides which waiting task goes to which worker.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/pass_interval.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace poplarpitch {
namespace {

constexpr std::int64_t priority_weight_ms = 10'000'000; // a better priority outranks any deadline
constexpr double demand_smoothing_s = 8;       // time constant; longer than bursts, which last 4 to 6 s
constexpr double peak_factor = 1.5;            // multiple of the smoothed demand, which varies by 50%
constexpr double min_non_serving_share = 0.05; // of all processor time, before any demand is known
constexpr duration max_serving_wait = milliseconds{
    1800}; // maximum wait of a serving task before it may take a worker that is kept free for short tasks
constexpr std::int64_t retry_bonus_ms =
    4000; // a failed task holds up a job in which work has already been invested
constexpr std::int64_t started_bonus_ms = 3000; // subtracted from the slack of a job that has started; it
                                                // outranks new jobs whose slack is smaller by up to this
constexpr std::int64_t long_running_bonus_ms =
    100'000; // long-running tasks that have waited outrank all others of their priority except those of
             // starving jobs
constexpr std::int64_t starving_bonus_ms =
    4'000'000; // a starving job outranks all others of its priority; with its idle time, which is added up to
               // this, it stays below the weight of a priority
// A job starves when none of its tasks has run for this long although less than half of its pool is reserved.
// The requirement is at most 3 s; this limit is half of that.
constexpr duration starving_after = milliseconds{1500};
// A starving job's task looks for the room that it requests for this long before it accepts less, since it
// slows the tasks that it then runs beside. A job that has been idle for longer than the maximum in all is
// one of a backlog: the ordinary order has no room for it.
constexpr duration crowding_delay = milliseconds{300};
constexpr duration max_idle_time = seconds{3};
// A run that has not begun after this time is not expected to begin: a start is given up after 0.9 s.
constexpr duration max_start_time = seconds{1};
constexpr std::int64_t long_running_rank_ms = 2000; // a long-running task has no deadline; among others of
                                                    // its priority, it ranks like a task with this slack
constexpr duration max_long_running_wait = milliseconds{
    1800}; // a long-running task for which there is room must start within 3 s; it is urgent after this wait
constexpr std::int64_t late_penalty_ms = 1'000'000; // a late job ranks behind all that are not late
constexpr std::int64_t late_multiple =
    3; // a job expected to take longer than this multiple of its objective ranks last

/// Returns true when the run works as far as known, or is about to begin.
bool may_be_at_work(const run_track& run, time_point now) {
    const bool has_begun = run.confirmed_at != time_point{};
    const bool may_begin = now - run.assigned_at <= max_start_time;
    return !run.is_ending && (has_begun ? !run.host->is_silent() : may_begin);
}

/// Returns the work of one task, given its length.
double get_core_seconds(const step_spec& spec, std::int64_t length_ms) {
    constexpr double millicores_by_ms = 1e6; // in a core-second
    return static_cast<double>(spec.millicores) * static_cast<double>(length_ms) / millicores_by_ms;
}

/// Returns true for a step whose tasks, where they wait, wait for room and nothing else.
bool may_be_corrected(const step_job& job, const step_key& key) {
    return !job.steps[key.step].gang && !job.queue.advice.has_value();
}

/// Returns 0 for a job that can meet its objective, 1 for one that will be late, 2 for one past the late
/// limit.
int get_lateness(std::int64_t allowed_ms, std::int64_t age_ms, std::int64_t remaining_ms) {
    if (age_ms + remaining_ms <= allowed_ms) {
        return 0;
    }
    return age_ms + remaining_ms > late_multiple * allowed_ms ? 2 : 1;
}

/// Ranks by least slack. A job that can no longer meet its objective ranks behind those that still can. Load
/// pattern: a burst has 2.6 times the usual load for several seconds. With ranking by deadline alone, every
/// job that arrives after the burst is late.
std::int64_t rank_by_time(std::int64_t allowed_ms, std::int64_t age_ms, std::int64_t remaining_ms) {
    return get_lateness(allowed_ms, age_ms, remaining_ms) * late_penalty_ms + allowed_ms - age_ms -
           remaining_ms;
}

} // namespace

std::vector<std::pair<std::int64_t, step_key>> dispatcher::rank_ready(time_point now) {
    std::vector<std::pair<std::int64_t, step_key>> ranked;
    std::vector<fair_share::waiting_step> shared;
    ranked.reserve(m_ready.size());
    for (const auto& [key, ready] : m_ready) {
        const auto job = m_jobs.find(key.job);
        if (ready.waiting.empty() || job == m_jobs.end()) {
            continue;
        }
        const auto& queue = ready.job->queue;
        if (ready.job->steps[key.step].long_running) {
            // It has no deadline; one that has waited goes first, and of these the one that waited longest.
            const auto waited = now - ready.since;
            const auto bonus =
                long_running_bonus_ms + std::min(to_milliseconds(waited), long_running_bonus_ms);
            ranked.emplace_back(queue.priority * priority_weight_ms +
                                    (waited > max_long_running_wait ? -bonus : long_running_rank_ms),
                                key);
            continue;
        }
        if (is_starving(job->second, queue.pool, now)) {
            // The one that has been idle for longest goes first, so that all take turns where room is short.
            const auto idle =
                std::min(to_milliseconds(now - get_idle_since(job->second, now)), starving_bonus_ms);
            ranked.emplace_back(queue.priority * priority_weight_ms - starving_bonus_ms - idle, key);
            continue;
        }
        const auto due = job->second.due.find(key.occurrence);
        const auto since = due == job->second.due.end() ? job->second.accepted : due->second;
        const auto age = to_milliseconds(now - since);
        ranked.emplace_back(
            queue.priority * priority_weight_ms + rank_by_time(ready.objective_ms, age, ready.remaining_ms) -
                (job->second.has_started ? started_bonus_ms : 0) -
                (m_attempts.find(task_key{key, *ready.waiting.begin()}) != nullptr ? retry_bonus_ms : 0),
            key);
        if (m_settings.decisions.fair_shares && may_be_corrected(*ready.job, key)) {
            const auto& spec = ready.job->steps[key.step];
            shared.push_back({ranked.back().first,
                              key,
                              get_lateness(ready.objective_ms, age, ready.remaining_ms),
                              {queue.pool, queue.priority, spec.is_filling},
                              {queue.name, ready.job->caller_data_centre},
                              ready.waiting.size(),
                              get_core_seconds(spec, m_forecast.predict_ms(*ready.job, spec))});
        }
    }
    std::sort(ranked.begin(), ranked.end());
    if (m_settings.decisions.fair_shares) {
        m_shares.begin_pass(ranked, shared, now);
    }
    return ranked;
}

time_point dispatcher::get_last_work(const open_job& job) {
    auto last_work = job.idle_since;
    for (const auto& [key, run] : job.runs) {
        last_work = std::max(last_work, run->listed_at);
    }
    return last_work;
}

time_point dispatcher::get_idle_since(const open_job& job, time_point now) {
    const bool is_at_work = std::any_of(job.runs.begin(), job.runs.end(), [now](const auto& item) {
        return may_be_at_work(*item.second, now);
    });
    return is_at_work ? now : get_last_work(job);
}

/// Load pattern: after an overload, hundreds of tasks wait that can no longer meet their objectives. The
/// least late ones get all room that becomes free, and some jobs get none for minutes. All time in which
/// nothing of a job ran counts: with a limit for each single wait, a job that gets one task at a time would
/// stand still after each of them.
bool dispatcher::is_starving(const open_job& job, const std::string& pool, time_point now) const {
    const auto idle_since = get_idle_since(job, now);
    const bool is_idle = job.runs.empty() || idle_since < now;
    return is_idle && job.idle_time + (now - idle_since) > starving_after && m_underused_pools.contains(pool);
}

void dispatcher::place(time_point now) {
    if (!m_must_place || now < m_last_place + get_pass_interval(m_ready.size(), m_workers.get_all().size())) {
        return;
    }
    m_must_place = false;
    m_last_place = now;
    auto pass = begin_pass(now);
    measure_short_task_demand(pass);
    const auto ranked = rank_ready(now);
    for (const auto& [rank, key] : ranked) {
        const auto found = m_ready.find(key);
        auto& ready = found->second;
        if (ready.job->steps[key.step].gang) {
            place_gang(pass, ready, key);
        } else {
            place_tasks(pass, ready, key);
        }
        if (ready.waiting.empty()) {
            m_ready.erase(found);
        }
    }
    if (m_settings.decisions.fair_shares) {
        m_shares.end_pass(
            [this](const step_key& key) {
                const auto found = m_ready.find(key);
                return found == m_ready.end() ? 0 : found->second.waiting.size();
            },
            now);
    }
    request_advice(ranked, now);
}

dispatcher::placing_pass dispatcher::begin_pass(time_point now) {
    placing_pass pass;
    pass.now = now;
    std::size_t usable = 0;
    std::size_t probations = 0;
    for (auto* worker : m_workers.get_all()) {
        if (is_usable(*worker, now)) {
            pass.usable[worker->report.pool].push_back(worker);
            ++usable;
            // Only usable workers count, since workers that do not answer are lost anyway.
            probations += worker->probations > 0 ? 1 : 0;
        } else if (is_last_resort(*worker, now)) {
            pass.set_aside[worker->report.pool].push_back(worker);
        }
    }
    const auto max_probations = get_max_probations(usable);
    pass.probations_left = max_probations > probations ? max_probations - probations : 0;
    return pass;
}

void dispatcher::place_tasks(placing_pass& pass, ready_step& ready, const step_key& key) {
    const auto& spec = ready.job->steps[key.step];
    if (is_starving(m_jobs.at(key.job), ready.job->queue.pool, pass.now)) {
        place_task_of_starving_job(pass, ready, key);
    }
    if (ready.waiting.empty()) {
        return;
    }
    const bool is_limited_by_size_only =
        refused_shapes::is_limited_by_size_only(spec) && !ready.job->queue.advice.has_value();
    if (is_limited_by_size_only && pass.refused.covers(ready.job->queue.pool, spec)) {
        return;
    }
    if (!is_limited_by_size_only || m_attempts.has_any(key)) {
        place_each(pass, ready, key, {ready.waiting.begin(), ready.waiting.end()});
        return;
    }
    place_identical(pass, ready, key, find_waiting(ready, key, isolation_level::none));
    if (m_suspects.has_any(key)) {
        place_identical(pass, ready, key, find_waiting(ready, key, isolation_level::apart));
        place_each(pass, ready, key, find_waiting(ready, key, isolation_level::alone));
    }
}

std::vector<std::uint32_t> dispatcher::find_waiting(const ready_step& ready, const step_key& key,
                                                    isolation_level isolation) const {
    if (isolation == isolation_level::none && !m_suspects.has_any(key)) {
        return {ready.waiting.begin(), ready.waiting.end()};
    }
    std::vector<std::uint32_t> found;
    for (const auto index : ready.waiting) {
        if (m_suspects.get_isolation({key, index}) == isolation) {
            found.push_back(index);
        }
    }
    return found;
}

void dispatcher::place_each(placing_pass& pass, ready_step& ready, const step_key& key,
                            const std::vector<std::uint32_t>& indexes) {
    bool may_place_last_attempts = true;
    for (const auto index : indexes) {
        if (!may_place_last_attempts && is_last_attempt(ready, {key, index})) {
            continue;
        }
        const auto result = place_task(pass, ready, {key, index}, false);
        if (result == placement_result::no_room) {
            return;
        }
        may_place_last_attempts = may_place_last_attempts && result != placement_result::no_trusted_room;
    }
}

void dispatcher::place_task_of_starving_job(placing_pass& pass, ready_step& ready, const step_key& key) {
    for (const auto index : std::vector(ready.waiting.begin(), ready.waiting.end())) {
        if (place_task(pass, ready, {key, index}, true) != placement_result::deferred) {
            return;
        }
    }
}

dispatcher::placement_result dispatcher::place_task(placing_pass& pass, ready_step& ready,
                                                    const task_key& task, bool is_job_starving) {
    auto request = make_request(ready, task, pass.now);
    if (is_job_starving) {
        accept_less(request, m_jobs.at(task.step.job), pass.now);
    }
    const bool wants_own = request.wants_own_worker();
    if (!m_suspects.may_start(task, pass.now) || (wants_own && pass.probations_left == 0)) {
        return placement_result::deferred;
    }
    auto* worker = choose(pass, ready, request);
    if (worker == nullptr) {
        const auto no_room =
            request.is_last_attempt ? placement_result::no_trusted_room : placement_result::no_room;
        return wants_own ? placement_result::deferred : no_room;
    }
    pass.probations_left -= wants_own ? 1 : 0;
    assign_task(ready, task, *worker, request.get_run_isolation(), pass.now);
    ready.waiting.erase(task.index);
    return placement_result::placed;
}

/// A job that has starved waits before each of its tasks passes over soft obstacles, so that a worker that
/// fails all its runs does not use up all attempts at once.
void dispatcher::accept_less(placement_request& request, const open_job& job, time_point now) {
    const auto idle = now - get_idle_since(job, now);
    request.is_starving = idle >= crowding_delay || job.idle_time + idle > max_idle_time;
    request.is_overdue = request.is_overdue || idle > starving_after;
}

/// Places tasks that differ only in their index. All workers are examined once, since a placed task changes
/// only the cost of its own worker. Load pattern: jobs of 20 to 30 tasks a step, 1,400 starts a second on 490
/// workers. Examining all workers for each task took a quarter of the leader's time.
void dispatcher::place_identical(placing_pass& pass, ready_step& ready, const step_key& key,
                                 const std::vector<std::uint32_t>& indexes) {
    if (indexes.empty()) {
        return;
    }
    const auto& pool = ready.job->queue.pool;
    const auto request = make_request(ready, {key, indexes.front()}, pass.now);
    std::int64_t most_room = 0;
    std::priority_queue<candidate, std::vector<candidate>, std::greater<>> candidates;
    std::size_t position = 0;
    for (auto* worker : pass.usable[pool]) {
        ++position;
        const auto room = get_room(*worker, request);
        most_room = std::max(most_room, room);
        if (room < request.spec->millicores) {
            continue;
        }
        if (const auto cost = get_placement_cost(*worker, request); cost.has_value()) {
            candidates.push({*cost, position, worker});
        }
    }
    auto next = indexes.begin();
    while (next != indexes.end() && !candidates.empty()) {
        auto best = candidates.top();
        candidates.pop();
        const task_key task{key, *next++};
        assign_task(ready, task, *best.worker, request.get_run_isolation(), pass.now);
        ready.waiting.erase(task.index);
        if (const auto cost = get_placement_cost(*best.worker, request); cost.has_value()) {
            best.cost = *cost;
            candidates.push(best);
        }
    }
    if (next != indexes.end()) {
        pass.refused.add(pool, *request.spec, most_room);
    }
}

/// Measures the processor time that short tasks, which are neither serving nor filling, reserve and wait for.
/// Workers without serving tasks are kept free for them. A short task needs several whole cores at once,
/// while a worker with serving tasks has only a few cores left. Load pattern: long-running serving tasks
/// reserve nine tenths of a pool before the first short task arrives.
void dispatcher::measure_short_task_demand(const placing_pass& pass) {
    m_non_serving_millicores = 0;
    m_total_millicores = 0;
    double wanted = 0;
    for (const auto& [pool, workers] : pass.usable) {
        for (const auto* worker : workers) {
            m_total_millicores += worker->report.capacity.millicores;
            m_non_serving_millicores += worker->serving_runs == 0 ? worker->report.capacity.millicores : 0;
            wanted += static_cast<double>(worker->short_task_millicores);
        }
    }
    for (const auto& [key, ready] : m_ready) {
        const auto& spec = ready.job->steps[key.step];
        if (!spec.is_filling && !spec.is_serving()) {
            wanted += static_cast<double>(ready.get_wanted(key));
        }
    }
    const auto decay_factor = std::exp(-to_seconds(pass.now - m_measured_at) / demand_smoothing_s);
    m_measured_at = pass.now;
    m_demand.short_task_millicores =
        decay_factor * m_demand.short_task_millicores + (1 - decay_factor) * wanted;
}

bool dispatcher::may_take_first_serving_task(const worker_state& worker) const {
    const auto kept_free = std::max(m_demand.short_task_millicores * peak_factor,
                                    min_non_serving_share * static_cast<double>(m_total_millicores));
    return static_cast<double>(m_non_serving_millicores - worker.report.capacity.millicores) >= kept_free;
}

bool dispatcher::is_last_attempt(const ready_step& ready, const task_key& key) const {
    return m_attempts.find(ready.job->get_attempt_key(key)) != nullptr &&
           !ready.job->steps[key.step.step].long_running &&
           m_job_state.count_failed_attempts(key) + 1 >= ready.job->queue.max_attempts;
}

placement_request dispatcher::make_request(const ready_step& ready, const task_key& key, time_point now) {
    const auto* failed = m_attempts.find(ready.job->get_attempt_key(key));
    placement_request request;
    request.spec = &ready.job->steps[key.step.step];
    request.step = key.step;
    request.isolation = m_suspects.get_isolation(key);
    request.may_wait = m_suspects.may_wait(key, now);
    request.is_overdue = request.spec->long_running && now - ready.since > max_long_running_wait;
    request.avoided = failed == nullptr ? nullptr : &failed->workers;
    request.is_last_attempt = is_last_attempt(ready, key);
    if (request.spec->is_filling || request.spec->is_serving()) {
        request.image = m_pressure.get_image_number(request.spec->image);
    }
    if (request.spec->is_filling) {
        request.factors = m_pressure.get_conservative_factors(request.image);
    }
    return request;
}

placement_obstacle dispatcher::find_policy_obstacle(const worker_state& worker, const ready_step& ready,
                                                    const placement_request& request, time_point now) const {
    const bool may_wait = request.spec->is_serving() && now - ready.since < max_serving_wait;
    if (may_wait && worker.serving_runs == 0 && !may_take_first_serving_task(worker)) {
        return placement_obstacle::kept_for_short_tasks;
    }
    const bool needs_ticket = ready.job->queue.advice.has_value();
    if (needs_ticket && find_ticket(request.step, worker.report.incarnation, now).empty()) {
        return placement_obstacle::ticket;
    }
    return placement_obstacle::none;
}

worker_state* dispatcher::choose(const placing_pass& pass, const ready_step& ready,
                                 const placement_request& request) {
    auto* best = choose_among(pass.usable, ready, request, pass.now);
    if (best == nullptr && request.is_overdue) {
        best = choose_among(pass.set_aside, ready, request, pass.now);
    }
    return best;
}

worker_state* dispatcher::choose_among(const std::map<std::string, std::vector<worker_state*>>& workers,
                                       const ready_step& ready, const placement_request& request,
                                       time_point now) const {
    worker_state* best = nullptr;
    double best_cost = 0;
    const auto found = workers.find(ready.job->queue.pool);
    if (found == workers.end()) {
        return best;
    }
    for (auto* worker : found->second) {
        if (worker->report.incarnation == request.excluded ||
            find_policy_obstacle(*worker, ready, request, now) != placement_obstacle::none) {
            continue;
        }
        const auto cost = get_placement_cost(*worker, request);
        if (cost.has_value() && (best == nullptr || *cost < best_cost)) {
            best = worker;
            best_cost = *cost;
        }
    }
    return best;
}

void dispatcher::assign_task(const ready_step& ready, const task_key& key, worker_state& worker,
                             isolation_level isolation, time_point now) {
    const auto* task = m_job_state.find_task(key);
    const run_key run{key, task == nullptr ? 1 : task->last_run + 1};
    if (ready.job->steps[key.step.step].is_serving() && worker.serving_runs == 0) {
        m_non_serving_millicores -= worker.report.capacity.millicores;
    }
    add_track(run, ready.job, worker.report.incarnation, run_stage::committing, isolation, now).idle_since =
        ready.since;
    propose_assignment(run, worker);
}

void dispatcher::propose_assignment(const run_key& key, const worker_state& worker) {
    job_wire::job_command command;
    encode(key.task, *command.mutable_assign()->mutable_task());
    command.mutable_assign()->set_run(key.run);
    command.mutable_assign()->set_worker(worker.report.incarnation.id);
    command.mutable_assign()->set_born_ms(worker.report.incarnation.process_start_ms);
    command.mutable_assign()->set_address(worker.report.address);
    m_commands.push_back(std::move(command));
    ++m_counts.assigned;
    const auto* track = m_settings.decisions.fair_shares ? find(key) : nullptr;
    if (track != nullptr && !track->get_spec().long_running) {
        const auto length_ms = m_forecast.predict_ms(*track->job, track->get_spec());
        m_shares.add_use({track->job->queue.name, track->job->caller_data_centre},
                         get_core_seconds(track->get_spec(), length_ms), track->assigned_at);
    }
}

} // namespace poplarpitch
