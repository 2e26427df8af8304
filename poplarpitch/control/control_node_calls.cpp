// Calls of peers, entries and tools to a control instance. The calling thread posts a task and waits for the
// answer of the control thread.
#include "poplarpitch/control/control_node.h"

#include "poplarpitch/control/query_answer_builder.h"
#include "poplarpitch/control/renew_answer_builder.h"
#include "poplarpitch/core/answer_slot.h"
#include "poplarpitch/telemetry/log_event.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <memory>

namespace poplarpitch {
namespace {

/// The commands of one batch. Only the control thread accesses it once it is posted.
struct pending_batch {
    std::vector<std::string> payloads;
    std::vector<bool> are_events; ///< by command: senders of events do not need the whole job record
    proposal_urgency urgency = proposal_urgency::deferrable;
    std::size_t remaining = 0; ///< commands without an answer yet
    wire::propose_batch_answer answer;

    /// Records the answer to one command. The answer to an event keeps only the tenant and batch class of its
    /// job record, which the entry counts by.
    void record(std::size_t index, const wire::propose_answer& command_answer) {
        auto& recorded = *answer.mutable_answers(static_cast<int>(index));
        recorded = command_answer;
        if (are_events[index] && recorded.outcome().has_job_record()) {
            wire::job counted_fields;
            counted_fields.set_tenant(command_answer.outcome().job_record().tenant());
            counted_fields.set_batch(command_answer.outcome().job_record().batch());
            *recorded.mutable_outcome()->mutable_job_record() = std::move(counted_fields);
        }
        answer.set_leader(command_answer.leader());
    }
};

} // namespace

// ---- on the control thread

void control_node::start_renewal(const wire::renew_request& request,
                                 const std::function<void(const wire::renew_answer&)>& answer) {
    const auto now = m_clock.now();
    wire::renew_answer refusal;
    refusal.set_leader(m_node->get_leader());
    // A renewal may be granted only under the leader lease, which proves that no other leader was elected.
    if (!m_are_duties_started || !m_node->has_lease(now)) {
        answer(refusal);
        return;
    }
    const auto* session = m_machine.get_fleet().find_session(request.entry());
    if (session != nullptr && session->incarnation() > request.incarnation()) {
        refusal.set_refusal("a newer process uses this entry id");
        answer(refusal);
        return;
    }
    if (session != nullptr && session->incarnation() == request.incarnation()) {
        m_duties.renew(m_machine, request, now);
        auto granted = make_renew_answer(m_machine, m_duties.get_sessions(), request);
        granted.set_leader(m_daemon.node_id);
        granted.set_term(m_node->get_term());
        answer(granted);
        return;
    }
    wire::command command;
    auto& opened = *command.mutable_open()->mutable_opened();
    opened.set_entry(request.entry());
    opened.set_incarnation(request.incarnation());
    opened.set_http_address(request.http_address());
    opened.set_data_centre(request.data_centre());
    const auto on_proposed = [this, request, answer](const wire::propose_answer& proposed) {
        wire::renew_answer first;
        first.set_leader(m_node->get_leader());
        // This call only opens the session. The next call grants the renewal and checks the leader lease.
        if (proposed.committed()) {
            log_event(log_level::info, "session_opened").add("entry", request.entry());
            first.set_leader(m_daemon.node_id);
        }
        answer(first);
    };
    m_proposals.add(command.SerializeAsString(), proposal_urgency::immediate, on_proposed);
}

void control_node::start_query(const wire::query_request& request,
                               std::function<void(const wire::query_answer&)> answer) {
    if (request.stale_allowed()) {
        answer(make_answer(request));
        return;
    }
    const auto token = m_node->request_read(m_clock.now());
    if (!token) {
        wire::query_answer refusal;
        refusal.set_leader(m_node->get_leader());
        answer(refusal);
        return;
    }
    m_queries[token.value()] = {request, std::move(answer)};
}

wire::query_answer control_node::make_answer(const wire::query_request& request) const {
    auto answer = make_query_answer(m_machine, request);
    answer.set_leader(m_node->get_leader());
    if (request.kind() == wire::query_status || request.kind() == wire::query_members) {
        auto& status = *answer.mutable_status();
        status.set_node(m_daemon.node_id);
        status.set_leader(m_node->get_leader());
        status.set_term(m_node->get_term());
        status.set_commit(m_node->get_commit());
        status.set_last_index(m_node->get_log().get_last_index());
        status.set_role(get_role_name(m_node->get_role()));
        const auto& members = m_node->get_membership();
        status.mutable_members()->mutable_voters()->Assign(members.voters.begin(), members.voters.end());
        status.mutable_members()->mutable_learners()->Assign(members.learners.begin(),
                                                             members.learners.end());
        for (const auto& [entry, report] : m_duties.get_sessions().get_reports()) {
            auto& item = *status.add_in_force();
            item.set_entry(entry);
            item.set_version(report.known_config);
        }
    }
    return answer;
}

wire::member_answer control_node::start_member_change(const wire::member_request& request) {
    const auto now = m_clock.now();
    wire::member_answer answer;
    answer.set_leader(m_node->get_leader());
    if (m_node->get_role() != raft_role::leader) {
        return answer;
    }
    const auto set_outcome = [&](const auto& outcome) {
        answer.set_done(outcome.has_value());
        if (!outcome) {
            answer.set_refusal(outcome.error().message());
        }
    };
    switch (request.action()) {
    case wire::member_add_learner:
        set_outcome(m_node->add_learner(request.node(), now));
        break;
    case wire::member_promote:
        set_outcome(m_node->promote(request.node(), now));
        break;
    case wire::member_remove:
        set_outcome(m_node->remove(request.node(), now));
        break;
    case wire::member_transfer:
        set_outcome(m_node->transfer_leadership(request.node(), now));
        break;
    default:
        answer.set_refusal("unknown action");
        break;
    }
    return answer;
}

// ---- on other threads

void control_node::deliver(raft_message message) {
    m_task_queue.post([this, message = std::move(message)] {
        const auto now = m_clock.now();
        m_last_received[message.from] = now;
        m_node->step(message, now);
    });
}

template <class Answer>
Answer control_node::call_on_control_thread(std::function<void(std::function<void(const Answer&)>)> work) {
    const auto slot = std::make_shared<answer_slot<Answer>>();
    const bool is_posted = m_task_queue.post(
        [work = std::move(work), slot] { work([slot](const Answer& answer) { slot->set_value(answer); }); });
    constexpr duration max_wait = seconds{10}; // longer than the callers' own deadlines
    return is_posted ? slot->wait_for(max_wait).value_or(Answer{}) : Answer{};
}

wire::renew_answer control_node::renew(const wire::renew_request& request) {
    return call_on_control_thread<wire::renew_answer>(
        [this, request](auto answer) { start_renewal(request, answer); });
}

wire::propose_answer control_node::propose(const wire::propose_request& request) {
    const auto urgency = get_urgency(request.proposed());
    return call_on_control_thread<wire::propose_answer>(
        [this, urgency, payload = request.proposed().SerializeAsString()](auto answer) mutable {
            m_proposals.add(std::move(payload), urgency, std::move(answer));
        });
}

wire::propose_batch_answer control_node::propose_batch(const wire::propose_batch_request& request) {
    const auto batch = std::make_shared<pending_batch>();
    for (const auto& command : request.commands()) {
        batch->payloads.push_back(command.SerializeAsString());
        batch->are_events.push_back(command.has_event());
        batch->urgency = std::min(batch->urgency, get_urgency(command)); // `immediate` is the lower one
        batch->answer.add_answers();
    }
    batch->remaining = batch->payloads.size();
    if (batch->remaining == 0) {
        return {};
    }
    return call_on_control_thread<wire::propose_batch_answer>([this, batch](const auto& answer) {
        for (std::size_t index = 0; index < batch->payloads.size(); ++index) {
            const auto on_answer = [batch, index, answer](const wire::propose_answer& command_answer) {
                batch->record(index, command_answer);
                if (--batch->remaining == 0) {
                    answer(batch->answer);
                }
            };
            m_proposals.add(std::move(batch->payloads[index]), batch->urgency, on_answer);
        }
    });
}

wire::query_answer control_node::query(const wire::query_request& request) {
    return call_on_control_thread<wire::query_answer>(
        [this, request](auto answer) { start_query(request, std::move(answer)); });
}

wire::member_answer control_node::change_members(const wire::member_request& request) {
    return call_on_control_thread<wire::member_answer>(
        [this, request](auto answer) { answer(start_member_change(request)); });
}

void control_node::resign() {
    constexpr int max_attempts = 20;
    constexpr auto retry_interval = absl::Milliseconds(50);
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const auto is_leader = call_on_control_thread<bool>([this](auto answer) {
            const bool can_transfer =
                m_node->get_role() == raft_role::leader && m_node->get_membership().voters.size() > 1;
            if (can_transfer) {
                static_cast<void>(
                    m_node->transfer_leadership(0, m_clock.now())); // fails while a transfer is in progress
            }
            answer(can_transfer);
        });
        if (!is_leader) {
            return;
        }
        absl::SleepFor(retry_interval);
    }
}

} // namespace poplarpitch
