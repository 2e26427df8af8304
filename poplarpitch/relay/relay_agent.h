#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/relay/frame_age.h"
#include "poplarpitch/relay/relay_registry.h"
#include "poplarpitch/relay/relay_settings.h"
#include "poplarpitch/scheduling/worker_order.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch::job_wire {
class relay_answers;
class relay_orders;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// The relay's side of relaying: sends the leader's orders to workers, takes the workers' heartbeats, and
/// forwards answers and heartbeats to the leader.
///
/// It makes no decisions and sends each order unchanged. The lease in an order ends on the worker's clock and
/// the fence is the leader's. A late order therefore has no effect that it would not have had in time, unless
/// its worker has restarted since. So orders that have waited longer than their own timeout, as after this
/// process was suspended, are answered as not sent. So are the orders of a former leader. Thread safety:
/// none, as for all methods; the handler may be called at any later time.
class relay_agent {
public:
    using outcome_handler = std::function<void(order_outcome)>;
    /// Sends an order to its worker and calls the handler once.
    using order_executor = std::function<void(const worker_order&, outcome_handler)>;

    /// `self`: this instance.
    relay_agent(const relay_settings& settings, relay_instance self, order_executor execute);
    ~relay_agent();
    relay_agent(const relay_agent&) = delete;
    relay_agent& operator=(const relay_agent&) = delete;

    /// Processes a leader's frame. Returns answers to send to that leader at once when it is a former leader.
    std::optional<job_wire::relay_answers> on_orders(const job_wire::relay_orders& frame, time_point now);
    /// Called when this instance leads in `term`. It stops relaying for earlier leaders.
    void on_leading(log_term term);
    /// Processes a worker's heartbeat. Preconditions: `can_relay`; the worker is not draining.
    void on_report(const worker_report& report, time_point now);
    /// Returns the frame to send to the leader, or nothing when none is due.
    std::optional<job_wire::relay_answers> take_answers(time_point now);

    /// Returns when `take_answers` will return a frame, or nothing while there is nothing to send.
    [[nodiscard]] std::optional<time_point> get_due() const;
    /// Returns true while frames of a leader arrive, so that a heartbeat taken here reaches it.
    [[nodiscard]] bool can_relay(time_point now) const;
    /// Returns the instance that should take a worker's later heartbeats; this one where there is no better
    /// one.
    [[nodiscard]] std::uint32_t pick(const worker_report& report) const;
    /// Returns the addresses of the other relays of the last leader, in host order.
    [[nodiscard]] std::vector<std::uint32_t> get_other_relays() const;
    /// Returns the number of orders in progress.
    [[nodiscard]] std::size_t count_open() const { return m_open; }
    /// Returns the number of orders received since the start.
    [[nodiscard]] std::uint64_t get_received() const { return m_received; }

private:
    struct known_report {
        worker_report report;
        time_point received_at{};
        bool is_reported = false;            ///< the full report was sent to the present leader
        std::uint64_t reported_sequence = 0; ///< sequence of the report that was sent
    };

    void begin_term(log_term term, time_point now);
    void execute_orders(const job_wire::relay_orders& frame, duration delay);
    void remove_expired_reports(time_point now);
    /// Adds a worker's full report to the next frame.
    void add_full_report(known_report& known);
    /// Returns the frame that collects answers and reports.
    job_wire::relay_answers& open_frame();

    relay_settings m_settings;
    relay_instance m_self;
    order_executor m_execute;
    log_term m_term = 0;      ///< highest term seen
    bool m_is_leader = false; ///< this instance is the leader in `m_term`
    frame_age m_frame_age;
    time_point m_last_frame_at{}; ///< arrival of the last frame in that term
    time_point m_last_answer_at{};
    bool m_must_answer = false; ///< a frame arrived and no answer was sent since
    time_point m_next_sweep{};
    std::vector<relay_instance> m_relays;
    absl::btree_map<worker_incarnation, known_report> m_reports;
    std::unique_ptr<job_wire::relay_answers> m_frame; ///< null while empty
    std::size_t m_open = 0;
    std::uint64_t m_received = 0;
    std::shared_ptr<bool> m_is_alive; ///< false after destruction; checked by handlers
};

} // namespace poplarpitch
