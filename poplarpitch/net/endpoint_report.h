#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/net/endpoint_kind.h"
#include "poplarpitch/net/http_refusal.h"

#include <vector>

namespace poplarpitch {

class http_listener;
class memory_budget;
class metrics_registry;

/// Tells in metrics and logs which clients a process refuses and what it holds for its peers.
///
/// A line a second for each listener at most, with the counts since the last one, so that a crowd of clients
/// cannot flood the log. Connections that were closed because they were idle are no reason for a line. Thread
/// safety: the loop's thread, for all methods.
class endpoint_report {
public:
    /// Precondition: `budget` outlives the object.
    explicit endpoint_report(const memory_budget& budget) : m_budget(budget) {}

    /// Adds a listener. Precondition: it outlives the object.
    void add(endpoint_kind kind, const http_listener& listener);
    /// Logs what was refused since the last line. To be called often.
    void log(time_point now);
    /// Sets the metrics.
    void set_metrics(metrics_registry& metrics) const;

private:
    struct endpoint {
        endpoint_kind kind = endpoint_kind::callers;
        const http_listener* listener = nullptr;
        http_refusal_counts logged{};
        time_point logged_at{};
    };

    void log(endpoint& item, time_point now) const;

    const memory_budget& m_budget;
    std::vector<endpoint> m_endpoints;
};

} // namespace poplarpitch
