#include "poplarpitch/control/renew_answer_builder.h"

#include "poplarpitch/control/session_registry.h"
#include "poplarpitch/state/state_machine.h"

namespace poplarpitch {

wire::renew_answer make_renew_answer(const state_machine& state, const session_registry& sessions,
                                     const wire::renew_request& request) {
    wire::renew_answer answer;
    answer.set_accepted(true);
    answer.set_revision(state.get_applied());
    answer.set_lease_ms(to_milliseconds(state.get_configs().get_configuration()->system.session_lease));
    if (request.known_config() < state.get_configs().get_version()) {
        *answer.mutable_config() = state.get_configs().get_current();
    }
    const auto& fleet = state.get_fleet();
    const auto* own = fleet.find_session(request.entry());
    answer.set_draining(own != nullptr && own->draining());
    const auto known = request.known_revision();
    const bool is_owned_changed = known == 0 || fleet.get_owned_change_index(request.entry()) > known;
    answer.set_owned_changed(is_owned_changed);
    for (const auto& id : fleet.get_owned(request.entry())) {
        if (is_owned_changed) {
            *answer.add_owned() = *fleet.find_worker(id);
        }
        if (is_owned_changed) {
            state.get_jobs().for_each_active_id_on(id,
                                                   [&](const std::string& job) { answer.add_job_ids(job); });
        }
        const log_index since = is_owned_changed ? 0 : known;
        state.get_jobs().for_each_active_on(id, since,
                                            [&](const wire::job& job) { *answer.add_jobs() = job; });
    }
    for (const auto& [entry, report] : sessions.get_reports()) {
        const auto* session = fleet.find_session(entry);
        if (entry != request.entry() && session != nullptr && !session->draining()) {
            *answer.add_entries() = report.digest;
        }
    }
    return answer;
}

} // namespace poplarpitch
