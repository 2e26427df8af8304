#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/event_batcher.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/transport/control_client.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace poplarpitch {

class entry_state;

/// Handles requests of batch users: to submit, read, cancel and resolve jobs, one or several per call.
/// Answers a change only after its commit. Thread safety: any thread, for all methods.
class job_handler {
public:
    /// Precondition: all referenced objects outlive the handler.
    job_handler(entry_state& state, control_client& control, event_batcher<control_client>& events);

    /// Handles a request under /v1/jobs. `parts` are the segments of its path: {"v1", "jobs", ...}.
    http_response handle(const http_request& request, const std::vector<std::string>& parts);

private:
    http_response submit(const http_request& request);
    /// Answers for each job of an array separately; an invalid job does not prevent the submission of the
    /// others.
    http_response submit_many(const http_request& request);
    http_response cancel_many(const http_request& request);
    http_response get(const std::string& id);
    http_response list(const http_request& request);
    http_response cancel(const std::string& id);
    http_response resolve(const std::string& id, const http_request& request);
    /// Commits one command and answers with the record of its job.
    http_response commit_job_command(const wire::command& command, int success_status);
    /// Commits commands and answers with one item for each. `items` holds the items that were already
    /// refused.
    http_response commit_job_commands(std::vector<wire::command>&& commands, nlohmann::json&& items);

    entry_state& m_state;
    control_client& m_control;
    event_batcher<control_client>& m_batcher;
    const system_clock m_clock{};
};

} // namespace poplarpitch
