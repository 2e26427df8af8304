#pragma once

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/net/endpoint_report.h"
#include "poplarpitch/net/metrics_endpoint.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/scheduler/caller_service.h"
#include "poplarpitch/scheduler/control_service.h"
#include "poplarpitch/scheduler/scheduler_dialect.h"
#include "poplarpitch/scheduler/scheduler_metrics.h"
#include "poplarpitch/scheduler/scheduler_parts.h"
#include "poplarpitch/scheduler/worker_orders.h"
#include "poplarpitch/storage/storage_error.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/logging.h"
#include "poplarpitch/telemetry/storage_failure.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <csignal>
#include <functional>
#include <memory>
#include <vector>

namespace poplarpitch {

/// A scheduler instance: takes part in the replicated log, and schedules while it leads.
///
/// One thread runs everything: the instances have one core, and a separate I/O thread would add a wake-up to
/// each message. Thread safety: none.
template <scheduler_dialect Dialect>
class scheduler_daemon {
public:
    explicit scheduler_daemon(const scheduler_settings& settings)
        : m_parts(settings, make_handler()), m_link(m_parts.loop, m_parts.caller),
          m_agent(settings.relay, {parse_ip(settings.replica.host).value_or(0), settings.data_centre},
                  [this](const worker_order& order, relay_agent::outcome_handler on_outcome) {
                      m_link.send(order, std::move(on_outcome));
                  }),
          m_orders(m_parts, m_link), m_callers(m_parts), m_control(m_parts, m_agent),
          m_listener(m_parts.loop, m_parts.memory, make_listener_settings(settings),
                     [this](http_request request, http_responder respond) {
                         m_control.handle(std::move(request), std::move(respond));
                     }) {}

    /// Runs until SIGTERM. Returns the process's exit code.
    int run() {
        auto& loop = m_parts.loop;
        loop.on_iteration_end(
            [this] { flush(); }); // before the log's handler, so that one iteration proposes and syncs
        const auto started = m_parts.log.start();
        const auto port = m_listener.start();
        if (!started || !port) {
            log_event(log_level::error, "start_failed")
                .add("error", started ? port.error() : started.error())
                .add("host", m_parts.settings.control_host);
            return start_failed_exit_code;
        }
        loop.on_iteration_end([this] { m_orders.send_all(); });
        loop.on_iteration_end([this] { send_answers(); });
        m_report.add(endpoint_kind::control, m_listener);
        loop.on_iteration_end([this] { m_report.log(m_parts.loop.now()); });
        loop.on_iteration_end([] { flush_logs(); });
        start_metrics();
        loop.on_signal(SIGTERM, [this] { stop(); });
        loop.on_signal(SIGINT, [this] { stop(); });
        loop.on_signal(SIGHUP, [] {
            log_event(log_level::info, "reload_ignored").add("reason", "seeds only count at startup");
        });
        log_event(log_level::info, "started")
            .add("id", m_parts.settings.id)
            .add("node", m_parts.log.get_id())
            .add("port", port.value());
        tick();
        loop.run();
        log_event(log_level::info, "stopped").add("id", m_parts.settings.id);
        return 0;
    }

private:
    static constexpr int start_failed_exit_code = 1;
    static constexpr int control_kernel_buffer = 64 << 10; // a configuration of many queues is some 100 KB
    static constexpr duration tick_interval =
        milliseconds{10}; // of a leader, whose timers may be late by this
    static constexpr duration idle_interval = milliseconds{200};

    static http_listener_settings make_listener_settings(const scheduler_settings& settings) {
        http_listener_settings listener;
        listener.host = settings.control_host;
        listener.port = settings.control_port;
        listener.max_connections = settings.max_accepted;
        listener.kind = endpoint_kind::control;
        listener.limits = settings.control_limits;
        listener.kernel_buffer = control_kernel_buffer;
        return listener;
    }

    replica_handler make_handler() {
        replica_handler handler;
        handler.command_format = job_state_machine::command_format;
        handler.on_command = [this](const log_entry& entry) {
            on_command(entry);
        };
        handler.on_save = [this] {
            return m_parts.job_state.save();
        };
        handler.on_load = [this](const std::string& bytes) {
            if (!m_parts.job_state.load(bytes)) {
                log_event(log_level::error, "snapshot_unreadable")
                    .add("bytes", static_cast<std::uint64_t>(bytes.size()));
                // With an empty state it could be elected and would have lost all that was accepted.
                exit_on_storage_failure(make_error_code(storage_errc::corrupt), "snapshot");
            }
        };
        handler.on_leading = [this](log_term term) {
            m_agent.on_leading(term);
            m_callers.on_leading();
            m_parts.relays.start_leading(term, m_agent.get_other_relays(), m_parts.loop.now());
            m_parts.dispatch.start_leading(term, m_parts.loop.now(), get_wall_ms());
            m_parts.loop.post([] {}); // wakes the loop to send the new orders
        };
        handler.on_leading_lost = [this] {
            m_parts.relays.stop_leading();
            m_parts.dispatch.stop_leading();
            m_parts.batcher.drop_pending();
        };
        handler.on_frame = [this](const job_wire::cluster_frame& frame, const auto& reply) {
            if (frame.has_orders()) {
                on_orders(frame.orders(), reply);
            } else if (frame.has_answers()) {
                m_orders.on_answers(frame.answers());
            } else if (frame.has_request()) {
                m_callers.handle(frame.request(), [reply](const job_wire::relay_answer& answer) {
                    job_wire::cluster_frame back;
                    *back.mutable_answer() = answer;
                    reply(back);
                });
            }
        };
        handler.add_to_status = [this](job_wire::cluster_status& status) {
            const auto& configuration = m_parts.job_state.get_configuration();
            status.set_config_version(configuration.version);
            encode(configuration.limits, *status.mutable_limits());
        };
        handler.get_figures = [this] {
            return leader_figures{m_parts.dispatch.get_backlog_time(), m_parts.dispatch.count_open_jobs()};
        };
        return handler;
    }

