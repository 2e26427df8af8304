#include "poplarpitch/entry/job_handler.h"

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/job_codec.h"
#include "poplarpitch/entry/operator_answers.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

constexpr duration control_timeout = seconds{5};
constexpr std::size_t max_jobs_per_call = 256; // the jobs of one call share one commit

/// Returns the array under `key`, the only key of a JSON object. Returns null when the body has another form,
/// or the array is empty or has too many items.
json read_array(const std::string& body, const char* key) {
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object() || object.size() != 1 || !object.contains(key)) {
        return nullptr;
    }
    const auto& array = object[key];
    const bool is_valid_size = array.is_array() && !array.empty() && array.size() <= max_jobs_per_call;
    return is_valid_size ? array : json(nullptr);
}

http_response make_array_error(const char* key) {
    return make_error_response(400, "bad_jobs",
                               absl::StrCat("the body must be {\"", key, "\":[...]} with 1 to ",
                                            max_jobs_per_call, " items and no other key"));
}

json describe_refusal(const std::string& id, int status, const std::string& code,
                      const std::string& message) {
    return {{"id", id}, {"status", status}, {"error", {{"code", code}, {"message", message}}}};
}

wire::command make_submit(wire::job&& job) {
    wire::command command;
    auto& submitted = *command.mutable_submit()->mutable_submitted();
    submitted = std::move(job);
    submitted.set_submitted_ms(get_wall_ms());
    return command;
}

wire::command make_cancel(const std::string& id) {
    wire::command command;
    command.mutable_cancel()->set_job(id);
    command.mutable_cancel()->set_at_ms(get_wall_ms());
    return command;
}

const std::string& get_job_id(const wire::command& command) {
    return command.has_submit() ? command.submit().submitted().id() : command.cancel().job();
}

} // namespace

job_handler::job_handler(entry_state& state, control_client& control, event_batcher<control_client>& events)
    : m_state(state), m_control(control), m_batcher(events) {}

http_response job_handler::handle(const http_request& request, const std::vector<std::string>& parts) {
    const auto matches = [&](const char* method, std::size_t size) {
        return request.method == method && parts.size() == size;
    };
    if (matches("POST", 2)) {
        return submit(request);
    }
    if (matches("POST", 3) && parts[2] == "submit") {
        return submit_many(request);
    }
    if (matches("POST", 3) && parts[2] == "cancel") {
        return cancel_many(request);
    }
    if (matches("GET", 2)) {
        return list(request);
    }
    if (matches("GET", 3)) {
        return get(parts[2]);
    }
    if (matches("DELETE", 3)) {
        return cancel(parts[2]);
    }
    if (matches("POST", 4) && parts[3] == "resolve") {
        return resolve(parts[2], request);
    }
    return make_error_response(404, "not_found", "no such path or method for jobs");
}

// ---- one job

http_response job_handler::commit_job_command(const wire::command& command, int success_status) {
    const auto outcomes = m_batcher.commit({command}, flush_mode::immediate);
    if (!outcomes) {
        return make_control_error(outcomes.error());
    }
    const auto& outcome = outcomes.value().front();
    if (outcome.code() != 0) {
        return make_state_error(outcome);
    }
    http_response response;
    response.status = success_status;
    response.body = encode_job(outcome.job_record()) + "\n";
    return response;
}

http_response job_handler::submit(const http_request& request) {
    auto decoded = decode_job(request.body, *m_state.get_configuration());
    if (const auto* error = std::get_if<codec_error>(&decoded)) {
        return make_error_response(400, "bad_job", error->message);
    }
    return commit_job_command(make_submit(std::move(std::get<wire::job>(decoded))), 202);
}

http_response job_handler::get(const std::string& id) {
    wire::query_request query;
    query.set_kind(wire::query_job);
    query.set_name(id);
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
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

http_response job_handler::list(const http_request& request) {
    wire::query_request query;
    query.set_kind(wire::query_jobs);
    query.set_name(request.get_query("tenant"));
    query.set_stale_allowed(false);
    const auto answer = m_control.query(query, m_clock.now() + control_timeout);
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

http_response job_handler::cancel(const std::string& id) {
    return commit_job_command(make_cancel(id), 202);
}

http_response job_handler::resolve(const std::string& id, const http_request& request) {
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
    return commit_job_command(command, 200);
}

// ---- several jobs

http_response job_handler::submit_many(const http_request& request) {
    const auto array = read_array(request.body, "jobs");
    if (array.is_null()) {
        return make_array_error("jobs");
    }
    const auto settings = m_state.get_configuration();
    std::vector<wire::command> commands;
    commands.reserve(array.size());
    json refused = json::array();
    for (const auto& item : array) {
        auto decoded = decode_job(item.dump(), *settings);
        if (const auto* error = std::get_if<codec_error>(&decoded)) {
            const auto has_id = item.is_object() && item.contains("id") && item["id"].is_string();
            refused.push_back(describe_refusal(has_id ? item["id"].get<std::string>() : "", 400, "bad_job",
                                               error->message));
            continue;
        }
        commands.push_back(make_submit(std::move(std::get<wire::job>(decoded))));
    }
    return commit_job_commands(std::move(commands), std::move(refused));
}

http_response job_handler::cancel_many(const http_request& request) {
    const auto array = read_array(request.body, "ids");
    if (array.is_null()) {
        return make_array_error("ids");
    }
    std::vector<wire::command> commands;
    commands.reserve(array.size());
    json refused = json::array();
    for (const auto& id : array) {
        if (id.is_string()) {
            commands.push_back(make_cancel(id.get<std::string>()));
        } else {
            refused.push_back(describe_refusal("", 400, "bad_id", "an id must be a text"));
        }
    }
    return commit_job_commands(std::move(commands), std::move(refused));
}

http_response job_handler::commit_job_commands(std::vector<wire::command>&& commands, json&& items) {
    if (commands.empty()) {
        return make_json({{"jobs", items}});
    }
    std::vector<std::string> ids;
    ids.reserve(commands.size());
    for (const auto& command : commands) {
        ids.push_back(get_job_id(command));
    }
    const auto outcomes = m_batcher.commit(std::move(commands), flush_mode::immediate);
    if (!outcomes) {
        return make_control_error(outcomes.error());
    }
    for (std::size_t index = 0; index < ids.size(); ++index) {
        const auto& outcome = outcomes.value()[index];
        if (outcome.code() != 0) {
            items.push_back(describe_refusal(ids[index], get_http_status(outcome), get_code_name(outcome),
                                             outcome.message()));
            continue;
        }
        constexpr int accepted = 202;
        items.push_back({{"id", ids[index]},
                         {"status", accepted},
                         {"state", get_job_state_name(outcome.job_record().state())}});
    }
    return make_json({{"jobs", items}});
}

} // namespace poplarpitch
