#include "poplarpitch/control/proposal_queue.h"

namespace poplarpitch {

proposal_urgency get_urgency(const wire::command& command) {
    switch (command.body_case()) {
    case wire::command::kSubmit:
    case wire::command::kEvent:
    case wire::command::kCancel:
    case wire::command::kResolve:
        return proposal_urgency::deferrable;
    default:
        return proposal_urgency::immediate;
    }
}

void proposal_queue::add(std::string payload, proposal_urgency urgency, callback answer) {
    m_has_immediate = m_has_immediate || urgency == proposal_urgency::immediate;
    m_waiting.push_back({std::move(payload), std::move(answer)});
}

std::optional<time_point> proposal_queue::get_next_due() const {
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return m_has_immediate ? time_point{} : m_next_append;
}

void proposal_queue::on_applied(const log_entry& entry, wire::command_result&& outcome, node_id leader) {
    const auto found = m_proposed.find(entry.index);
    if (found == m_proposed.end()) {
        return;
    }
    wire::propose_answer answer;
    if (found->second.term == entry.term) {
        answer.set_committed(true);
        *answer.mutable_outcome() = std::move(outcome);
    } else {
        answer.set_unknown(true); // another leader's entry is at this index
    }
    answer.set_leader(leader);
    const auto notify = std::move(found->second.answer);
    m_proposed.erase(found);
    notify(answer);
}

void proposal_queue::fail_all(node_id leader) {
    wire::propose_answer answer;
    answer.set_leader(leader);
    for (auto& waiting : std::exchange(m_waiting, {})) {
        waiting.answer(answer);
    }
    m_has_immediate = false;
    answer.set_unknown(true);
    for (auto& [index, proposed] : std::exchange(m_proposed, {})) {
        proposed.answer(answer);
    }
}

} // namespace poplarpitch
