#include "unit_tests/dispatch/attempt_world.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/dispatch/test_steps.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

constexpr int worker_count = 6;
constexpr duration tick = milliseconds{10};
constexpr duration heartbeat_interval = milliseconds{1100};
constexpr duration start_time = seconds{2}; // until all workers are known
constexpr duration traffic_time = seconds{8};
constexpr duration completion_time = seconds{60}; // a job that is open after this never ends
constexpr duration arrival_interval = milliseconds{250};
constexpr int failing_run_percent = 50;
constexpr int failing_member_percent = 50; // of a gang that fails
constexpr int lost_answer_percent = 10;
constexpr int leader_loss_percent_of_intervals = 20;
constexpr int late_commit_percent = 50; // batches in flight that are committed though their leader is lost
constexpr std::int64_t max_fault_delay_ms = 150;
constexpr std::int64_t min_length_ms = 100;
constexpr std::int64_t max_length_ms = 400;
constexpr duration never = std::chrono::hours{1};
constexpr std::int64_t max_answer_delay_ms = 40;
constexpr std::int64_t max_commit_ms = 60;
constexpr std::int64_t max_election_ms = 300;
constexpr const char* pool = "mill";

} // namespace

struct attempt_world::worker {
    std::unique_ptr<simulated_worker> process;
    time_point next_heartbeat{};
    std::map<std::uint64_t, run_end_entry> unacknowledged;
};

attempt_world::attempt_world(std::uint64_t seed, attempt_mutation mutation)
    : m_mutation(mutation), m_random(seed), m_scheduler({}, m_job_state) {
    job_configuration configuration;
    configuration.version = 1;
    configuration.pools.push_back({pool, true, false, 64});
    job_wire::job_command command;
    encode(configuration, *command.mutable_config());
    apply(command);
    start_leading();
    for (int number = 0; number < worker_count; ++number) {
        add_worker(number);
    }
}

attempt_world::~attempt_world() = default;

std::int64_t attempt_world::pick(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least + 1));
}

void attempt_world::schedule_call(duration wait, std::function<void()> call) {
    m_calls.push({m_now + wait, m_next_call++, std::move(call)});
}

void attempt_world::add_worker(int number) {
    worker_report report;
    report.incarnation = {"w" + std::to_string(number), 0};
    report.address = "10.0.0." + std::to_string(number + 1) + ":80";
    report.pool = pool;
    report.rack = "r1";
    report.labels = {"r1"};
    report.capacity = {64'000, 64'000, 0};
    auto target = std::make_unique<worker>();
    target->process = std::make_unique<simulated_worker>(report, m_now);
    target->next_heartbeat = m_now;
    m_workers.push_back(std::move(target));
}

// ---- jobs

void attempt_world::submit_one() {
    step_job job;
    job.id = m_next_job++;
    const auto step_count = pick(1, 2);
    for (std::int64_t number = 0; number < step_count; ++number) {
        auto step = make_step(static_cast<std::uint32_t>(pick(1, 5)));
        step.gang = happens(70);
        step.max_per_worker = step.gang && happens(50) ? 1 : 0;
        if (number > 0 && happens(50)) {
            step.depends_on = {0};
        }
        job.steps.push_back(step);
    }
    if (happens(25)) {
        job.schedule = job_schedule{2, m_wall_ms, 200};
    }
    job.queue.name = "queue";
    job.queue.pool = pool;
    job.queue.max_attempts = static_cast<std::uint32_t>(pick(1, 4));
    job.queue.latency_factor = 2;
    job.queue.target_latency = seconds{1};
    job.accepted_ms = m_wall_ms;
    m_lengths[job.id] = milliseconds{pick(min_length_ms, max_length_ms)};
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    apply(std::move(command));
}

bool attempt_world::is_gang(const step_key& key) const {
    return m_job_state.find_job(key.job)->job->steps[key.step].gang;
}

task_key attempt_world::get_counted_task(const task_key& key) const {
    return is_gang(key.step) ? task_key{key.step, 0} : key;
}

