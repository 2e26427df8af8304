#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/worker_life.h"

#include <map>
#include <set>
#include <string>

namespace poplarpitch {

/// Which workers a queue's policy allows for a step, as far as the advice service was asked. What it says of
/// a worker does not change; only a ticket runs out. Thread safety: none, as for all methods.
class step_advice {
public:
    /// Notes that `worker` may run the step with `ticket` until `expires`.
    void allow(const worker_life& worker, std::string ticket, time_point expires) {
        m_tickets[worker] = {std::move(ticket), expires};
    }
    /// Notes that `worker` may never run the step.
    void deny(const worker_life& worker) { m_denied.insert(worker.id); }
    /// Forgets a ticket that the worker refused.
    void drop(const worker_life& worker) { m_tickets.erase(worker); }
    /// Returns the ticket for `worker` that is good at `when`, or an empty text.
    [[nodiscard]] std::string find_ticket(const worker_life& worker, time_point when) const {
        const auto found = m_tickets.find(worker);
        return found == m_tickets.end() || found->second.expires <= when ? std::string{} : found->second.text;
    }
    [[nodiscard]] bool is_denied(const worker_life& worker) const { return m_denied.contains(worker.id); }

private:
    struct ticket {
        std::string text;
        time_point expires{};
    };

    std::map<worker_life, ticket> m_tickets; ///< by worker
    std::set<std::string> m_denied;          ///< ids: it holds for all lives
};

} // namespace poplarpitch
