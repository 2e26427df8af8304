#pragma once

#include "poplarpitch/core/hash.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/scheduler/scheduler_dialect.h"
#include "poplarpitch/scheduler/scheduler_parts.h"
#include "poplarpitch/scheduling/configuration_checker.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <string>
#include <utility>
#include <variant>

namespace poplarpitch {

/// Handles the requests of workers and operators. An instance that does not lead redirects them to the
/// leader. It answers 503 when it knows no leader, or when it leads but has no valid lease. Thread safety:
/// the loop's thread.
template <scheduler_dialect Dialect>
class control_service {
public:
    /// Precondition: `parts` and `agent` outlive the object.
    control_service(scheduler_parts& parts, relay_agent& agent) : m_parts(parts), m_agent(agent) {}

    /// Handles a request.
    void handle(http_request request, http_responder respond) {
        auto call = Dialect::read_control_call(request);
        if (!m_parts.may_answer()) {
            if (!try_relay(call, respond)) {
                respond(make_redirect(request));
            }
            return;
        }
        std::visit([&](auto& item) { answer(item, std::move(respond)); }, call);
    }

private:
    static http_response make_response(int status, std::string body = {}) {
        http_response response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    /// Accepts a heartbeat on behalf of the leader. Returns false for any other call, and for a heartbeat of
    /// a worker that is draining: only the leader can answer it, after a commit.
    bool try_relay(const control_call& call, const http_responder& respond) {
        const auto now = m_parts.loop.now();
        const auto* heartbeat = std::get_if<heartbeat_call>(&call);
        if (heartbeat == nullptr || heartbeat->report.is_draining || !m_agent.can_relay(now)) {
            return false;
        }
        m_agent.on_report(heartbeat->report, now);
        respond(make_response(200, make_heartbeat_answer(m_agent.pick(heartbeat->report))));
        return true;
    }

    /// Returns the body that tells a worker where to send its later heartbeats.
    [[nodiscard]] std::string make_heartbeat_answer(std::uint32_t ip) const {
        const auto port = static_cast<std::uint16_t>(m_parts.settings.control_port);
        return Dialect::format_heartbeat_answer(format_address({ip, port}));
    }

    [[nodiscard]] http_response make_redirect(const http_request& request) const {
        const auto leader = m_parts.log.get_leader_ip();
        const bool is_self = format_ip(leader) == m_parts.settings.replica.host;
        if (leader == 0 || is_self) {
            return make_error_response(503, "no_leader", "no instance leads at present");
        }
        auto response = make_response(307);
        const auto port = static_cast<std::uint16_t>(m_parts.settings.control_port);
        response.headers.add("Location", "http://" + format_address({leader, port}) + request.target);
        return response;
    }

    /// Returns a handler that answers with a command's commit result. An unknown outcome is never answered as
    /// a refusal.
    static auto make_result_handler(std::string body, http_responder respond) {
        return [body = std::move(body), respond = std::move(respond)](commit_result outcome) {
            if (outcome == commit_result::applied) {
                respond(make_response(200, body));
                return;
            }
            if (outcome == commit_result::unreadable) {
                respond(make_error_response(400, "unreadable", "a text of the request is not UTF-8"));
                return;
            }
            respond(make_error_response(503, "unknown", "leadership was lost; send it again"));
        };
    }

    void answer(const heartbeat_call& call, http_responder respond) {
        const auto& report = call.report;
        const auto relay = m_parts.relays.pick(report.data_centre, hash_bytes(report.incarnation.id));
        auto body =
            make_heartbeat_answer(relay.value_or(parse_ip(m_parts.settings.replica.host).value_or(0)));
        if (!m_parts.dispatch.on_heartbeat(call.report, m_parts.loop.now())) {
            respond(make_response(200, std::move(body)));
            return;
        }
        job_wire::job_command command;
        command.mutable_retire()->set_worker(call.report.incarnation.id);
        command.mutable_retire()->set_born_ms(call.report.incarnation.process_start_ms);
        m_parts.batcher.add(std::move(command), make_result_handler(std::move(body), std::move(respond)));
    }

    void answer(const deregister_call& call, const http_responder& respond) {
        m_parts.dispatch.on_deregister(call.worker, m_parts.loop.now());
        respond(make_response(200));
    }

    void answer(put_config_call& call, http_responder respond) {
        const auto current_version = m_parts.job_state.get_configuration().version;
        if (const auto error = find_configuration_error(call.configuration); error.has_value()) {
            log_event(log_level::warn, "config_refused")
                .add("version", call.configuration.version)
                .add("held", current_version)
                .add("reason", *error);
            respond(make_error_response(400, "invalid", *error));
            return;
        }
        log_event(log_level::info, "config_received")
            .add("version", call.configuration.version)
            .add("held", current_version)
            .add("queues", static_cast<std::uint64_t>(call.configuration.queues.size()));
        job_wire::job_command command;
        if (m_parts.job_state.get_configuration().has_invalid_version()) {
            if (!m_parts.log.do_all_members_know(job_state_machine::command_format)) {
                refuse_to_replace(call.configuration.version, respond);
                return;
            }
            encode(call.configuration, *command.mutable_replace_config());
        } else if (call.configuration.version <= current_version) {
            respond(make_response(200)); // a newer version is in force, or a repeated request
            return;
        } else {
            encode(call.configuration, *command.mutable_config());
        }
        m_parts.batcher.add(std::move(command), make_result_handler({}, std::move(respond)));
    }

    /// Asks the operator to send a configuration again. An instance of an earlier release, which skips the
    /// command that replaces a configuration with an invalid version, would keep the former one and might
    /// lead later.
    static void refuse_to_replace(std::uint64_t version, const http_responder& respond) {
        constexpr const char* reason =
            "the version in effect is invalid, and not all instances can replace it yet";
        log_event(log_level::warn, "config_delayed").add("version", version).add("reason", reason);
        respond(make_error_response(503, "mixed_releases", reason));
    }

    void answer(const get_config_call&, http_responder respond) {
        m_parts.log.read([this, respond = std::move(respond)](bool is_confirmed) {
            const auto& configuration = m_parts.job_state.get_configuration();
            if (!is_confirmed || configuration.version == 0) {
                respond(make_error_response(503, "unsure", "the newest configuration is not known here"));
                return;
            }
            respond(make_response(200, configuration.document));
        });
    }

    void answer(const drain_call& call, http_responder respond) {
        if (!m_parts.dispatch.is_data_centre_known(call.data_centre)) {
            refuse_unknown_data_centre(call, respond);
            return;
        }
        log_event(log_level::info, "drain_received")
            .add("data_centre", call.data_centre)
            .add("undo", call.undo ? "yes" : "no");
        // Also committed when it changes nothing, so that the answer is true after the latest order.
        job_wire::job_command command;
        command.mutable_drain()->set_name(call.data_centre);
        command.mutable_drain()->set_undo(call.undo);
        m_parts.batcher.add(std::move(command), make_result_handler({}, std::move(respond)));
    }

    /// Refuses an order for a data centre without workers. Until all workers have had the time to report, the
    /// operator is asked to send it again.
    void refuse_unknown_data_centre(const drain_call& call, const http_responder& respond) {
        const bool is_sure = m_parts.dispatch.have_workers_reported(m_parts.loop.now());
        log_event(log_level::warn, "call_refused")
            .add("reason", "the data centre is not known")
            .add("data_centre", call.data_centre)
            .add("sure", is_sure ? "yes" : "no");
        respond(is_sure ? make_error_response(404, "unknown_data_centre", "no worker is in this data centre")
                        : make_error_response(503, "unsure", "the workers have not all reported yet"));
    }

    void answer(const unsupported_call& call, const http_responder& respond) {
        log_event(log_level::warn, "call_refused").add("reason", call.reason);
        respond(make_error_response(501, "not_supported", call.reason));
    }

    void answer(const malformed_call& call, const http_responder& respond) {
        log_event(log_level::warn, "call_refused").add("reason", call.reason);
        respond(make_error_response(400, "malformed", call.reason));
    }

    void answer(const unknown_call&, const http_responder& respond) {
        respond(make_error_response(404, "not_found", "no such call"));
    }

    scheduler_parts& m_parts;
    relay_agent& m_agent;
};

} // namespace poplarpitch