// ---- time

void attempt_world::run() {
    const auto run_for = [this](duration length) {
        for (const auto end = m_now + length; m_now < end;) {
            step();
        }
    };
    run_for(start_time);
    for (duration passed{0}; passed < traffic_time; passed += arrival_interval) {
        submit_one();
        run_for(arrival_interval);
        if (happens(leader_loss_percent_of_intervals)) {
            lose_leader();
        }
    }
    m_has_faults = false;
    run_for(completion_time);
    check_jobs(true);
    if (m_mutation == attempt_mutation::none) { // else the plain model alone must find the fault
        compare_with_earlier_release();
    }
}

void attempt_world::step() {
    m_now += tick;
    m_wall_ms += to_milliseconds(tick);
    while (!m_calls.empty() && m_calls.top().when <= m_now) {
        const auto call = m_calls.top().call;
        m_calls.pop();
        call();
    }
    end_gangs();
    for (auto& target : m_workers) {
        target->process->advance(m_now);
        observe(*target);
        if (m_scheduler.is_leading() && m_now >= target->next_heartbeat) {
            target->next_heartbeat = m_now + heartbeat_interval;
            m_scheduler.on_heartbeat(target->process->make_heartbeat(m_now), m_now);
        }
    }
    tick_leader();
    check_jobs(false);
}

// ---- leader and log

void attempt_world::tick_leader() {
    m_scheduler.tick(m_now, m_wall_ms, m_committing.empty());
    for (auto& command : m_scheduler.take_commands()) {
        m_queued.push_back(std::move(command));
    }
    for (const auto& order : m_scheduler.take_orders()) {
        send(order);
    }
    if (m_committing.empty() && !m_queued.empty()) {
        m_committing = std::exchange(m_queued, {});
        schedule_call(milliseconds{pick(1, max_commit_ms)}, [this, term = m_term] {
            if (term == m_term && m_scheduler.is_leading()) {
                commit();
            }
        });
    }
}

void attempt_world::commit() {
    for (auto& command : std::exchange(m_committing, {})) {
        apply(std::move(command));
    }
}

void attempt_world::lose_leader() {
    if (!m_scheduler.is_leading()) {
        return;
    }
    m_scheduler.stop_leading();
    m_queued.clear();
    if (happens(late_commit_percent)) {
        commit();
    }
    m_committing.clear();
    mutate_snapshot();
    schedule_call(milliseconds{pick(1, max_election_ms)}, [this] { start_leading(); });
}

void attempt_world::start_leading() {
    ++m_term;
    m_scheduler.start_leading(m_term, m_now, m_wall_ms);
    for (auto& target : m_workers) {
        target->next_heartbeat = m_now + milliseconds{pick(1, max_election_ms)};
    }
}

void attempt_world::apply(job_wire::job_command command) {
    auto known_before = command;
    if (known_before.has_end()) {
        known_before.mutable_end()->clear_listed_kind();
    }
    std::vector<job_state_event> ignored;
    m_earlier_release.apply(known_before, ignored);
    mutate(command);
    std::vector<job_state_event> events;
    m_job_state.apply(command, events);
    for (const auto& event : events) {
        m_scheduler.on_event(event, m_now, m_wall_ms);
    }
}

void attempt_world::mutate(job_wire::job_command& command) const {
    if (!command.has_end()) {
        return;
    }
    auto& end = *command.mutable_end();
    const auto failed = static_cast<std::uint32_t>(run_end::failed);
    const auto broken = static_cast<std::uint32_t>(run_end::gang_broken);
    if (m_mutation == attempt_mutation::count_each_member && end.listed_kind() == failed) {
        end.set_kind(failed);
        end.clear_listed_kind();
    }
    const auto task = decode(end.task());
    const bool is_of_gang = m_job_state.find_job(task.step.job) != nullptr && is_gang(task.step);
    if (m_mutation == attempt_mutation::count_no_gang && is_of_gang && end.kind() == failed) {
        end.set_kind(broken);
        end.set_listed_kind(failed);
    }
}

