#pragma once

#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "unit_tests/dispatch/simulated_worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// A deliberate fault in the count of attempts, which the checks of an attempt_world must find.
enum class attempt_mutation : std::uint8_t {
    none,
    count_each_member,       ///< every member that fails in a run of a gang counts
    count_no_gang,           ///< no run of a gang counts
    forget_failed_runs,      ///< a new leader does not know which runs of gangs have counted
    forget_counts,           ///< a new leader does not know how many attempts have failed
    count_for_other_members, ///< from the next leader on, failures of the first task of a step count for all
};

/// Jobs whose runs fail at random, with lost and late answers, repeated lists and changes of the leader.
/// A plain model counts the failed attempts from what the workers list: a task fails once with each run that
/// ended as failed, a gang once with each run in which a member ended so. Thread safety: none.
class attempt_world {
public:
    explicit attempt_world(std::uint64_t seed, attempt_mutation mutation = attempt_mutation::none);
    ~attempt_world();
    attempt_world(const attempt_world&) = delete;
    attempt_world& operator=(const attempt_world&) = delete;

    /// Submits jobs under faults, then lets all of them end without faults, and checks them.
    void run();
    /// Returns what broke the count: a job that failed with attempts left, a start without one left, a job
    /// that did not end as the model says, a replica of the release before that concluded otherwise.
    [[nodiscard]] const std::vector<std::string>& get_violations() const { return m_violations; }
    /// Returns how many runs of gangs had several members that ended as failed.
    [[nodiscard]] int count_runs_with_several_failures() const;

private:
    struct worker;
    /// The runs of one task, or of all members of a gang, that ended as failed.
    struct failed_runs {
        std::set<std::uint32_t> listed; ///< by a worker
        std::set<std::uint32_t> noted;  ///< and acknowledged to it
    };
    struct scheduled_call {
        time_point when{};
        std::uint64_t number = 0; ///< orders calls that are due at the same time
        std::function<void()> call;

        friend bool operator>(const scheduled_call& left, const scheduled_call& right) {
            return std::tie(left.when, left.number) > std::tie(right.when, right.number);
        }
    };
    /// All members of one run of a gang.
    struct gang_run {
        std::set<std::uint32_t> failing; ///< members that fail
        std::set<std::uint32_t> started;
        time_point breaks_at = time_point::max();
        time_point done_at = time_point::max(); ///< set once all members have started
        int failed = 0;                         ///< members that have failed

        friend bool operator==(const gang_run&, const gang_run&) = default;
    };
    using gang_run_key = std::pair<step_key, std::uint32_t>;

    [[nodiscard]] std::int64_t pick(std::int64_t least, std::int64_t most);
    [[nodiscard]] bool happens(int percent) { return pick(0, 99) < percent; }
    [[nodiscard]] bool is_fault(int percent) { return m_has_faults && happens(percent); }
    void schedule_call(duration wait, std::function<void()> call);
    void add_worker(int number);
    void submit_one();
    void step();
    void tick_leader();
    void lose_leader();
    void start_leading();
    void commit();
    void apply(job_wire::job_command command);
    void mutate(job_wire::job_command& command) const;
    void mutate_snapshot();
    void send(const worker_order& order);
    void send_to(worker& target, const start_order& order);
    /// Calls the dispatcher with an answer soon, or with `unanswered` at the order's timeout.
    void answer(duration timeout, const order_outcome& outcome,
                const std::function<void(const order_outcome&)>& on_outcome);
    void choose_end(worker& target, const run_key& run);
    /// Ends the members of gangs together: as done, or as broken after one of them has failed.
    void end_gangs();
    void observe(worker& target);
    [[nodiscard]] bool is_gang(const step_key& key) const;
    /// Returns the task under whose key attempts are counted: of a gang, its first member.
    [[nodiscard]] task_key get_counted_task(const task_key& key) const;
    void check_start(const run_key& run);
    void check_jobs(bool is_final);
    void compare_with_earlier_release();
    void report(job_id job, const std::string& text);

    attempt_mutation m_mutation;
    std::mt19937_64 m_random;
    time_point m_now{seconds{1000}};
    std::int64_t m_wall_ms = 1'700'000'000'000;
    bool m_has_faults = true;
    job_state_machine m_job_state;
    job_state_machine m_earlier_release; ///< applies the same commands without the fields that it ignores
    dispatcher m_scheduler;
    log_term m_term = 0;
    job_id m_next_job = 1;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<job_wire::job_command> m_queued;
    std::vector<job_wire::job_command> m_committing;
    std::priority_queue<scheduled_call, std::vector<scheduled_call>, std::greater<>> m_calls;
    std::uint64_t m_next_call = 0;
    std::map<job_id, duration> m_lengths;
    std::map<task_key, failed_runs> m_failed;
    std::map<gang_run_key, gang_run> m_gang_runs;
    std::vector<std::string> m_violations;
};

} // namespace poplarpitch
