#include "poplarpitch/entry/operator_handler.h"

#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/operator_answers.h"
#include "poplarpitch/entry/protocol_names.h"

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

constexpr duration control_timeout = seconds{5};
constexpr std::size_t max_config_bytes = 1 << 20;

/// Parses a version written as `"12"`, `12` or `W/"12"`. Returns false when it is not a number.
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

operator_handler::operator_handler(entry_state& state, control_client& control,
                                   event_batcher<control_client>& events, std::string entry_id)
    : m_state(state), m_control(control), m_jobs(state, control, events), m_entry_id(std::move(entry_id)) {}

http_response operator_handler::handle(const http_request& request) {
    const auto path = request.get_path();
    const std::vector<std::string> parts = absl::StrSplit(path, '/', absl::SkipEmpty());
    const auto matches = [&](const char* method, std::size_t size, const char* kind) {
        return request.method == method && parts.size() == size && parts[1] == kind;
    };
    if (parts.size() < 2 || parts[0] != "v1") {
        return make_error_response(404, "not_found", "no such path");
    }
    if (matches("GET", 2, "config")) {
        return get_config(request);
    }
    if (matches("PUT", 2, "config")) {
        return put_config(request);
    }
    if (matches("GET", 3, "config") && parts[2] == "history") {
        return get_history();
    }
    if (parts[1] == "jobs") {
        return m_jobs.handle(request, parts);
    }
    if (matches("GET", 2, "status")) {
        return get_status();
    }
    if (matches("GET", 2, "workers")) {
        return get_workers();
    }
    if (matches("GET", 2, "members")) {
        return get_members();
    }
    if (matches("POST", 4, "members")) {
        return change_member(parts[2], parts[3]);
    }
    if (matches("GET", 2, "snapshot")) {
        return get_snapshot();
    }
    return make_error_response(404, "not_found",
                               absl::StrCat("no such path or method: ", request.method, " ", path));
}

// ---- configuration

http_response operator_handler::get_config(const http_request& request) {
    wire::query_request query;
    query.set_kind(wire::query_config);
    const auto requested = request.get_query("version");
    std::uint64_t version = 0;
    if (!requested.empty() && !absl::SimpleAtoi(requested, &version)) {
        return make_error_response(400, "bad_version", "version must be a number");
    }
    query.set_version(version);
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
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
    if (request.body.size() > max_config_bytes) {
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
    const auto outcome = m_control.propose(command, m_clock.now() + control_timeout);
    if (!outcome) {
        return make_control_error(outcome.error());
    }
    const auto& current = outcome.value().config();
    json body = {{"version", current.version()},
                 {"change_id", change.change_id()},
                 {"repeated", outcome.value().repeated_change()}};
    if (outcome.value().code() != 0) {
        body["error"] = {{"code", get_code_name(outcome.value())}, {"message", outcome.value().message()}};
    }
    auto response = make_json(body, get_http_status(outcome.value()));
    response.headers.add("ETag", absl::StrCat("\"", current.version(), "\""));
    return response;
}

http_response operator_handler::get_history() {
    wire::query_request query;
    query.set_kind(wire::query_history);
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
    if (!answer) {
        return make_control_error(answer.error());
    }
    json list = json::array();
    for (const auto& version : answer.value().configs()) {
        list.push_back(describe(version));
    }
    return make_json({{"versions", list}});
}

// ---- the system

http_response operator_handler::get_status() {
    wire::query_request query;
    query.set_kind(wire::query_status);
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
    const auto counts = m_state.get_counts();
    json body = {{"entry", m_entry_id},
                 {"config_version_here", m_state.get_config_version()},
                 {"owned_workers", counts.workers},
                 {"ready_workers", counts.ready_workers},
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
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
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
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
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

http_response operator_handler::change_member(const std::string& member, const std::string& verb) {
    std::uint64_t node = 0;
    return absl::SimpleAtoi(member, &node) ? change_control(node, verb) : change_entry(member, verb);
}

http_response operator_handler::change_entry(const std::string& entry, const std::string& verb) {
    if (verb != "drain" && verb != "resume") {
        return make_error_response(404, "unknown_verb", "an entry takes drain and resume");
    }
    wire::query_request query;
    query.set_kind(wire::query_members);
    const auto members = m_control.query(query, m_clock.now() + control_timeout);
    if (!members) {
        return make_control_error(members.error());
    }
    for (const auto& session : members.value().sessions()) {
        if (session.entry() != entry) {
            continue;
        }
        wire::command command;
        command.mutable_drain()->set_entry(entry);
        command.mutable_drain()->set_incarnation(session.incarnation()); // not a later process
        command.mutable_drain()->set_resumed(verb == "resume");
        const auto outcome = m_control.propose(command, m_clock.now() + control_timeout);
        if (!outcome) {
            return make_control_error(outcome.error());
        }
        return outcome.value().code() == 0 ? make_json({{"done", true}}) : make_state_error(outcome.value());
    }
    return make_error_response(
        404, "unknown_member",
        absl::StrCat("no entry has a session as '", entry, "'; control instances are named by their number"));
}

http_response operator_handler::change_control(std::uint64_t node, const std::string& verb) {
    wire::member_request request;
    request.set_node(node);
    if (verb == "add") {
        request.set_action(wire::member_add_learner);
    } else if (verb == "promote") {
        request.set_action(wire::member_promote);
    } else if (verb == "remove") {
        request.set_action(wire::member_remove);
    } else if (verb == "drain" || verb == "lead") {
        request.set_action(wire::member_transfer);
        request.set_node(verb == "drain" ? 0 : node);
    } else {
        return make_error_response(404, "unknown_verb", "use add, promote, remove, drain or lead");
    }
    const auto answer = m_control.change_members(request, m_clock.now() + control_timeout);
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
    auto answer = m_control.query(query, m_clock.now() + control_timeout);
    if (!answer) {
        return make_control_error(answer.error());
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = std::move(*answer.value().mutable_snapshot());
    return response;
}

} // namespace poplarpitch
