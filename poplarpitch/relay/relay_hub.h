#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/relay/relay_counts.h"
#include "poplarpitch/relay/relay_registry.h"
#include "poplarpitch/relay/relay_settings.h"
#include "poplarpitch/relay/relayed_outcome.h"
#include "poplarpitch/scheduling/worker_order.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch::job_wire {
class relay_answers;
class relay_orders;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// A frame of orders for a relay.
struct relay_frame {
    std::uint32_t ip = 0; ///< in host order
    std::shared_ptr<job_wire::relay_orders> orders;
};

/// The leader's side of relaying: batches orders into frames for the relays, and matches answers to orders.
///
/// It does no I/O: orders, frames and the time go in, frames and outcomes come out. Relaying saves processor
/// time at the leader. A frame carries about ten orders or answers; sent directly, each takes three system
/// calls and an HTTP message.
///
/// Each order gets one outcome: from its relay, by the loss of its relay, or by its timeout. An order without
/// an answer may have been carried out. A hold order without an answer tells nothing about its worker. Thread
/// safety: none, as for all methods.
class relay_hub {
public:
    explicit relay_hub(const relay_settings& settings);
    ~relay_hub();
    relay_hub(const relay_hub&) = delete;
    relay_hub& operator=(const relay_hub&) = delete;

    /// Starts to lead in `term`, with no known relays. `former_relays`: the addresses of the other relays of
    /// the former leader, as far as known. An instance that is no member of the log announces itself to a new
    /// leader only after some time, so those relays get frames at once.
    void start_leading(log_term term, const std::vector<std::uint32_t>& former_relays, time_point now);
    /// Stops leading. Discards all orders in flight; they get no outcome.
    void stop_leading();

    /// Queues an order for the relay of its worker. Returns false when there is no relay: the caller has to
    /// send the order itself. Preconditions: the hub leads; the order is not for the advice service.
    bool add(const worker_order& order, const std::string& data_centre, std::uint64_t worker_hash,
             time_point now);
    /// Requests a worker's full report from the relays.
    void request_report(const std::string& worker);
    /// Processes a frame of answers from a relay. Returns the outcomes in it.
    std::vector<relayed_outcome> on_answers(const job_wire::relay_answers& frame, time_point now);
    /// Called when a frame could not be sent to `ip`. Returns the outcomes of its orders, which were
    /// certainly not sent.
    std::vector<relayed_outcome> on_frame_not_sent(std::uint32_t ip, const job_wire::relay_orders& frame);
    /// Returns the outcomes of orders whose relay was lost or whose timeout has passed. To be called at least
    /// every `max_frame_interval`: a longer time between two calls counts as a pause, in which this process
    /// was busy or had no lease. Such a time is no silence of the relays, and nothing expires until the
    /// frames that arrived in it can have been read. Load pattern: a new leader with 10,000 workers is busy
    /// for half a second; without this, it would lose all relays and open connections to the workers itself.
    std::vector<relayed_outcome> expire_orders(time_point now);
    /// Returns the frames that are due to be sent. `instances`: all instances that may relay, besides the
    /// former leader's relays in the first seconds of a term.
    std::vector<relay_frame> take_frames(const std::set<std::uint32_t>& instances, time_point now);

    /// Returns the relay that takes a worker's heartbeats, or nothing where there is none.
    [[nodiscard]] std::optional<std::uint32_t> pick(const std::string& data_centre,
                                                    std::uint64_t worker_hash) const;
    /// Returns the number of relays.
    [[nodiscard]] std::size_t count_relays() const { return m_registry.get_relays().size(); }
    /// Returns the number of orders without an outcome.
    [[nodiscard]] std::size_t count_open() const { return m_open.size(); }
    /// Returns what was exchanged with relays since the start.
    [[nodiscard]] const relay_counts& get_counts() const { return m_counts; }

private:
    struct open_order {
        relay_order_key key;
        std::uint32_t relay = 0;
    };
    struct deadline {
        time_point when{};
        std::uint64_t number = 0;

        friend auto operator<=>(const deadline&, const deadline&) = default;
    };
    struct outbox {
        std::shared_ptr<job_wire::relay_orders> frame; ///< null while empty
        time_point sent{};
        std::uint64_t sent_relays_version = 0; ///< version of the list of relays that was sent last
    };

    /// Returns the frame that collects orders for the relay at `ip`.
    job_wire::relay_orders& open_frame(std::uint32_t ip);
    /// Removes an order that got no answer, and appends its outcome. Does nothing when the order is not open.
    void fail_order(std::uint64_t number, std::vector<relayed_outcome>& outcomes);
    /// Removes an order and returns its outcome, or nothing when the order is not open.
    std::optional<relayed_outcome> complete_order(std::uint64_t number, order_outcome outcome);
    void on_relays_changed();
    void count_received(const job_wire::relay_answers& frame);
    /// Records a call of `expire_orders`. Returns true while frames that arrived in a pause may be unread.
    bool is_catching_up(time_point now);
    /// Returns the frames that are due to be sent to these addresses.
    std::vector<relay_frame> take_due_frames(const std::set<std::uint32_t>& recipients, time_point now);

    relay_settings m_settings;
    relay_registry m_registry;
    log_term m_term = 0;
    std::vector<std::uint32_t> m_former_relays; ///< of the former leader
    time_point m_former_relays_until{};         ///< when the last of them has announced itself
    time_point m_last_expiry{};                 ///< last call of `expire_orders`; zero before the first one
    time_point m_caught_up_after{};             ///< end of the time in which nothing expires after a pause
    std::uint64_t m_next_number = 1;
    relay_counts m_counts;
    std::uint64_t m_relays_version = 1;
    absl::flat_hash_map<std::uint64_t, open_order> m_open;
    std::priority_queue<deadline, std::vector<deadline>, std::greater<>> m_deadlines;
    std::map<std::uint32_t, outbox> m_outboxes;   ///< by address
    std::vector<std::string> m_requested_reports; ///< workers whose full report is requested
};

} // namespace poplarpitch
