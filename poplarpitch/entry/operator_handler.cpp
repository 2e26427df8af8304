#include "poplarpitch/entry/operator_handler.h"

#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/job_codec.h"
#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/transport/control_client.h"
#include "poplarpitch/transport/transport_error.h"

#include <absl/random/random.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

constexpr duration control_wait = seconds{5};
constexpr std::size_t max_config = 1 << 20;

http_response make_json(const json& body, int status = 200) {
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

/// Says what a failed call to control means to the user.
http_response make_control_error(const std::error_code& error) {
    const bool is_unknown = error == make_error_code(transport_errc::timed_out);
    if (is_unknown) {
        return make_error_response(504, "unknown",
                                   "no answer from control: the change may yet be accepted; send it "
                                   "again with the same id to find out");
    }
    return make_error_response(503, "no_control", error.message());
}

int get_status_of(state_errc code) {
    switch (code) {
    case state_errc::unknown_job:
    case state_errc::unknown_worker:
    case state_errc::unknown_intent:
        return 404;
    case state_errc::over_quota:
        return 429;
    case state_errc::unknown_tenant:
    case state_errc::unknown_batch:
    case state_errc::malformed:
    case state_errc::never_fits:
    case state_errc::invalid_config:
        return 422;
    default:
        return 409;
    }
}

const char* get_code_name(state_errc code) {
    switch (code) {
    case state_errc::version_conflict:
        return "version_conflict";
    case state_errc::unknown_job:
        return "unknown_job";
    case state_errc::over_quota:
        return "over_quota";
    case state_errc::conflicting_job:
        return "conflicting_job";
    case state_errc::never_fits:
        return "never_fits";
    case state_errc::not_allowed:
        return "not_allowed";
    default:
        return "refused";
    }
}

http_response make_state_error(const wire::command_result& outcome) {
    const auto code = static_cast<state_errc>(outcome.code());
    return make_error_response(get_status_of(code), get_code_name(code), outcome.message());
}

/// Reads `"12"`, `12` or `W/"12"`.
bool read_version(std::string text, std::uint64_t& version) {
    text = absl::StrReplaceAll(text, {{"W/", ""}, {"\"", ""}});
    return absl::SimpleAtoi(text, &version);
}

json describe(const wire::config_version& version) {
    return {{"version", version.version()},
            {"change_id", version.change_id()},
            {"author", version.author()},
            {"at_ms", version.at_ms()}};
}

} // namespace

operator_handler::operator_handler(entry_state& state, control_client& control, std::string entry_id)
    : m_state(state), m_control(control), m_entry_id(std::move(entry_id)) {}

http_response operator_handler::handle(const http_request& request) {
    const auto path = request.get_path();
    const std::vector<std::string> parts = absl::StrSplit(path, '/', absl::SkipEmpty());
    const auto is = [&](const char* method, std::size_t size, const char* kind) {
        return request.method == method && parts.size() == size && parts[1] == kind;
    };
    if (parts.size() < 2 || parts[0] != "v1") {
        return make_error_response(404, "not_found", "no such path");
    }
    if (is("GET", 2, "config")) {
        return get_config(request);
    }
    if (is("PUT", 2, "config")) {
        return put_config(request);
    }
    if (is("GET", 3, "config") && parts[2] == "history") {
        return get_history();
    }
    if (is("POST", 2, "jobs")) {
        return submit_job(request);
    }
    if (is("GET", 2, "jobs")) {
        return list_jobs(request);
    }
    if (is("GET", 3, "jobs")) {
        return get_job(parts[2]);
    }
    if (is("DELETE", 3, "jobs")) {
        return cancel_job(parts[2]);
    }
    if (is("POST", 4, "jobs") && parts[3] == "resolve") {
        return resolve_job(parts[2], request);
    }
    if (is("GET", 2, "status")) {
        return get_status();
    }
    if (is("GET", 2, "workers")) {
        return get_workers();
    }
    if (is("GET", 2, "members")) {
        return get_members();
    }
    if (is("POST", 4, "members")) {
        return change_member(parts[2], parts[3]);
    }
    if (is("GET", 2, "snapshot")) {
        return get_snapshot();
    }
    return make_error_response(404, "not_found",
                               absl::StrCat("no such path or method: ", request.method, " ", path));
}

// ---- configuration

http_response operator_handler::get_config(const http_request& request) {
    wire::query_request query;
    query.set_kind(wire::query_config);
    const auto wanted = request.get_query("version");
    std::uint64_t version = 0;
    if (!wanted.empty() && !absl::SimpleAtoi(wanted, &version)) {
        return make_error_response(400, "bad_version", "version must be a number");
    }
    query.set_version(version);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    http_response response;
    response.content_type = "text/plain";
    if (!answer.value().found()) {
        if (version != 0) {
            return make_error_response(404, "unknown_version", "this version is not kept");
        }
        response.headers.add("ETag", "\"0\"");
        return response;
    }
    response.headers.add("ETag", absl::StrCat("\"", answer.value().configs(0).version(), "\""));
    response.body = answer.value().configs(0).text();
    return response;
}