/// Passes the state through a snapshot, as when the next leader has restarted.
void attempt_world::mutate_snapshot() {
    job_wire::job_book_snapshot snapshot;
    snapshot.ParseFromString(m_job_state.save());
    for (auto& job : *snapshot.mutable_jobs()) {
        for (auto& occurrence : *job.mutable_occurrences()) {
            for (auto& step : *occurrence.mutable_steps()) {
                if (m_mutation == attempt_mutation::forget_failed_runs) {
                    step.clear_last_failed_run();
                }
                for (auto& task : *step.mutable_tasks()) {
                    if (m_mutation == attempt_mutation::forget_counts) {
                        task.clear_failures();
                    }
                    if (m_mutation == attempt_mutation::count_for_other_members) {
                        task.set_failures(std::max(task.failures(), step.tasks(0).failures()));
                    }
                }
            }
        }
    }
    m_job_state.load(snapshot.SerializeAsString());
}

// ---- orders

void attempt_world::send(const worker_order& order) {
    const auto find = [this](const order_target& target) -> worker& {
        const auto found = std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& item) {
            return item->process->get_report().address == target.address;
        });
        return **found;
    };
    if (const auto* hold = std::get_if<hold_order>(&order); hold != nullptr) {
        find(hold->target).process->receive(*hold, m_now, [this, hold = *hold](const order_outcome& outcome) {
            answer(hold.target.timeout, outcome, [this, hold](const order_outcome& received) {
                m_scheduler.on_hold(hold.target.worker, received, m_now);
            });
        });
    } else if (const auto* start = std::get_if<start_order>(&order); start != nullptr) {
        send_to(find(start->target), *start);
    } else if (const auto* stop = std::get_if<stop_order>(&order); stop != nullptr) {
        find(stop->target).process->receive(*stop, m_now, [this, stop = *stop](const order_outcome& outcome) {
            answer(stop.target.timeout, outcome, [this, stop](const order_outcome& received) {
                m_scheduler.on_stop(stop.run, stop.target.worker,
                                    {received.failure, received.answer.clock_ms}, m_now);
            });
        });
    }
}

void attempt_world::send_to(worker& target, const start_order& order) {
    const bool was_there = target.process->get_runs().contains(order.run);
    const auto length =
        is_gang(order.run.task.step) ? never : m_lengths.at(order.run.task.step.job); // gangs end together
    target.process->receive(order, length, m_now, [this, order](const order_outcome& outcome) {
        answer(order.target.timeout, outcome, [this, order](const order_outcome& received) {
            m_scheduler.on_start(order.run, {received.failure, received.answer.clock_ms}, m_now);
        });
    });
    if (!was_there && target.process->get_runs().contains(order.run)) {
        check_start(order.run);
        choose_end(target, order.run);
    }
}

void attempt_world::answer(duration timeout, const order_outcome& outcome,
                           const std::function<void(const order_outcome&)>& on_outcome) {
    const bool is_lost = is_fault(lost_answer_percent);
    const auto delay = is_lost ? timeout : milliseconds{pick(1, max_answer_delay_ms)};
    const auto received = is_lost ? order_outcome{order_failure::unanswered, {}} : outcome;
    schedule_call(delay, [this, received, on_outcome, term = m_term] {
        if (term == m_term && m_scheduler.is_leading()) {
            on_outcome(received);
        }
    });
}

// ---- runs

void attempt_world::choose_end(worker& target, const run_key& run) {
    const auto when = m_now + milliseconds{pick(1, max_fault_delay_ms)};
    if (!is_gang(run.task.step)) {
        if (happens(failing_run_percent)) {
            target.process->fail_run(run, when);
        }
        return;
    }
    const auto [item, is_first] = m_gang_runs.try_emplace({run.task.step, run.run});
    const auto members = m_job_state.find_job(run.task.step.job)->job->steps[run.task.step.step].count;
    if (is_first && happens(failing_run_percent)) {
        for (std::uint32_t index = 0; index < members; ++index) {
            if (happens(failing_member_percent)) {
                item->second.failing.insert(index);
            }
        }
        item->second.failing.insert(run.task.index);
    }
    if (item->second.failing.contains(run.task.index)) {
        target.process->fail_run(run, when);
    }
    item->second.started.insert(run.task.index);
    if (item->second.failing.empty() && item->second.started.size() == members) {
        item->second.done_at = m_now + m_lengths.at(run.task.step.job);
    }
}

