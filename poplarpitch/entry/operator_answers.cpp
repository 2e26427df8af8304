#include "poplarpitch/entry/operator_answers.h"

#include "poplarpitch/state/state_error.h"
#include "poplarpitch/transport/transport_error.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <nlohmann/json.hpp>

namespace poplarpitch {

http_response make_json(const nlohmann::json& body, int status) {
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

http_response make_control_error(const std::error_code& error) {
    const bool is_unknown = error == make_error_code(transport_errc::timed_out);
    if (is_unknown) {
        return make_error_response(504, "unknown",
                                   "no answer from control: the change may yet be accepted; send it again "
                                   "with the same id to find out");
    }
    return make_error_response(503, "no_control", error.message());
}

http_response make_state_error(const wire::command_result& outcome) {
    return make_error_response(get_http_status(outcome), get_code_name(outcome), outcome.message());
}

int get_http_status(const wire::command_result& outcome) {
    if (outcome.code() == 0) {
        return 200;
    }
    switch (static_cast<state_errc>(outcome.code())) {
    case state_errc::unknown_job:
    case state_errc::unknown_worker:
    case state_errc::unknown_intent:
        return 404;
    case state_errc::over_quota:
    case state_errc::jobs_full:
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

std::string get_code_name(const wire::command_result& outcome) {
    switch (static_cast<state_errc>(outcome.code())) {
    case state_errc::version_conflict:
        return "version_conflict";
    case state_errc::unknown_job:
        return "unknown_job";
    case state_errc::over_quota:
        return "over_quota";
    case state_errc::jobs_full:
        return "jobs_full";
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

} // namespace poplarpitch
