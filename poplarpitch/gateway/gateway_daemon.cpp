#include "poplarpitch/gateway/gateway_daemon.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/core/text.h"
#include "poplarpitch/gateway/caller_limits.h"
#include "poplarpitch/gateway/leader_link.h"
#include "poplarpitch/net/endpoint_report.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/net/memory_settings.h"
#include "poplarpitch/net/metrics_endpoint.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/logging.h"
#include "poplarpitch/telemetry/metrics_registry.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <csignal>
#include <memory>

namespace poplarpitch {
namespace {

constexpr int startup_failure_exit_code = 1;
constexpr double no_digest_age = -1;                   // of the metric, while no load digest is valid
constexpr duration response_margin = milliseconds{50}; // lets a response arrive before the deadline
// A process that is suspended for longer than this looks whether its callers still wait.
constexpr duration max_abandoned_wait = milliseconds{250};
constexpr std::size_t max_readiness_connections = 64; // one check a second; the descriptors are for callers
constexpr duration retry_after_late_read = seconds{1};

/// The components of an entry instance. All are used on the loop's thread only.
class gateway {
public:
    explicit gateway(const gateway_settings& settings)
        : m_settings(settings), m_memory(get_peer_memory_limit(settings.memory_limit)),
          m_limits(settings.limits), m_link(m_loop, settings.seeds, settings.link_port, settings.leader_wait,
                                            settings.spread_returns, hash_bytes(settings.id)),
          m_caller_listener(m_loop, m_memory, make_caller_listener_settings(settings),
                            [this](const http_request& request, const http_responder& respond) {
                                relay(request, respond);
                            }),
          m_readiness_listener(m_loop, m_memory, make_readiness_listener_settings(settings),
                               [this](const http_request& request, const http_responder& respond) {
                                   answer_readiness_probe(request, respond);
                               }) {}

    int run() {
        const auto caller_port = m_caller_listener.start();
        const auto readiness_port = m_readiness_listener.start();
        if (!caller_port || !readiness_port) {
            log_event(log_level::error, "start_failed")
                .add("error", caller_port ? readiness_port.error() : caller_port.error())
                .add("host", m_settings.caller_host);
            return startup_failure_exit_code;
        }
        m_loop.on_signal(SIGTERM, [this] { stop(); });
        m_loop.on_signal(SIGINT, [this] { stop(); });
        m_loop.on_signal(SIGHUP, [] {
            log_event(log_level::info, "reload_ignored").add("reason", "seeds only count at startup");
        });
        m_report.add(endpoint_kind::callers, m_caller_listener);
        m_report.add(endpoint_kind::readiness, m_readiness_listener);
        m_loop.on_iteration_end([this] { m_report.log(m_loop.now()); });
        m_loop.on_iteration_end([this] { log_abandoned_requests(); });
        m_loop.on_iteration_end([] { flush_logs(); });
        start_metrics();
        m_link.on_limits([this](const request_limits& configured) { set_limits(configured); });
        m_link.start();
        log_event(log_level::info, "started").add("id", m_settings.id).add("port", caller_port.value());
        m_loop.run();
        log_event(log_level::info, "stopped").add("id", m_settings.id);
        return 0;
    }

private:
    static http_listener_settings make_listener_settings(const std::string& host, int port) {
        http_listener_settings listener;
        listener.host = host;
        listener.port = port;
        return listener;
    }

    static http_listener_settings make_readiness_listener_settings(const gateway_settings& settings) {
        auto listener = make_listener_settings(settings.ready_host, settings.ready_port);
        listener.kind = endpoint_kind::readiness;
        listener.max_connections = max_readiness_connections;
        return listener;
    }

    static http_listener_settings make_caller_listener_settings(const gateway_settings& settings) {
        auto listener = make_listener_settings(settings.caller_host, settings.caller_port);
        listener.max_abandoned_wait = max_abandoned_wait;
        listener.limits = settings.limits;
        return listener;
    }

