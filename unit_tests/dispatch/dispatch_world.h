#pragma once

#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_state_machine.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// The pool of all workers of a dispatch_world.
inline constexpr const char* world_pool = "mill";

/// A dispatcher with a replicated job state that commits at once and a clock that the test advances. Keeps
/// the orders for the test to answer, so that the test can inject a fault between any two steps.
class dispatch_world {
public:
    explicit dispatch_world(const dispatch_settings& settings = {});

    /// Advances the clock in one step, then runs the dispatcher until it is idle.
    void advance(duration step);
    /// Ticks the dispatcher and commits its commands until there are none.
    void run_until_idle();
    /// Makes the dispatcher lead in the next term, without its former soft state.
    void start_leading();
    /// Ticks the dispatcher once and drops its commands, as when their batch is not committed. Returns them.
    std::vector<job_wire::job_command> tick_without_commit();
    /// Returns the commands committed so far that record learned state.
    [[nodiscard]] std::size_t count_learned_commands() const { return m_learned_commands; }
    /// Registers a worker: sends a heartbeat and answers the first hold with an empty list.
    void add_worker(const std::string& id, const worker_amounts& capacity = {64000, 256000, 0},
                    const std::string& rack = "r1", const std::string& data_centre = {});
    /// Restarts a worker under a new id at the same address, without deregistering the old incarnation. The
    /// new incarnation runs nothing. It sends a heartbeat and a list, and a hold for the old id is refused
    /// with `other_incarnation`.
    void restart_with_new_id(const std::string& id, const std::string& next_id);
    /// Restarts a worker under the same id, with start time `process_start_ms` by its own clock, without
    /// deregistering the old incarnation. Sends only the first heartbeat of the new incarnation.
    void restart_with_same_id(const std::string& id, std::int64_t process_start_ms);
    /// Returns the worker's current incarnation.
    [[nodiscard]] worker_incarnation get_incarnation(const std::string& id) const;
    /// Returns the dispatcher's state of the worker's current incarnation, or null.
    [[nodiscard]] const worker_state* find_worker(const std::string& id) const;
    /// Sends a heartbeat. Precondition: the worker was added.
    void send_heartbeat(const std::string& id, bool is_draining = false, std::int64_t remaining_ms = 0);
    /// Submits a job to a queue with these attempts and priority. Returns its id.
    job_id submit(const std::vector<step_spec>& steps, std::uint32_t max_attempts = 3, int priority = 0);
    /// Submits a job that callers in this data centre sent to a queue.
    job_id submit_from(const std::string& queue, const std::string& data_centre,
                       const std::vector<step_spec>& steps);
    /// Submits a job to a queue that requires advice; tickets are valid for 3 s.
    job_id submit_with_advice(const std::vector<step_spec>& steps);
    /// Submits a timed job.
    job_id submit_timed(const std::vector<step_spec>& steps, const job_schedule& schedule);
    /// Commits a configuration with the world's pool. `enforces_capacity`: its workers refuse what does not
    /// fit.
    void configure_pool(bool enforces_capacity);
    /// Commits an operator's order that nothing starts in a data centre, or its withdrawal.
    void drain(const std::string& data_centre, bool undo = false);
    /// Commits a command.
    void commit(const job_wire::job_command& command);
    /// Cancels a job.
    void cancel(job_id id);

    /// Returns and removes the orders of one kind since the last call; keeps the others.
    template <class Order>
    std::vector<Order> take() {
        collect();
        std::vector<Order> found;
        std::vector<worker_order> rest;
        for (auto& order : m_orders) {
            if (auto* item = std::get_if<Order>(&order); item != nullptr) {
                found.push_back(*item);
            } else {
                rest.push_back(std::move(order));
            }
        }
        m_orders = std::move(rest);
        return found;
    }

    /// Confirms the only start since the last ones were taken, and returns it.
    start_order start_one();
    /// Answers a start and commits.
    void answer(const start_order& order, std::optional<order_failure> failure = {});
    /// Answers a stop and commits.
    void answer(const stop_order& order, std::optional<order_failure> failure = {});
    /// Answers the pending hold at a worker and commits.
    void answer_hold(const std::string& worker, const hold_answer& answer);
    /// Fails the pending hold at a worker and commits.
    void fail_hold(const std::string& worker, order_failure failure = order_failure::unanswered);
    /// Advances the clock until a hold is pending at a worker.
    void wait_for_hold(const std::string& worker);
    /// Returns the hold answer of a worker that runs nothing.
    [[nodiscard]] static hold_answer make_empty_list();

    job_state_machine job_state;
    dispatcher scheduler;
    time_point now{seconds{1000}};
    std::int64_t wall_ms = 1'700'000'000'000;
    log_term term = 0;

private:
    job_id submit_job(step_job job);
    void register_worker(worker_report report);
    void end_process(const std::string& id);
    void collect();

    std::vector<worker_order> m_orders;
    std::map<std::string, worker_report> m_reports;
    job_id m_next_job = 1;
    std::size_t m_learned_commands = 0;
};

} // namespace poplarpitch
