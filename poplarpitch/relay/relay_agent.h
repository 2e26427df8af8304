#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/relay/frame_delay_estimator.h"
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

/// A relay's end: carries out the leader's orders at workers, takes their heartbeats, and tells the leader.
///
/// It decides nothing. An order is carried out as it came: its lease ends on the worker's clock and its fence
/// is the leader's, so that one that comes late does nothing that it would not have done in time, unless
/// its worker has started again since. So orders that are older than their own time, as they are after this
/// process stood still, are told as not sent, as are those of an older leader. Thread safety: none, as for
/// all methods; the handler may be called at any later time.
class relay_agent {
public:
    using outcome_handler = std::function<void(hold_outcome)>;
    /// Carries out an order at its worker and calls the handler once.
    using order_executor = std::function<void(const worker_order&, outcome_handler)>;

    /// `place`: this instance.
    relay_agent(const relay_settings& settings, relay_place place, order_executor execute);
    ~relay_agent();
    relay_agent(const relay_agent&) = delete;
    relay_agent& operator=(const relay_agent&) = delete;

    /// Takes a frame of a leader's. Returns what is to be told that leader at once, where it leads no longer.
    std::optional<job_wire::relay_answers> on_orders(const job_wire::relay_orders& frame, time_point now);
    /// Notes that this instance leads in `term`: it relays for no earlier leader any more.
    void on_leading(log_term term);
    /// Takes a worker's heartbeat. Precondition: `is_serving`; the worker is not leaving.
    void on_report(const worker_report& report, time_point now);
    /// Returns what is to be told the leader now, if anything.
    std::optional<job_wire::relay_answers> take_answers(time_point now);

    /// Returns when `take_answers` has something to give, or nothing while it has not.
    [[nodiscard]] std::optional<time_point> get_due() const;
    /// Returns true while a leader was heard just now, so that a heartbeat taken here reaches it.
    [[nodiscard]] bool is_serving(time_point now) const;
    /// Returns the instance that is to take a worker's later heartbeats, this one where none is better.
    [[nodiscard]] std::uint32_t pick(const worker_report& report) const;
    /// Returns how many orders are being carried out.
    [[nodiscard]] std::size_t count_open() const { return m_open; }
    /// Returns how many orders came since the start.
    [[nodiscard]] std::uint64_t get_received() const { return m_received; }

private:
    struct known_report {
        worker_report report;
        time_point received_at{};
        bool is_reported = false;            ///< the whole report went to the present leader
        std::uint64_t reported_sequence = 0; ///< sequence of the report that went
    };

    void begin_term(log_term term, time_point now);
    void execute_orders(const job_wire::relay_orders& frame, duration delay);
    void remove_expired_reports(time_point now);
    void add_full_report(known_report& known);
    job_wire::relay_answers& open_frame();

    relay_settings m_settings;
    relay_place m_place;
    order_executor m_execute;
    log_term m_term = 0;      ///< highest seen
    bool m_is_leader = false; ///< this instance leads in `m_term`
    frame_delay_estimator m_frame_delay;
    time_point m_last_frame_at{}; ///< when a frame of that term came last
    time_point m_last_answer_at{};
    bool m_must_answer = false; ///< a frame came and none went since
    time_point m_next_sweep{};
    std::vector<relay_place> m_places;
    absl::btree_map<worker_life, known_report> m_reports;
    std::unique_ptr<job_wire::relay_answers> m_frame; ///< null while empty
    std::size_t m_open = 0;
    std::uint64_t m_received = 0;
    std::shared_ptr<bool> m_is_alive; ///< false once the agent is gone; handlers look at it
};

} // namespace poplarpitch