http_response operator_handler::put_config(const http_request& request) {
    std::uint64_t base = 0;
    if (!read_version(request.headers.get("If-Match"), base)) {
        return make_error_response(428, "version_required",
                                   "If-Match must name the version this change was made for");
    }
    if (request.body.size() > max_config) {
        return make_error_response(413, "body_too_large", "a configuration has at most 1 MB");
    }
    const auto parsed = parse_configuration(request.body);
    if (!parsed.errors.empty()) {
        json list = json::array();
        for (const auto& error : parsed.errors) {
            list.push_back({{"line", error.line}, {"message", error.message}});
        }
        return make_json(
            {{"error", {{"code", "invalid_config"}, {"message", parsed.errors.front().format("config")}}},
             {"errors", list}},
            422);
    }
    wire::command command;
    auto& change = *command.mutable_config();
    change.set_text(request.body);
    change.set_base_version(base);
    change.set_change_id(request.headers.get(header_change_id));
    if (change.change_id().empty()) {
        absl::BitGen random;
        change.set_change_id(absl::StrCat(m_entry_id, "-", absl::Hex(absl::Uniform<std::uint64_t>(random))));
    }
    change.set_author(request.headers.get("Poplarpitch-Author"));
    change.set_at_ms(get_wall_ms());
    const auto outcome = m_control.propose(command, m_clock.now() + control_wait);
    if (!outcome) {
        return make_control_error(outcome.error());
    }
    const auto& present = outcome.value().config();
    const bool is_accepted = outcome.value().code() == 0;
    json body = {{"version", present.version()},
                 {"change_id", change.change_id()},
                 {"repeated", outcome.value().repeated_change()}};
    if (!is_accepted) {
        body["error"] = {{"code", get_code_name(static_cast<state_errc>(outcome.value().code()))},
                         {"message", outcome.value().message()}};
    }
    auto response =
        make_json(body, is_accepted ? 200 : get_status_of(static_cast<state_errc>(outcome.value().code())));
    response.headers.add("ETag", absl::StrCat("\"", present.version(), "\""));
    return response;
}

http_response operator_handler::get_history() {
    wire::query_request query;
    query.set_kind(wire::query_history);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    json list = json::array();
    for (const auto& version : answer.value().configs()) {
        list.push_back(describe(version));
    }
    return make_json({{"versions", list}});
}

// ---- jobs

http_response operator_handler::answer_job(const wire::command& command, int success_status) {
    const auto outcome = m_control.propose(command, m_clock.now() + control_wait);
    if (!outcome) {
        return make_control_error(outcome.error());
    }
    if (outcome.value().code() != 0) {
        return make_state_error(outcome.value());
    }
    http_response response;
    response.status = success_status;
    response.body = encode_job(outcome.value().job_record()) + "\n";
    return response;
}

http_response operator_handler::submit_job(const http_request& request) {
    auto decoded = decode_job(request.body, *m_state.get_configuration());
    if (const auto* error = std::get_if<codec_error>(&decoded)) {
        return make_error_response(400, "bad_job", error->message);
    }
    wire::command command;
    auto& submitted = *command.mutable_submit()->mutable_submitted();
    submitted = std::move(std::get<wire::job>(decoded));
    submitted.set_submitted_ms(get_wall_ms());
    return answer_job(command, 202);
}

http_response operator_handler::get_job(const std::string& id) {
    wire::query_request query;
    query.set_kind(wire::query_job);
    query.set_name(id);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    if (!answer.value().found()) {
        return make_error_response(404, "unknown_job", absl::StrCat("no job is called '", id, "'"));
    }
    http_response response;
    response.body = encode_job(answer.value().jobs(0)) + "\n";
    return response;
}

http_response operator_handler::list_jobs(const http_request& request) {
    wire::query_request query;
    query.set_kind(wire::query_jobs);
    query.set_name(request.get_query("tenant"));
    query.set_stale_allowed(false);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    const auto state = request.get_query("state");
    http_response response;
    response.body = "{\"jobs\":[";
    bool is_first = true;
    for (const auto& job : answer.value().jobs()) {
        if (!state.empty() && state != get_job_state_name(job.state())) {
            continue;
        }
        absl::StrAppend(&response.body, is_first ? "" : ",", encode_job(job));
        is_first = false;
    }
    response.body += "]}\n";
    return response;
}

http_response operator_handler::cancel_job(const std::string& id) {
    wire::command command;
    command.mutable_cancel()->set_job(id);
    command.mutable_cancel()->set_at_ms(get_wall_ms());
    return answer_job(command, 202);
}

