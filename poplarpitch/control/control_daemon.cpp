#include "poplarpitch/control/control_daemon.h"

#include "poplarpitch/control/cluster_bootstrap.h"
#include "poplarpitch/control/control_node.h"
#include "poplarpitch/core/stop_signal.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/transport/control_client.h"
#include "poplarpitch/transport/control_server.h"
#include "poplarpitch/transport/http_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

namespace poplarpitch {
namespace {

constexpr int start_failed_code = 1;
constexpr duration bootstrap_poll_interval = milliseconds{100};
constexpr duration status_timeout = milliseconds{300};
constexpr int http_threads = 8; // health checks only

/// Queries the status of the other initial voters. The answer of one that was not reached is empty. Blank
/// instances answer too.
std::vector<wire::query_answer> query_initial_voters(const daemon_settings& settings,
                                                     control_client& client) {
    std::vector<wire::query_answer> answers;
    for (const auto& peer : settings.control_peers) {
        if (peer.id == settings.node_id || peer.is_standby) {
            continue;
        }
        wire::query_request request;
        request.set_kind(wire::query_status);
        request.set_stale_allowed(true);
        auto answer = client.query_node(peer.id, request, system_clock().now() + status_timeout);
        answers.push_back(answer ? std::move(answer.value()) : wire::query_answer{});
    }
    return answers;
}

std::vector<peer_bootstrap_state> probe_initial_voters(const daemon_settings& settings,
                                                       control_client& client) {
    std::vector<peer_bootstrap_state> initial_voters;
    for (const auto& answer : query_initial_voters(settings, client)) {
        const auto& voters = answer.status().members().voters();
        const bool is_voter = std::find(voters.begin(), voters.end(), settings.node_id) != voters.end();
        initial_voters.push_back({answer.answered(), answer.status().commit() > 0, is_voter});
    }
    return initial_voters;
}

bool is_standby(const daemon_settings& settings) {
    for (const auto& peer : settings.control_peers) {
        if (peer.id == settings.node_id) {
            return peer.is_standby;
        }
    }
    return true; // not listed in the settings, so not an initial voter
}

/// Waits until it is decided whether the blank instance creates a cluster or joins one, and writes that to
/// the data folder. Returns false when the instance must not start.
bool bootstrap_cluster(const daemon_settings& settings, control_node& node, stop_signal& signal) {
    control_client client(settings.control_peers);
    while (!signal.is_raised()) {
        const auto action = decide_bootstrap(is_standby(settings), probe_initial_voters(settings, client));
        if (action == bootstrap_action::refuse) {
            log_event(log_level::error, "lost_disk")
                .add("node", settings.node_id)
                .add("reason",
                     "the cluster lists this node as a voter, but its data folder is blank: remove the "
                     "node and start it again under a new node_id");
            return false;
        }
        if (action == bootstrap_action::wait) {
            signal.wait_for(bootstrap_poll_interval);
            continue;
        }
        const bool is_new_cluster = action == bootstrap_action::create;
        const auto bootstrapped =
            node.bootstrap(is_new_cluster ? get_initial_voters(settings.control_peers) : raft_membership{});
        if (!bootstrapped) {
            log_event(log_level::error, "storage_failed").add("error", bootstrapped.error());
            return false;
        }
        log_event(log_level::info, is_new_cluster ? "cluster_founded" : "cluster_joined")
            .add("node", settings.node_id);
        return true;
    }
    return false;
}

/// Waits until every other initial voter has written the initial membership. No instance may start an
/// election before: a commit by the first two would make the third, still blank, look like a voter that lost
/// its disk.
void wait_for_initial_voters(const daemon_settings& settings, stop_signal& signal) {
    control_client client(settings.control_peers);
    while (!signal.is_raised()) {
        const auto answers = query_initial_voters(settings, client);
        const bool is_complete =
            std::all_of(answers.begin(), answers.end(), [](const wire::query_answer& answer) {
                return answer.answered() && answer.status().role() != "blank";
            });
        if (is_complete) {
            return;
        }
        signal.wait_for(bootstrap_poll_interval);
    }
}

wire::query_answer make_bootstrap_answer(const daemon_settings& settings, bool is_blank) {
    wire::query_answer answer;
    answer.set_answered(true);
    answer.mutable_status()->set_node(settings.node_id);
    answer.mutable_status()->set_role(is_blank ? "blank" : "forming");
    return answer;
}

http_response answer_health(const http_request& request, bool is_ready) {
    const auto path = request.get_path();
    if (path == "/healthz" || (path == "/readyz" && is_ready)) {
        http_response response;
        response.body = "{\"status\":\"ok\"}\n";
        return response;
    }
    return path == "/readyz" ? make_error_response(503, "not_ready", "the cluster is not formed yet")
                             : make_error_response(404, "not_found", "no such path");
}

} // namespace

int run_control_daemon(const daemon_settings& settings) {
    stop_signal signal;
    control_node node(settings, control_settings{});
    const auto opened = node.open();
    if (!opened) {
        log_event(log_level::error, "storage_failed")
            .add("error", opened.error())
            .add("place", node.get_error_location());
        return start_failed_code;
    }
    std::atomic<bool> is_running{false};
    std::atomic<bool> is_blank{node.is_blank()};
    control_handler handler;
    handler.on_message = [&](raft_message message) {
        if (is_running) {
            node.deliver(std::move(message));
        }
    };
    handler.on_renew = [&](const wire::renew_request& request) {
        return is_running ? node.renew(request) : wire::renew_answer{};
    };
    handler.on_propose = [&](const wire::propose_request& request) {
        return is_running ? node.propose(request) : wire::propose_answer{};
    };
    handler.on_propose_batch = [&](const wire::propose_batch_request& request) {
        return is_running ? node.propose_batch(request) : wire::propose_batch_answer{};
    };
    handler.on_query = [&](const wire::query_request& request) {
        return is_running ? node.query(request) : make_bootstrap_answer(settings, is_blank);
    };
    handler.on_members = [&](const wire::member_request& request) {
        return is_running ? node.change_members(request) : wire::member_answer{};
    };
    control_server server(settings.cluster, handler);
    const auto port = server.start(settings.host, settings.grpc_port);
    http_server_settings http_settings;
    http_settings.host = settings.host;
    http_settings.port = settings.http_port;
    http_settings.max_connections = http_threads;
    http_server health(http_settings,
                       [&](const http_request& request) { return answer_health(request, is_running); });
    const auto http_port = health.start();
    if (!port || !http_port) {
        log_event(log_level::error, "listen_failed")
            .add("host", settings.host)
            .add("grpc_port", settings.grpc_port);
        return start_failed_code;
    }
    log_event(log_level::info, "listening")
        .add("node", settings.node_id)
        .add("grpc_port", port.value())
        .add("http_port", http_port.value());

    if (node.is_blank()) {
        if (!bootstrap_cluster(settings, node, signal)) {
            return signal.is_raised() ? 0 : start_failed_code;
        }
        is_blank = false;
        if (!is_standby(settings)) {
            wait_for_initial_voters(settings, signal);
        }
    }
    std::thread control([&] { node.run(); });
    is_running = true;
    log_event(log_level::info, "ready").add("node", settings.node_id);

    signal.wait();
    log_event(log_level::info, "stopping").add("node", settings.node_id);
    node.resign();
    is_running = false;
    server.stop();
    node.stop();
    control.join();
    health.stop();
    log_event(log_level::info, "stopped").add("node", settings.node_id);
    return 0;
}

} // namespace poplarpitch
