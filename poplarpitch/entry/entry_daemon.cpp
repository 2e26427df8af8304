#include "poplarpitch/entry/entry_daemon.h"

#include "poplarpitch/core/stop_signal.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/announce_handler.h"
#include "poplarpitch/entry/call_handler.h"
#include "poplarpitch/entry/entry_settings.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/event_batcher.h"
#include "poplarpitch/entry/event_posting.h"
#include "poplarpitch/entry/operator_handler.h"
#include "poplarpitch/entry/session_keeper.h"
#include "poplarpitch/entry/session_lease.h"
#include "poplarpitch/entry/task_caller.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/metrics_registry.h"
#include "poplarpitch/transport/control_client.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "poplarpitch/transport/http_server.h"
#include "poplarpitch/transport/thread_pool.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <unistd.h>

namespace poplarpitch {
namespace {

constexpr int start_failure_exit_code = 1;

/// The components of one entry and their threads. The control thread renews the session and runs periodic
/// work; the traffic threads serve requests.
class entry_daemon {
public:
    explicit entry_daemon(const daemon_settings& settings)
        : m_settings(settings), m_control(settings.control_peers), m_targets(make_client_settings(settings)),
          m_state(settings.id, settings.data_centre),
          m_calls(m_state, m_targets, m_control, m_lease, m_metrics, settings.id,
                  make_request_prefix(settings)),
          m_batcher(m_control), m_operators(m_state, m_control, m_batcher, settings.id),
          m_tasks(m_state, m_targets, m_batcher, m_lease),
          m_server(make_server_settings(settings),
                   [this](const http_request& request) { return answer(request); }) {}

    int run() {
        const auto port = m_server.start();
        if (!port) {
            log_event(log_level::error, "listen_failed")
                .add("host", m_settings.host)
                .add("port", m_settings.http_port);
            return start_failure_exit_code;
        }
        const auto address = absl::StrCat(m_settings.host, ":", port.value());
        m_announcements = std::make_unique<announce_handler>(m_state, m_control, m_batcher, m_lease,
                                                             m_metrics, m_settings.id, address);
        m_is_serving = true;
        log_event(log_level::info, "listening").add("entry", m_settings.id).add("http_port", port.value());
        m_session_keeper = std::make_unique<session_keeper>(m_state, m_control, m_lease, m_settings.id,
                                                            address, m_settings.data_centre);
        m_control_thread = std::thread([this] { run_control_thread(); });
        m_signal.wait();
        stop();
        return 0;
    }

private:
    static http_client_settings make_client_settings(const daemon_settings& settings) {
        http_client_settings client;
        client.max_body = settings.max_body;
        return client;
    }

    static http_server_settings make_server_settings(const daemon_settings& settings) {
        http_server_settings server;
        server.host = settings.host;
        server.port = settings.http_port;
        server.max_connections = settings.http_threads;
        server.max_body = settings.max_body;
        return server;
    }

    static std::string make_request_prefix(const daemon_settings& settings) {
        return absl::StrCat(settings.id, "-", absl::Hex(static_cast<std::uint64_t>(get_wall_ms())), "-",
                            ::getpid(), "-");
    }

    // ---- traffic threads

    http_response answer(const http_request& request) {
        if (absl::StartsWith(request.target, "/v1/call/")) {
            if (request.method != "POST") {
                return make_error_response(405, "method_not_allowed", "use POST");
            }
            ++m_calls_in_flight;
            auto response = m_calls.handle(request);
            --m_calls_in_flight;
            if (m_is_stopping) {
                response.headers.add("Poplarpitch-Stopping", "true");
            }
            return response;
        }
        const auto path = request.get_path();
        if (path == "/v1/targets/announce" && request.method == "POST") {
            if (!m_is_serving) {
                return make_error_response(503, "not_ready", "this entry starts or stops");
            }
            return m_announcements->handle(request);
        }
        if (path == "/healthz") {
            return make_text("ok\n");
        }
        if (path == "/readyz") {
            return is_ready() ? make_text("ok\n")
                              : make_error_response(503, "not_ready", "no session with control, or stopping");
        }
        if (path == "/metrics") {
            return make_metrics();
        }
        return m_operators.handle(request);
    }

    [[nodiscard]] bool is_ready() const {
        return m_is_serving && !m_is_stopping && !m_state.is_draining() && m_lease.is_valid(m_clock.now()) &&
               m_state.get_config_version() > 0;
    }

    static http_response make_text(const std::string& text) {
        http_response response;
        response.content_type = "text/plain; version=0.0.4";
        response.body = text;
        return response;
    }

