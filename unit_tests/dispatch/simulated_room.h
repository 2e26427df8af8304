#pragma once

#include "poplarpitch/dispatch/fair_share.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace poplarpitch {

/// A caller that submits steps to a simulated_room at a constant rate.
struct simulated_caller {
    fair_share::share_key key;
    double cores = 0; ///< work submitted, in core-seconds per second

    friend auto operator<=>(const simulated_caller&, const simulated_caller&) = default;
};

/// Room in which steps are placed pass by pass, in order of slack as the dispatcher does, with or without the
/// correction of a fair_share. All tasks take one core and a second in the mean. Callers give up steps that
/// are past the late limit.
class simulated_room {
public:
    /// Number of cores and length of tasks.
    static constexpr std::size_t cores = 20;
    static constexpr duration task_length = seconds{1};
    static constexpr duration pass_interval = milliseconds{100};
    static constexpr std::size_t step_tasks = 2;

    /// `shares`: null for no correction; must outlive the room. `objective`: of each step.
    simulated_room(fair_share* shares, duration objective);

    /// Lets callers submit for this long.
    void run(const std::vector<simulated_caller>& callers, duration length);
    /// Returns the work started for a key, in core-seconds.
    [[nodiscard]] double get_started(const fair_share::share_key& key) const;
    /// Returns how long each step waited until its last task was started, by its number; steps that still
    /// wait are left out. The same calls of `run` give the same numbers.
    [[nodiscard]] const std::map<job_id, duration>& get_waits() const { return m_waits; }
    /// Returns how many steps wait.
    [[nodiscard]] std::size_t count_waiting() const { return m_waiting.size(); }
    /// Returns the steps in the order in which they were placed.
    [[nodiscard]] const std::vector<job_id>& get_order() const { return m_order; }

private:
    struct step {
        fair_share::share_key key;
        time_point since{};
        std::size_t tasks = step_tasks;
    };

    void submit(const simulated_caller& caller);
    void pass();
    void place(const step_key& key);
    [[nodiscard]] fair_share::waiting_step describe(job_id id, const step& waiting) const;

    fair_share* m_shares;
    duration m_objective;
    time_point m_now{seconds{1000}};
    std::size_t m_free = cores;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> m_ends; ///< of running tasks
    std::uint32_t m_length_state = 1;     ///< of the lengths, 0.5 to 1.5 s, so that tasks end apart
    std::uint32_t m_submission_state = 1; ///< of the times of submission
    std::map<job_id, step> m_waiting;
    std::map<fair_share::share_key, double> m_due; ///< work that the caller has not yet submitted
    std::map<fair_share::share_key, double> m_started;
    std::map<job_id, duration> m_waits;
    std::vector<job_id> m_order;
    job_id m_next = 1;
};

} // namespace poplarpitch
