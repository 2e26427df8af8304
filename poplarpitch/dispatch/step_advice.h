#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <map>
#include <set>
#include <string>

namespace poplarpitch {

/// The advice service's answers for a step: which workers its queue's policy allows. Whether a worker
/// is allowed never changes, but a ticket expires and then has to be requested again. Thread safety: none, as
/// for all methods.
class step_advice {
public:
    /// Records that `worker` may run the step with `ticket` until `expires`.
    void allow(const worker_incarnation& worker, std::string ticket, time_point expires) {
        m_tickets[worker] = {std::move(ticket), expires};
    }
    /// Records that `worker` may never run the step.
    void deny(const worker_incarnation& worker) { m_denied.insert(worker.id); }
    /// Removes a ticket that the worker refused.
    void drop(const worker_incarnation& worker) { m_tickets.erase(worker); }
    /// Returns the ticket for `worker` that is valid at `when`, or an empty string.
    [[nodiscard]] std::string find_ticket(const worker_incarnation& worker, time_point when) const {
        const auto found = m_tickets.find(worker);
        return found == m_tickets.end() || found->second.expires <= when ? std::string{} : found->second.text;
    }
    [[nodiscard]] bool is_denied(const worker_incarnation& worker) const {
        return m_denied.contains(worker.id);
    }

private:
    struct ticket {
        std::string text;
        time_point expires{};
    };

    std::map<worker_incarnation, ticket> m_tickets; ///< by worker
    std::set<std::string> m_denied;                 ///< worker ids: a denial holds for all incarnations
};

} // namespace poplarpitch
