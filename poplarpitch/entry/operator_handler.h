#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/transport/http_request.h"
#include "poplarpitch/transport/http_response.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <string>

namespace poplarpitch {

class control_client;
class entry_state;

/// Answers operators and batch users: configuration, jobs, workers, members, status. Everything here goes to
/// control; an answer about a change is given after its commit. Thread safety: any thread, for all methods.
class operator_handler {
public:
    /// Precondition: all parts outlive the handler.
    operator_handler(entry_state& state, control_client& control, std::string entry_id);

    /// Answers a request; 404 for a path that is not known here.
    http_response handle(const http_request& request);

private:
    http_response get_config(const http_request& request);
    http_response put_config(const http_request& request);
    http_response get_history();
    http_response submit_job(const http_request& request);
    http_response get_job(const std::string& id);
    http_response list_jobs(const http_request& request);
    http_response cancel_job(const std::string& id);
    http_response resolve_job(const std::string& id, const http_request& request);
    http_response get_status();
    http_response get_workers();
    http_response get_members();
    http_response change_member(const std::string& node, const std::string& verb);
    http_response get_snapshot();
    http_response answer_job(const wire::command& command, int success_status);

    entry_state& m_state;
    control_client& m_control;
    const std::string m_entry_id;
    const system_clock m_clock{};
};

} // namespace poplarpitch
