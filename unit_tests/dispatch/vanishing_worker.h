#pragma once

#include "unit_tests/dispatch/dispatch_world.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Plays a dispatch_world in which a worker vanishes for good: it neither answers nor refuses anything, so
/// each order to it ends at its timeout. All other workers answer at once. Thread safety: none.
class vanishing_worker {
public:
    /// The worker vanishes at the present time of `world`, which outlives the object. Precondition: the
    /// dispatcher knows all other workers.
    vanishing_worker(dispatch_world& world, std::string id);

    /// Lists these runs in the answers of another worker from now on.
    void add_running(const start_order& start);
    /// Outcome of the holds to the vanished worker; unanswered unless set.
    void set_hold_failure(order_failure failure) { m_hold_failure = failure; }
    /// Advances the clock until a run of this task starts at another worker. Returns how long after the
    /// worker vanished that was, or nothing within `limit`.
    std::optional<duration> wait_for_restart(const task_key& task, duration limit);

private:
    struct sent_start {
        time_point expires_at{};
        start_order order;
    };

    void fail_expired_orders();
    void answer_others();
    [[nodiscard]] hold_answer make_list(const std::string& worker) const;

    dispatch_world& m_world;
    std::string m_id;
    std::vector<std::string> m_others;
    time_point m_vanished_at{};
    time_point m_next_heartbeat{}; ///< of the other workers
    order_failure m_hold_failure = order_failure::unanswered;
    std::vector<sent_start> m_sent;
    std::map<std::string, std::vector<run_key>> m_running; ///< by worker
};

} // namespace poplarpitch
