#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
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
#include <string>
#include <vector>

namespace poplarpitch::job_wire {
class relay_answers;
class relay_orders;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// A frame to a relay.
struct relay_frame {
    std::uint32_t ip = 0; ///< in host order
    std::shared_ptr<job_wire::relay_orders> orders;
};

/// The leader's end of the relays: gathers orders for them, and matches their answers.
///
/// It is pure: orders, frames and time in, frames and outcomes out. The leader has its processor time for
/// decisions: a frame carries some ten orders or answers, where each took three system calls and a message in
/// HTTP. An order is answered once: by its relay, by the loss of its relay, or by its own time. Without an
/// answer it may have been carried out, but for a hold, which says nothing of its worker then. Thread safety:
/// none, as for all methods.
class relay_hub {
public:
    explicit relay_hub(const relay_settings& settings);
    ~relay_hub();
    relay_hub(const relay_hub&) = delete;
    relay_hub& operator=(const relay_hub&) = delete;

    /// Begins to lead in `term`, with no relay known.
    void lead(log_term term);
    /// Leads no longer: what is under way is nobody's any more.
    void retire();

    /// Takes an order for a worker that a relay is there for. Returns false when there is none: the order is
    /// the caller's to send. Precondition: the hub leads; the order is none for the advice service.
    bool add(const worker_order& order, const std::string& data_centre, std::uint64_t worker_hash,
             time_point now);
    /// Asks the relays for a worker's whole report.
    void ask_report(const std::string& worker);
    /// Takes what a relay says. Returns the outcomes it has.
    std::vector<relayed_outcome> on_answers(const job_wire::relay_answers& frame, time_point now);
    /// Returns the outcomes of the orders of a frame that could not be sent to `ip`: they have surely not
    /// left.
    std::vector<relayed_outcome> on_not_sent(std::uint32_t ip, const job_wire::relay_orders& frame);
    /// Returns the outcomes of orders whose relay or time is lost.
    std::vector<relayed_outcome> take_lost(time_point now);
    /// Returns the frames that are to be sent now. `instances`: all instances that may relay.
    std::vector<relay_frame> take_frames(const std::vector<std::uint32_t>& instances, time_point now);

    /// Returns the instance that takes a worker's heartbeats, or nothing where no relay is there.
    [[nodiscard]] std::optional<std::uint32_t> pick(const std::string& data_centre,
                                                    std::uint64_t worker_hash) const;
    [[nodiscard]] std::size_t count_relays() const { return m_registry.get_places().size(); }
    /// Returns how many orders have no answer yet.
    [[nodiscard]] std::size_t count_open() const { return m_open.size(); }
    /// Returns how many orders were relayed since the start.
    [[nodiscard]] std::uint64_t count_relayed() const { return m_relayed; }

private:
    struct open_order {
        order_name name;
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
        std::uint64_t sent_places_version = 0; ///< version of the list of relays that it was told last
    };

    job_wire::relay_orders& open_frame(std::uint32_t ip);
    /// Takes an order that no relay answered out of those under way, where it is one.
    void fail_order(std::uint64_t number, std::vector<relayed_outcome>& outcomes);
    /// Takes an order that has its outcome now out of those under way.
    std::optional<relayed_outcome> complete_order(std::uint64_t number, hold_outcome outcome);
    void on_relays_changed();

    relay_settings m_settings;
    relay_registry m_registry;
    log_term m_term = 0;
    std::uint64_t m_next_number = 1;
    std::uint64_t m_relayed = 0;
    std::uint64_t m_places_version = 1;
    absl::flat_hash_map<std::uint64_t, open_order> m_open;
    std::priority_queue<deadline, std::vector<deadline>, std::greater<>> m_deadlines;
    std::map<std::uint32_t, outbox> m_outboxes;   ///< by address
    std::vector<std::string> m_requested_reports; ///< workers whose whole report is wanted
};

} // namespace poplarpitch
