#include "unit_tests/dispatch/dispatch_world.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr int max_rounds = 50;
constexpr duration step = milliseconds{20};

} // namespace

dispatch_world::dispatch_world(const dispatch_settings& settings) : scheduler(settings, job_state) {
    start_leading();
}

void dispatch_world::collect() {
    for (auto& order : scheduler.take_orders()) {
        m_orders.push_back(std::move(order));
    }
}

void dispatch_world::start_leading() {
    ++term;
    scheduler.start_leading(term, now, wall_ms);
    m_orders.clear();
    run_until_idle();
}

void dispatch_world::run_until_idle() {
    for (int round = 0; round < max_rounds; ++round) {
        scheduler.tick(now, wall_ms);
        const auto commands = scheduler.take_commands();
        if (commands.empty()) {
            return;
        }
        for (const auto& command : commands) {
            m_learned_commands += command.has_learned() ? 1 : 0;
            std::vector<job_state_event> events;
            job_state.apply(command, events);
            for (const auto& event : events) {
                scheduler.on_event(event, now, wall_ms);
            }
        }
    }
    ADD_FAILURE() << "the dispatcher failed to become idle";
}

std::vector<job_wire::job_command> dispatch_world::tick_without_commit() {
    scheduler.tick(now, wall_ms);
    return scheduler.take_commands();
}

void dispatch_world::advance(duration length) {
    now += length;
    wall_ms += to_milliseconds(length);
    run_until_idle();
}

void dispatch_world::add_worker(const std::string& id, const worker_amounts& capacity,
                                const std::string& rack, const std::string& data_centre) {
    worker_report report;
    report.incarnation = {id, 0};
    report.address = "10.0.0." + std::to_string(m_reports.size() + 1) + ":80";
    report.pool = world_pool;
    report.labels = {"a", rack};
    report.rack = rack;
    report.data_centre = data_centre;
    report.capacity = capacity;
    register_worker(std::move(report));
}

void dispatch_world::register_worker(worker_report report) {
    const auto id = report.incarnation.id;
    m_reports[id] = std::move(report);
    send_heartbeat(id);
    wait_for_hold(id);
    answer_hold(id, make_empty_list());
}

void dispatch_world::restart_with_new_id(const std::string& id, const std::string& next_id) {
    end_process(id);
    auto report = m_reports.at(id);
    report.incarnation.id = next_id;
    report.sequence = 0;
    register_worker(std::move(report));
    if (find_worker(id) != nullptr) {
        wait_for_hold(id);
        fail_hold(id, order_failure::other_incarnation);
    }
}

void dispatch_world::send_heartbeat(const std::string& id, bool is_draining, std::int64_t remaining_ms) {
    auto& report = m_reports[id];
    ++report.sequence;
    report.clock_ms = to_milliseconds(now.time_since_epoch());
    report.is_draining = is_draining;
    report.remaining_ms = remaining_ms;
    if (scheduler.on_heartbeat(report, now)) {
        job_wire::job_command command;
        command.mutable_retire()->set_worker(id);
        command.mutable_retire()->set_born_ms(report.incarnation.process_start_ms);
        commit(command);
    }
    run_until_idle();
}

job_id dispatch_world::submit(const std::vector<step_spec>& steps, std::uint32_t max_attempts, int priority) {
    step_job job;
    job.steps = steps;
    job.queue.max_attempts = max_attempts;
    job.queue.priority = priority;
    return submit_job(std::move(job));
}

job_id dispatch_world::submit_from(const std::string& queue, const std::string& data_centre,
                                   const std::vector<step_spec>& steps) {
    step_job job;
    job.steps = steps;
    job.queue.name = queue;
    job.queue.max_attempts = 3;
    job.caller_data_centre = data_centre;
    return submit_job(std::move(job));
}

job_id dispatch_world::submit_with_advice(const std::vector<step_spec>& steps) {
    step_job job;
    job.steps = steps;
    job.queue.max_attempts = 3;
    job.queue.advice = advice_settings{milliseconds{5}, milliseconds{1}, seconds{3}};
    return submit_job(std::move(job));
}