http_response operator_handler::resolve_job(const std::string& id, const http_request& request) {
    wire::command command;
    command.mutable_resolve()->set_job(id);
    command.mutable_resolve()->set_at_ms(get_wall_ms());
    const auto action = request.get_query("action");
    if (action == "rerun") {
        command.mutable_resolve()->set_action(wire::resolve_rerun);
    } else if (action == "done") {
        command.mutable_resolve()->set_action(wire::resolve_done);
    } else if (action == "failed") {
        command.mutable_resolve()->set_action(wire::resolve_failed);
    } else {
        return make_error_response(400, "bad_action", "action must be rerun, done or failed");
    }
    return answer_job(command, 200);
}

// ---- the system

http_response operator_handler::get_status() {
    wire::query_request query;
    query.set_kind(wire::query_status);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    const auto counts = m_state.get_counts();
    json body = {{"entry", m_entry_id},
                 {"config_version_here", m_state.get_config_version()},
                 {"owned_workers", counts.workers},
                 {"ready_workers", counts.open_workers},
                 {"waiting_requests", counts.waiting},
                 {"tasks_here", counts.tasks},
                 {"evictions_here", counts.evictions}};
    if (!answer) {
        body["control"] = {{"error", answer.error().message()}};
        return make_json(body);
    }
    const auto& status = answer.value().status();
    json in_force = json::object();
    for (const auto& item : status.in_force()) {
        in_force[item.entry()] = item.version();
    }
    body["control"] = {{"leader", status.leader()},
                       {"term", status.term()},
                       {"commit", status.commit()},
                       {"applied", status.applied()},
                       {"config_version", status.config_version()},
                       {"in_force", in_force},
                       {"entries", status.sessions()},
                       {"workers", status.workers()},
                       {"jobs_queued", status.jobs_queued()},
                       {"jobs_active", status.jobs_active()},
                       {"jobs_ended", status.jobs_ended()},
                       {"keys", status.intents()}};
    return make_json(body);
}

http_response operator_handler::get_workers() {
    wire::query_request query;
    query.set_kind(wire::query_workers);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    json body = {{"entry", m_entry_id}, {"owned_here", json::parse(m_state.describe_workers())}};
    if (!answer) {
        body["error"] = answer.error().message();
        return make_json(body);
    }
    json list = json::array();
    for (const auto& worker : answer.value().workers()) {
        list.push_back({{"id", worker.id()},
                        {"address", worker.address()},
                        {"data_centre", worker.data_centre()},
                        {"rack", worker.rack()},
                        {"owner", worker.owner()},
                        {"epoch", worker.epoch()},
                        {"silent", worker.silent()}});
    }
    body["workers"] = list;
    return make_json(body);
}

http_response operator_handler::get_members() {
    wire::query_request query;
    query.set_kind(wire::query_members);
    const auto answer = m_control.query(query, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    json sessions = json::array();
    for (const auto& session : answer.value().sessions()) {
        sessions.push_back({{"entry", session.entry()},
                            {"address", session.http_address()},
                            {"data_centre", session.data_centre()},
                            {"draining", session.draining()}});
    }
    const auto& status = answer.value().status();
    const std::vector<std::uint64_t> voters(status.members().voters().begin(),
                                            status.members().voters().end());
    const std::vector<std::uint64_t> learners(status.members().learners().begin(),
                                              status.members().learners().end());
    return make_json(
        {{"entries", sessions},
         {"control", {{"voters", voters}, {"learners", learners}, {"leader", status.leader()}}}});
}

http_response operator_handler::change_member(const std::string& node, const std::string& verb) {
    std::uint64_t id = 0;
    if (!absl::SimpleAtoi(node, &id)) {
        // An entry: it drains by itself on SIGTERM; this makes the leader take its workers away without one.
        return make_error_response(400, "bad_member",
                                   "name a control instance by its number; an entry drains on SIGTERM");
    }
    wire::member_request request;
    request.set_node(id);
    if (verb == "add") {
        request.set_action(wire::member_add_learner);
    } else if (verb == "promote") {
        request.set_action(wire::member_promote);
    } else if (verb == "remove") {
        request.set_action(wire::member_remove);
    } else if (verb == "drain" || verb == "lead") {
        request.set_action(wire::member_transfer);
        request.set_node(verb == "drain" ? 0 : id);
    } else {
        return make_error_response(404, "unknown_verb", "use add, promote, remove, drain or lead");
    }
    const auto answer = m_control.change_members(request, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    if (!answer.value().done()) {
        return make_error_response(409, "refused", answer.value().refusal());
    }
    return make_json({{"done", true}});
}

http_response operator_handler::get_snapshot() {
    wire::query_request query;
    query.set_kind(wire::query_snapshot);
    auto answer = m_control.query(query, m_clock.now() + control_wait);
    if (!answer) {
        return make_control_error(answer.error());
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = std::move(*answer.value().mutable_snapshot());
    return response;
}

} // namespace poplarpitch