void attempt_world::end_gangs() {
    for (auto& target : m_workers) {
        std::map<run_key, run_end> ends;
        for (const auto& [key, run] : target->process->get_runs()) {
            const auto found = m_gang_runs.find({key.task.step, key.run});
            if (found == m_gang_runs.end()) {
                continue;
            }
            if (m_now >= found->second.breaks_at) {
                ends[key] = run_end::gang_broken;
            } else if (m_now >= found->second.done_at) {
                ends[key] = run_end::done;
            }
        }
        for (const auto& [key, how] : ends) {
            target->process->end_run_as(key, how);
        }
    }
}

void attempt_world::observe(worker& target) {
    std::map<std::uint64_t, run_end_entry> listed;
    for (const auto& row : target.process->get_ended()) {
        listed.emplace(row.number, row);
        if (row.end != run_end::failed || target.unacknowledged.contains(row.number)) {
            continue;
        }
        m_failed[get_counted_task(row.run.task)].listed.insert(row.run.run);
        if (is_gang(row.run.task.step)) {
            auto& gang = m_gang_runs[{row.run.task.step, row.run.run}];
            ++gang.failed;
            gang.breaks_at = std::min(gang.breaks_at, m_now + milliseconds{pick(1, max_fault_delay_ms)});
        }
    }
    for (const auto& [number, row] : std::exchange(target.unacknowledged, listed)) {
        if (row.end == run_end::failed && !listed.contains(number)) {
            m_failed[get_counted_task(row.run.task)].noted.insert(row.run.run);
        }
    }
}

// ---- checks

void attempt_world::report(job_id job, const std::string& text) {
    m_violations.push_back("job " + std::to_string(job) + " " + text);
}

void attempt_world::check_start(const run_key& run) {
    const auto& job = *m_job_state.find_job(run.task.step.job)->job;
    if (m_failed[get_counted_task(run.task)].noted.size() >= job.queue.max_attempts) {
        report(job.id, "starts run " + std::to_string(run.run) + " without an attempt left");
    }
}

void attempt_world::check_jobs(bool is_final) {
    std::set<job_id> without_attempts;
    for (const auto& [task, runs] : m_failed) {
        const auto* record = m_job_state.find_job(task.step.job);
        if (record != nullptr && runs.listed.size() >= record->job->queue.max_attempts) {
            without_attempts.insert(task.step.job);
        }
    }
    for (const auto& [id, record] : m_job_state.get_jobs()) {
        const bool has_attempts = !without_attempts.contains(id);
        if (record.phase == job_phase::failed && has_attempts) {
            report(id, "has failed though it has attempts left");
        }
        if (is_final && record.phase == job_phase::open) {
            report(id, "never ended");
        }
        if (is_final && record.phase == job_phase::completed && !has_attempts) {
            report(id, "is completed though it has no attempt left");
        }
    }
}

void attempt_world::compare_with_earlier_release() {
    for (const auto& [id, record] : m_job_state.get_jobs()) {
        const auto* other = m_earlier_release.find_job(id);
        if (other == nullptr || other->phase != record.phase ||
            other->occurrences_done != record.occurrences_done) {
            report(id, "has ended otherwise at a replica of the release before");
        }
    }
}

int attempt_world::count_runs_with_several_failures() const {
    return static_cast<int>(std::count_if(m_gang_runs.begin(), m_gang_runs.end(),
                                          [](const auto& item) { return item.second.failed > 1; }));
}

} // namespace poplarpitch