job_id dispatch_world::submit_timed(const std::vector<step_spec>& steps, const job_schedule& schedule) {
    step_job job;
    job.steps = steps;
    job.schedule = schedule;
    job.queue.max_attempts = 3;
    return submit_job(std::move(job));
}

job_id dispatch_world::submit_job(step_job job) {
    job.id = m_next_job++;
    job.payload = "payload";
    job.queue.name = job.queue.name.empty() ? "queue" : job.queue.name;
    job.queue.pool = world_pool;
    job.queue.latency_factor = 2;
    job.queue.target_latency = seconds{1};
    job.accepted_ms = wall_ms;
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    commit(command);
    return job.id;
}

void dispatch_world::drain(const std::string& data_centre, bool undo) {
    job_wire::job_command command;
    command.mutable_drain()->set_name(data_centre);
    command.mutable_drain()->set_undo(undo);
    commit(command);
}

void dispatch_world::cancel(job_id id) {
    job_wire::job_command command;
    command.mutable_cancel()->set_id(id);
    commit(command);
}

void dispatch_world::configure_pool(bool enforces_capacity) {
    job_configuration configuration;
    configuration.version = 1;
    configuration.pools.push_back({world_pool, enforces_capacity, false, 64});
    job_wire::job_command command;
    encode(configuration, *command.mutable_config());
    commit(command);
}

void dispatch_world::commit(const job_wire::job_command& command) {
    std::vector<job_state_event> events;
    job_state.apply(command, events);
    for (const auto& event : events) {
        scheduler.on_event(event, now, wall_ms);
    }
    run_until_idle();
}

start_order dispatch_world::start_one() {
    const auto starts = take<start_order>();
    EXPECT_EQ(starts.size(), 1U);
    answer(starts.at(0));
    return starts.at(0);
}

void dispatch_world::answer(const start_order& order, std::optional<order_failure> failure) {
    scheduler.on_start(order.run, {failure, 0}, now);
    run_until_idle();
}

void dispatch_world::answer(const stop_order& order, std::optional<order_failure> failure) {
    scheduler.on_stop(order.run, order.target.worker, {failure, 0}, now);
    run_until_idle();
}

void dispatch_world::answer_hold(const std::string& worker, const hold_answer& answer) {
    auto stamped_answer = answer;
    stamped_answer.clock_ms = to_milliseconds(now.time_since_epoch());
    stamped_answer.process_start_ms = get_incarnation(worker).process_start_ms;
    scheduler.on_hold(get_incarnation(worker), {std::nullopt, stamped_answer}, now);
    run_until_idle();
}

void dispatch_world::fail_hold(const std::string& worker, order_failure failure) {
    scheduler.on_hold(get_incarnation(worker), {failure, {}}, now);
    run_until_idle();
}

void dispatch_world::wait_for_hold(const std::string& worker) {
    for (int round = 0; round < max_rounds; ++round) {
        const auto* state = find_worker(worker);
        if (state != nullptr && state->is_hold_pending) {
            return;
        }
        advance(step);
    }
    ADD_FAILURE() << "no hold pending at " << worker;
}

void dispatch_world::end_process(const std::string& id) {
    const auto* state = find_worker(id);
    if (state != nullptr && state->is_hold_pending) {
        fail_hold(id); // its connection closes with the process
    }
}

void dispatch_world::restart_with_same_id(const std::string& id, std::int64_t process_start_ms) {
    end_process(id);
    auto& report = m_reports.at(id);
    report.incarnation.process_start_ms = process_start_ms;
    report.sequence = 0;
    send_heartbeat(id);
}

worker_incarnation dispatch_world::get_incarnation(const std::string& id) const {
    const auto found = m_reports.find(id);
    return found == m_reports.end() ? worker_incarnation{id, 0} : found->second.incarnation;
}

const worker_state* dispatch_world::find_worker(const std::string& id) const {
    return scheduler.find_worker_state(get_incarnation(id));
}

hold_answer dispatch_world::make_empty_list() {
    return {};
}

} // namespace poplarpitch