    void set_limits(const request_limits& configured) {
        const auto limits = merge_limits(m_settings.limits, configured, m_memory.get_limit());
        if (limits == m_limits) {
            return;
        }
        m_limits = limits;
        m_caller_listener.set_limits(limits);
        log_event(log_level::info, "limits_changed")
            .add("header_bytes", static_cast<std::uint64_t>(limits.max_header))
            .add("body_bytes", static_cast<std::uint64_t>(limits.max_body))
            .add("header_ms", to_milliseconds(limits.header_timeout))
            .add("idle_ms", to_milliseconds(limits.idle_timeout));
    }

    void start_metrics() {
        if (m_settings.metrics_port == 0) {
            return;
        }
        m_metrics_listener = serve_metrics(m_loop, m_memory, m_settings.caller_host, m_settings.metrics_port,
                                           [this] { return format_metrics(); });
        if (m_metrics_listener == nullptr) {
            log_event(log_level::warn, "metrics_not_served").add("port", m_settings.metrics_port);
            return;
        }
        m_report.add(endpoint_kind::metrics, *m_metrics_listener);
    }

    std::string format_metrics() {
        m_metrics.set("poplarpitch_leader_connected", {}, m_link.is_connected() ? 1 : 0);
        m_metrics.set("poplarpitch_leader_observed", {}, m_link.has_observer() ? 1 : 0);
        m_metrics.set("poplarpitch_open_requests", {}, static_cast<double>(m_link.get_open_requests()));
        m_metrics.set("poplarpitch_requests_dropped_total", {"", "", "abandoned"},
                      static_cast<double>(m_caller_listener.get_abandoned_requests()));
        m_metrics.set("poplarpitch_requests_dropped_total", {"", "", "late"},
                      static_cast<double>(m_late_requests));
        m_metrics.set("poplarpitch_caller_connections", {},
                      static_cast<double>(m_caller_listener.get_connections()));
        if (m_settings.spread_returns) {
            const auto age = m_link.get_digest_age();
            m_metrics.set("poplarpitch_load_digest_age_seconds", {},
                          age.has_value() ? to_seconds(*age) : no_digest_age);
            m_metrics.set("poplarpitch_spread_refusals_total", {},
                          static_cast<double>(m_link.get_spread_refusals()));
        }
        m_report.set_metrics(m_metrics);
        return m_metrics.format();
    }

    [[nodiscard]] duration read_request_timeout(const http_request& request) const {
        std::int64_t timeout_ms = 0;
        const auto text = request.headers.get(m_settings.deadline_header);
        if (!absl::SimpleAtoi(text, &timeout_ms) || timeout_ms <= 0) {
            return m_settings.default_deadline;
        }
        return milliseconds{timeout_ms};
    }

    void relay(const http_request& request, const http_responder& respond) {
        if (const auto* field = find_unreadable_part(request); field != nullptr) {
            log_event(log_level::warn, "request_refused").add("reason", "not UTF-8").add("part", field);
            respond(make_error_response(400, "unreadable", std::string("the ") + field + " is not UTF-8"));
            return;
        }
        job_wire::relay_request message;
        message.set_method(request.method);
        message.set_host(request.headers.get("Host"));
        message.set_target(request.target);
        message.set_body(request.body);
        message.set_data_centre(m_settings.data_centre);
        const auto timeout = std::max(read_request_timeout(request) - response_margin, response_margin);
        const auto read_delay = m_loop.get_read_delay();
        if (read_delay >= timeout) {
            answer_late_request(request, read_delay, respond);
            return;
        }
        message.set_remaining_ms(to_milliseconds(timeout));
        const auto received_at = m_loop.now() - read_delay;
        m_link.relay(std::move(message), received_at, received_at + timeout,
                     [this, respond, received_at](const relay_outcome& outcome) {
                         const auto response = make_response(outcome);
                         m_metrics.observe("poplarpitch_request_seconds",
                                           {"", "", std::to_string(response.status)},
                                           m_loop.now() - received_at);
                         respond(response);
                     });
    }

    /// Returns which part of a request is not UTF-8, or null when all are. Such a part names no queue or job,
    /// and instances of an earlier release cannot parse the frame that contains it.
    static const char* find_unreadable_part(const http_request& request) {
        if (!is_utf8(request.method)) {
            return "method";
        }
        if (!is_utf8(request.target)) {
            return "path";
        }
        if (!is_utf8(request.headers.get("Host"))) {
            return "host";
        }
        return is_utf8(request.body) ? nullptr : "body";
    }