    http_response make_metrics() {
        const auto counts = m_state.get_counts();
        m_metrics.set("poplarpitch_owned_workers", {}, static_cast<double>(counts.workers));
        m_metrics.set("poplarpitch_ready_workers", {}, static_cast<double>(counts.ready_workers));
        m_metrics.set("poplarpitch_waiting_requests", {}, static_cast<double>(counts.waiting));
        m_metrics.set("poplarpitch_tasks", {}, static_cast<double>(counts.tasks));
        m_metrics.set("poplarpitch_config_version", {}, static_cast<double>(m_state.get_config_version()));
        m_metrics.set("poplarpitch_session_valid", {}, m_lease.is_valid(m_clock.now()) ? 1 : 0);
        return make_text(m_metrics.format());
    }

    // ---- control thread

    void run_control_thread() {
        auto next_renewal = m_clock.now();
        while (!m_is_control_stopped) {
            const auto now = m_clock.now();
            if (now >= next_renewal) {
                const bool is_granted = m_session_keeper->renew();
                next_renewal =
                    now + (is_granted ? m_entry_settings.renew_interval : m_entry_settings.tick_interval / 2);
            }
            run_due_work(m_state.tick(get_wall_ms()));
            absl::SleepFor(absl::Nanoseconds(m_entry_settings.tick_interval.count()));
        }
    }

    void run_due_work(entry_state::due_work due) {
        for (auto& action : due.actions) {
            m_task_threads.run([this, action = std::move(action)] { m_tasks.call(action); });
        }
        if (!due.events.empty()) {
            post_events(m_batcher, m_state, std::move(due.events));
        }
    }

    // ---- shutdown

    /// Shuts down in order. First the entry reports itself as not ready, so that the load balancer stops
    /// routing to it. Its workers move to other entries while it still serves. Then it waits for the requests
    /// in flight, at most for `drain_wait`.
    void stop() {
        log_event(log_level::info, "stopping")
            .add("entry", m_settings.id)
            .add("in_flight", m_calls_in_flight.load());
        m_is_stopping = true;
        m_signal.reset();
        m_session_keeper->drain();
        wait_until([this] { return m_state.get_counts().workers == 0; }, m_entry_settings.drain_grace * 4);
        absl::SleepFor(absl::Nanoseconds(m_entry_settings.drain_grace.count()));
        const bool is_drained =
            wait_until([this] { return m_calls_in_flight == 0; }, m_entry_settings.drain_wait);
        if (!is_drained) {
            log_event(log_level::warn, "drain_timed_out").add("in_flight", m_calls_in_flight.load());
        }
        m_server.stop();
        m_is_control_stopped = true;
        m_control_thread.join();
        m_task_threads.shut_down();
        m_batcher.finish();
        m_session_keeper->close();
        log_event(log_level::info, "stopped").add("entry", m_settings.id);
    }

    template <class Condition>
    bool wait_until(Condition condition, duration limit) {
        const auto end = m_clock.now() + limit;
        while (!condition()) {
            if (m_clock.now() >= end) {
                return false;
            }
            if (m_signal.wait_for(milliseconds{20})) {
                // A second signal logs how many requests are still in flight; a third is the operator's kill.
                log_event(log_level::warn, "drain_waiting").add("in_flight", m_calls_in_flight.load());
                m_signal.reset();
            }
        }
        return true;
    }

    stop_signal m_signal; // declared first because it blocks the signals for all threads
    const daemon_settings m_settings;
    const entry_settings m_entry_settings{};
    const system_clock m_clock{};
    control_client m_control;
    http_client_pool m_targets;
    metrics_registry m_metrics;
    session_lease m_lease;
    entry_state m_state;
    call_handler m_calls;
    event_batcher<control_client> m_batcher;
    operator_handler m_operators;
    task_caller m_tasks;
    thread_pool m_task_threads{m_entry_settings.task_threads};
    std::unique_ptr<announce_handler> m_announcements;
    std::unique_ptr<session_keeper> m_session_keeper;
    std::thread m_control_thread;
    std::atomic<bool> m_is_serving{false};
    std::atomic<bool> m_is_stopping{false};
    std::atomic<bool> m_is_control_stopped{false};
    std::atomic<int> m_calls_in_flight{0};
    http_server m_server;
};

} // namespace

int run_entry_daemon(const daemon_settings& settings) {
    entry_daemon daemon(settings);
    return daemon.run();
}

} // namespace poplarpitch