    void start_metrics() {
        const auto& settings = m_parts.settings;
        if (settings.metrics_port == 0) {
            return;
        }
        m_metrics_listener =
            serve_metrics(m_parts.loop, m_parts.memory, settings.replica.host, settings.metrics_port,
                          [this] { return m_metrics.format(m_parts, m_report); });
        if (m_metrics_listener == nullptr) {
            log_event(log_level::warn, "metrics_not_served").add("port", settings.metrics_port);
            return;
        }
        m_report.add(endpoint_kind::metrics, *m_metrics_listener);
    }

    void on_command(const log_entry& entry) {
        m_events.clear();
        if (!m_parts.batcher.apply(entry, m_events) && m_parts.log.is_leading()) {
            give_up_lead("a committed batch cannot be parsed");
        }
        const auto now = m_parts.loop.now();
        const auto wall = get_wall_ms();
        for (const auto& event : m_events) {
            m_parts.dispatch.on_event(event, now, wall);
        }
    }

    void flush() {
        m_parts.dispatch.on_load({m_parts.loop.get_busy_share(), m_parts.loop.get_lag()});
        if (m_parts.may_answer()) {
            m_parts.dispatch.tick(m_parts.loop.now(), get_wall_ms(), m_parts.batcher.can_flush());
        }
        for (auto& command : m_parts.dispatch.take_commands()) {
            m_parts.batcher.add(std::move(command), [this](commit_result outcome) {
                if (outcome == commit_result::unreadable) {
                    give_up_lead("a command cannot be parsed");
                }
            });
        }
        m_parts.batcher.flush();
        for (const auto& timing : m_parts.dispatch.take_timings()) {
            m_metrics.observe(timing);
        }
    }

    /// Hands the lead over after a command of the dispatcher was lost. The dispatcher counts on assignments
    /// and ends that no instance has, and would never repeat them; the next leader starts from the log.
    void give_up_lead(const char* reason) {
        log_event(log_level::error, "leadership_given_up").add("reason", reason);
        m_is_giving_up_lead = true;
        m_parts.log.resign();
    }

    /// Handles a frame of orders from the leader.
    void on_orders(const job_wire::relay_orders& frame,
                   const std::function<void(const job_wire::cluster_frame&)>& reply) {
        if (auto refusal = m_agent.on_orders(frame, m_parts.loop.now()); refusal.has_value()) {
            job_wire::cluster_frame back;
            *back.mutable_answers() = std::move(*refusal);
            reply(back);
            return;
        }
        m_reply_to_leader = reply;
    }

    /// Sends due answers and heartbeats to the leader, at most a few frames in 10 ms.
    void send_answers() {
        if (auto answers = m_agent.take_answers(m_parts.loop.now()); answers.has_value()) {
            job_wire::cluster_frame frame;
            *frame.mutable_answers() = std::move(*answers);
            m_reply_to_leader(frame);
        }
        const auto due = m_agent.get_due();
        if (due.has_value() && m_answer_timer == 0) {
            m_answer_timer = m_parts.loop.call_at(*due, [this] { m_answer_timer = 0; });
        }
    }

    void tick() {
        m_is_giving_up_lead = m_is_giving_up_lead && m_parts.log.is_leading();
        if (m_is_giving_up_lead) {
            m_parts.log.resign(); // the transfer may have failed
        }
        const auto pause = m_parts.log.is_leading() ? tick_interval : idle_interval;
        m_parts.loop.call_after(pause, [this] { tick(); });
    }

    void stop() {
        log_event(log_level::info, "stopping").add("id", m_parts.settings.id);
        m_parts.log.resign();
        m_listener.close_connections_after_responses();
        m_stop_deadline = m_parts.loop.now() + m_parts.settings.stop_wait;
        wait_for_answers();
    }

    void wait_for_answers() {
        const bool is_free = m_listener.get_open_requests() == 0 && !m_parts.log.is_leading();
        if (is_free || m_parts.loop.now() >= m_stop_deadline) {
            m_parts.loop.stop();
            return;
        }
        m_parts.loop.call_after(milliseconds{20}, [this] { wait_for_answers(); });
    }

    std::vector<job_state_event> m_events;
    bool m_is_giving_up_lead = false; ///< until another instance leads
    scheduler_parts m_parts;
    worker_link<Dialect> m_link;
    relay_agent m_agent; ///< in use while another instance leads
    std::function<void(const job_wire::cluster_frame&)> m_reply_to_leader;
    timer_id m_answer_timer = 0;
    worker_orders<Dialect> m_orders;
    caller_service<Dialect> m_callers;
    control_service<Dialect> m_control;
    http_listener m_listener;
    scheduler_metrics m_metrics;
    std::unique_ptr<http_listener> m_metrics_listener;
    endpoint_report m_report{m_parts.memory};
    time_point m_stop_deadline{};
};

} // namespace poplarpitch
