#include "poplarpitch/net/endpoint_report.h"

#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/metrics_registry.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration min_log_interval = seconds{1};
constexpr std::size_t first_unlogged = static_cast<std::size_t>(http_refusal::idle_timeout);

} // namespace

void endpoint_report::add(endpoint_kind kind, const http_listener& listener) {
    m_endpoints.push_back({kind, &listener, {}, {}});
}

void endpoint_report::log(time_point now) {
    for (auto& item : m_endpoints) {
        log(item, now);
    }
}

void endpoint_report::log(endpoint& item, time_point now) const {
    const auto& counts = item.listener->get_refusals();
    const auto end = counts.begin() + first_unlogged;
    if (std::equal(counts.begin(), end, item.logged.begin()) || now - item.logged_at < min_log_interval) {
        return;
    }
    log_event line(log_level::warn, "clients_refused");
    line.add("endpoint", get_name(item.kind))
        .add("connections", static_cast<std::uint64_t>(item.listener->get_connections()))
        .add("held_bytes", static_cast<std::uint64_t>(m_budget.get_held(item.kind)));
    for (std::size_t reason = 0; reason < first_unlogged; ++reason) {
        if (const auto count = counts[reason] - item.logged[reason]; count > 0) {
            line.add(get_name(static_cast<http_refusal>(reason)), count);
        }
    }
    item.logged = counts;
    item.logged_at = now;
}

void endpoint_report::set_metrics(metrics_registry& metrics) const {
    for (const auto& item : m_endpoints) {
        const auto& counts = item.listener->get_refusals();
        for (std::size_t reason = 0; reason < http_refusal_count; ++reason) {
            metrics.set("poplarpitch_clients_refused_total",
                        {"", get_name(item.kind), get_name(static_cast<http_refusal>(reason))},
                        static_cast<double>(counts[reason]));
        }
        metrics.set("poplarpitch_endpoint_connections", {"", get_name(item.kind), ""},
                    static_cast<double>(item.listener->get_connections()));
    }
    for (std::size_t number = 0; number < endpoint_kind_count; ++number) {
        const auto kind = static_cast<endpoint_kind>(number);
        metrics.set("poplarpitch_peer_memory_bytes", {"", get_name(kind), ""},
                    static_cast<double>(m_budget.get_held(kind)));
    }
    metrics.set("poplarpitch_peer_memory_limit_bytes", {}, static_cast<double>(m_budget.get_limit()));
}

} // namespace poplarpitch