    /// Logs the requests that were dropped in this iteration because their callers had left.
    void log_abandoned_requests() {
        const auto total = m_caller_listener.get_abandoned_requests();
        if (total == m_logged_abandoned) {
            return;
        }
        log_event(log_level::info, "requests_abandoned")
            .add("requests", total - m_logged_abandoned)
            .add("delay_ms", to_milliseconds(m_loop.get_read_delay()));
        m_logged_abandoned = total;
    }

    /// Answers a request that this process read, after a pause, only when its caller no longer waited. It
    /// must not be relayed with a new time limit: the caller may have been answered elsewhere meanwhile.
    void answer_late_request(const http_request& request, duration read_delay,
                             const http_responder& respond) {
        ++m_late_requests;
        log_event(log_level::warn, "request_read_late")
            .add("method", request.method)
            .add("target", request.target)
            .add("delay_ms", to_milliseconds(read_delay));
        auto response = make_error_response(503, "too_late", "not accepted: read after its time limit");
        add_retry_after(response, retry_after_late_read);
        respond(response);
    }

    static void add_retry_after(http_response& response, duration wait) {
        if (wait > duration{0}) {
            response.headers.add("Retry-After", std::to_string(std::chrono::ceil<seconds>(wait).count()));
        }
    }

    static http_response make_response(const relay_outcome& outcome) {
        http_response response;
        switch (outcome.result) {
        case relay_outcome::kind::answered:
            response.status = outcome.status;
            response.body = outcome.body;
            add_retry_after(response, outcome.retry_after);
            return response;
        case relay_outcome::kind::never_sent:
            response = make_error_response(503, "no_leader", "not accepted: no instance leads at present");
            add_retry_after(response, outcome.retry_after);
            return response;
        case relay_outcome::kind::not_read:
            response = make_error_response(503, "no_answer", "nothing was changed: ask again");
            add_retry_after(response, outcome.retry_after);
            return response;
        case relay_outcome::kind::unknown:
            return make_error_response(504, "unknown", "no answer came; send it again under the same id");
        }
        return response;
    }

    void answer_readiness_probe(const http_request& request, const http_responder& respond) {
        http_response response;
        const bool is_ready = m_link.is_connected() && !m_is_stopping;
        response.status = request.get_path() != m_settings.ready_path ? 404 : is_ready ? 200 : 503;
        respond(response);
    }

    void stop() {
        if (m_is_stopping) {
            return;
        }
        m_is_stopping = true;
        log_event(log_level::info, "stopping")
            .add("id", m_settings.id)
            .add("connections", static_cast<std::uint64_t>(m_caller_listener.get_connections()))
            .add("open", static_cast<std::uint64_t>(m_caller_listener.get_open_requests()));
        m_caller_listener.close_connections_after_responses();
        m_stop_deadline = m_loop.now() + m_settings.stop_limit;
        m_loop.call_after(m_settings.drain_wait, [this] {
            m_caller_listener.drain();
            wait_for_answers();
        });
    }

    void wait_for_answers() {
        if (m_caller_listener.get_open_requests() == 0 || m_loop.now() >= m_stop_deadline) {
            m_loop.stop();
            return;
        }
        m_loop.call_after(milliseconds{20}, [this] { wait_for_answers(); });
    }

    const gateway_settings m_settings;
    memory_budget m_memory;
    http_limits m_limits; ///< in effect for callers
    event_loop m_loop;
    leader_link m_link;
    http_listener m_caller_listener;
    http_listener m_readiness_listener;
    metrics_registry m_metrics;
    std::unique_ptr<http_listener> m_metrics_listener;
    endpoint_report m_report{m_memory};
    std::uint64_t m_logged_abandoned = 0;
    std::uint64_t m_late_requests = 0; ///< read only when their callers no longer waited
    bool m_is_stopping = false;
    time_point m_stop_deadline{};
};

} // namespace

int run_gateway_daemon(const gateway_settings& settings) {
    gateway daemon(settings);
    return daemon.run();
}

} // namespace poplarpitch
