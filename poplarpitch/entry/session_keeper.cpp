#include "poplarpitch/entry/session_keeper.h"

#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/session_lease.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/transport/control_client.h"

#include <chrono>

namespace poplarpitch {
namespace {

constexpr duration renew_timeout = milliseconds{900};
constexpr duration leave_timeout = seconds{2};

std::uint64_t make_incarnation() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

} // namespace

session_keeper::session_keeper(entry_state& state, control_client& control, session_lease& lease,
                               std::string entry_id, std::string address, std::string data_centre)
    : m_state(state), m_control(control), m_lease(lease), m_entry_id(std::move(entry_id)),
      m_address(std::move(address)), m_data_centre(std::move(data_centre)),
      m_incarnation(make_incarnation()) {}

bool session_keeper::renew() {
    wire::renew_request request;
    request.set_entry(m_entry_id);
    request.set_incarnation(m_incarnation);
    request.set_http_address(m_address);
    request.set_data_centre(m_data_centre);
    m_state.fill_renewal(request);
    request.mutable_digest()->set_entry(m_entry_id);
    request.mutable_digest()->set_http_address(m_address);
    request.mutable_digest()->set_data_centre(m_data_centre);
    const auto sent = m_clock.now();
    const auto answer = m_control.renew(request, sent + renew_timeout);
    const bool is_granted = answer.has_value() && answer.value().accepted();
    if (is_granted) {
        // The drift margin and the lease belong to the configuration under which control granted the lease.
        const auto margin = m_state.get_configuration()->system.drift_margin;
        m_lease.renew(sent, milliseconds{answer.value().lease_ms()}, margin);
        m_state.apply_renewal(answer.value(), m_clock.now());
    } else {
        m_state.on_renewal_failed(request);
    }
    if (!is_granted && m_was_granted) {
        log_event(log_level::warn, "session_not_renewed")
            .add("entry", m_entry_id)
            .add("reason", answer ? answer.value().refusal() : answer.error().message());
    }
    if (is_granted && !m_was_granted) {
        log_event(log_level::info, "session_granted").add("entry", m_entry_id);
    }
    m_was_granted = is_granted;
    return is_granted;
}

void session_keeper::drain() {
    wire::command command;
    command.mutable_drain()->set_entry(m_entry_id);
    command.mutable_drain()->set_incarnation(m_incarnation);
    static_cast<void>(m_control.propose(command, m_clock.now() + leave_timeout));
}

void session_keeper::close() {
    wire::command command;
    command.mutable_close()->set_entry(m_entry_id);
    command.mutable_close()->set_incarnation(m_incarnation);
    command.mutable_close()->set_reason("stopped");
    static_cast<void>(m_control.propose(command, m_clock.now() + leave_timeout));
}

} // namespace poplarpitch
