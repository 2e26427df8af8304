#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/job_handler.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <string>

namespace poplarpitch {

class entry_state;

/// Handles requests of operators for configuration, workers, members and status; passes requests about jobs
/// to `job_handler`. All of them call control. A change is answered only after its commit. Thread safety: any
/// thread, for all methods.
class operator_handler {
public:
    /// Precondition: all referenced objects outlive the handler.
    operator_handler(entry_state& state, control_client& control, event_batcher<control_client>& events,
                     std::string entry_id);

    /// Handles a request; answers 404 for an unknown path.
    http_response handle(const http_request& request);

private:
    http_response get_config(const http_request& request);
    http_response put_config(const http_request& request);
    http_response get_history();
    http_response get_status();
    http_response get_workers();
    http_response get_members();
    http_response change_member(const std::string& member, const std::string& verb);
    http_response change_entry(const std::string& entry, const std::string& verb);
    http_response change_control(std::uint64_t node, const std::string& verb);
    http_response get_snapshot();

    entry_state& m_state;
    control_client& m_control;
    job_handler m_jobs;
    const std::string m_entry_id;
    const system_clock m_clock{};
};

} // namespace poplarpitch
