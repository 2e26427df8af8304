#pragma once

#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_book.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Where all workers of a world belong.
inline constexpr const char* world_pool = "mill";

/// A dispatcher with a book that commits at once, and a clock that a test advances. Orders are kept for the
/// test to answer, so that it can place a fault between any two steps.
class dispatch_world {
public:
    dispatch_world();

    /// Lets time pass in one step, then ticks and commits.
    void advance(duration step);
    /// Commits all commands and ticks until there are none.
    void run_until_idle();
    /// Leads in the next term with all soft state forgotten.
    void lead();
    /// Makes a worker known: heartbeat, and the first hold answered with an empty list.
    void add_worker(const std::string& id, const worker_amounts& capacity = {64000, 256000, 0},
                    const std::string& rack = "r1");
    /// Lets a worker's process end without a word and its machine come back as a new life at the same
    /// address, which runs nothing: its heartbeat, its list, and the answer that the old life is gone.
    void restart_with_new_id(const std::string& id, const std::string& next_id);
    /// Lets a worker's process end without a word and start again under the same id, at `born_ms` by its own
    /// clock. Only its first heartbeat is sent.
    void restart_with_same_id(const std::string& id, std::int64_t born_ms);
    /// Returns the life that the worker is at.
    [[nodiscard]] worker_life get_life(const std::string& id) const;
    /// Returns what the dispatcher knows of that life, or null.
    [[nodiscard]] const worker_state* find_worker(const std::string& id) const;
    /// Sends a heartbeat of a worker that was added.
    void send_heartbeat(const std::string& id, bool is_leaving = false, std::int64_t remaining_ms = 0);
    /// Submits a job of steps to a queue with these attempts. Returns its id.
    job_id submit(const std::vector<step_spec>& steps, std::uint32_t max_attempts = 3, int priority = 0);
    /// Submits a job to a queue whose policy needs advice; tickets hold for 3 s.
    job_id submit_advised(const std::vector<step_spec>& steps);
    /// Submits a job that runs at its times.
    job_id submit_timed(const std::vector<step_spec>& steps, const job_schedule& schedule);
    /// Cancels a job.
    void cancel(job_id id);

    /// Takes the orders of one kind that were given since the last call; the others are kept.
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

    /// Answers the only start that was given since the last were taken, and returns it.
    start_order start_one();
    /// Answers a start and commits.
    void answer(const start_order& order, std::optional<order_failure> failure = {});
    /// Answers a stop and commits.
    void answer(const stop_order& order, std::optional<order_failure> failure = {});
    /// Answers the hold under way at a worker and commits.
    void answer_hold(const std::string& worker, const hold_answer& answer);
    /// Fails the hold under way at a worker and commits.
    void fail_hold(const std::string& worker, order_failure failure = order_failure::unanswered);
    /// Takes up the hold at a worker, letting time pass until there is one.
    void wait_for_hold(const std::string& worker);
    /// Returns the list of a worker that runs nothing.
    [[nodiscard]] static hold_answer make_empty_list();

    job_book book;
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
};

} // namespace poplarpitch
