#include "poplarpitch/control/control_node.h"

#include "poplarpitch/control/query_answerer.h"
#include "poplarpitch/control/renew_answerer.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/transport/peer_link.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <unistd.h>

namespace poplarpitch {
namespace {

constexpr int storage_failure_code = 3; // exit code, documented for operators

/// What a waiting caller and the control thread share; the caller may have gone when the answer comes.
template <class Answer>
struct answer_slot {
    absl::Notification ready;
    Answer answer{};
};

/// The commands of one batch; touched by the control thread alone once it is posted.
struct batch_in_progress {
    std::vector<std::string> payloads;
    std::vector<bool> are_events; ///< by place: their senders want no whole record back
    proposal_urgency urgency = proposal_urgency::may_wait;
    std::size_t left = 0; ///< commands without an answer yet
    wire::propose_batch_answer answer;

    /// Takes one answer. Of an event's job only what the entry counts by is sent back.
    void take(std::size_t place, const wire::propose_answer& one) {
        auto& taken = *answer.mutable_answers(static_cast<int>(place));
        taken = one;
        if (are_events[place] && taken.outcome().has_job_record()) {
            wire::job brief;
            brief.set_tenant(one.outcome().job_record().tenant());
            brief.set_batch(one.outcome().job_record().batch());
            *taken.mutable_outcome()->mutable_job_record() = std::move(brief);
        }
        answer.set_leader(one.leader());
    }
};

} // namespace

control_node::control_node(const daemon_settings& daemon, const control_settings& settings)
    : m_daemon(daemon), m_settings(settings), m_files(daemon.data_folder),
      m_storage(m_files, {daemon.cluster, daemon.node_id}), m_member_keeper(settings.voter_loss),
      m_proposals(settings.append_interval) {}

control_node::~control_node() = default;

// ---- start

result<void> control_node::open() {
    BOOST_OUTCOME_TRY(stored, m_storage.open());
    m_stored = std::move(stored);
    if (m_stored.cut_bytes > 0) {
        log_event(log_level::warn, "log_tail_cut").add("bytes", m_stored.cut_bytes);
    }
    return boost::outcome_v2::success();
}

result<void> control_node::form(const raft_membership& members) {
    BOOST_OUTCOME_TRY(m_storage.form(members));
    m_stored.initial = members;
    m_stored.is_blank = false;
    return boost::outcome_v2::success();
}

void control_node::run() {
    const auto now = m_clock.now();
    m_hard_state = m_stored.state;
    const auto snapshot = m_stored.snapshot;
    raft_start start{m_daemon.node_id,
                     m_stored.state,
                     snapshot,
                     std::move(m_stored.entries),
                     m_stored.initial,
                     static_cast<std::uint64_t>(now.time_since_epoch().count()) ^
                         static_cast<std::uint64_t>(::getpid())};
    m_applied_members = snapshot.index != 0 ? snapshot.members : m_stored.initial;
    if (snapshot.index != 0) {
        m_machine.load(*snapshot.data);
    }
    m_node = std::make_unique<raft_node>(m_settings.raft, std::move(start), now);
    for (const auto& peer : m_daemon.control) {
        if (peer.id != m_daemon.node_id) {
            m_links[peer.id] = std::make_unique<peer_link>(peer.address, m_daemon.cluster);
        }
    }
    while (!m_loop.is_stopped()) {
        const auto tasks = m_loop.take(get_next_turn() - m_clock.now());
        for (const auto& task : tasks) {
            task();
        }
        const auto turn = m_clock.now();
        m_node->tick(turn);
        m_proposals.propose_due(*m_node, turn);
        carry_out(m_node->take_output());
        watch_role(turn);
        run_duties(turn);
        carry_out(m_node->take_output());
        take_snapshot_if_due();
        watch_peers(turn);
    }
    m_proposals.fail_all(m_node->get_leader());
    m_links.clear();
}

time_point control_node::get_next_turn() const {
    const auto next = std::min(m_node->get_next_deadline(), m_clock.now() + m_settings.duty_interval);
    return std::min(next, m_proposals.get_next_due().value_or(next));
}

// ---- one turn

void control_node::carry_out(raft_output output) {
    // 1. What must survive is synced before anybody hears of it.
    if (output.needs_sync()) {
        if (output.state.has_value()) {
            m_hard_state = *output.state;
        }
        const auto saved = m_storage.save(output);
        if (!saved) {
            end_process(saved.error());
        }
    }
    // 2. Send, 3. apply, 4. answer reads, which wait for what was applied.
    for (auto& message : output.messages) {
        send(std::move(message));
    }
    if (output.install.has_value()) {
        install(*output.install);
    }
    for (const auto& entry : output.committed) {
        apply(entry);
    }
    for (const auto token : output.reads) {
        const auto found = m_queries.find(token);
        if (found != m_queries.end()) {
            found->second.answer(make_answer(found->second.request));
            m_queries.erase(found);
        }
    }
    for (const auto token : output.failed_reads) {
        const auto found = m_queries.find(token);
        if (found != m_queries.end()) {
            wire::query_answer answer;
            answer.set_leader(m_node->get_leader());
            found->second.answer(answer);
            m_queries.erase(found);
        }
    }
}

void control_node::end_process(const std::error_code& error) {
    log_event(log_level::error, "storage_failed")
        .add("error", error)
        .add("place", m_storage.get_error_place())
        .add("action", "process ends; nothing unsynced was acknowledged");
    std::_Exit(storage_failure_code);
}

void control_node::apply(const log_entry& entry) {
    wire::command_result outcome;
    if (entry.kind == entry_kind::command) {
        outcome = m_machine.apply_bytes(entry.index, entry.payload);
    } else if (entry.kind == entry_kind::membership) {
        m_applied_members = raft_membership::decode(entry.payload);
        log_event(log_level::info, "membership_changed")
            .add("members", entry.payload)
            .add("index", entry.index);
    }
    m_proposals.on_applied(entry, std::move(outcome), m_node->get_leader());
}

void control_node::install(const raft_snapshot& snapshot) {
    m_machine.load(*snapshot.data);
    m_applied_members = snapshot.members;
    log_event(log_level::info, "snapshot_installed")
        .add("index", snapshot.index)
        .add("bytes", snapshot.data->size());
}

void control_node::send(raft_message message) {
    const auto found = m_links.find(message.to);
    if (found != m_links.end()) {
        found->second->send(std::move(message));
    }
}

void control_node::watch_peers(time_point now) {
    for (const auto& [id, link] : m_links) {
        auto& heard = m_last_heard[id];
        const bool is_expected = m_node->get_role() == raft_role::leader || m_node->get_leader() == id;
        if (heard == time_point{} || !is_expected) {
            heard = std::max(heard, now - m_settings.peer_silence / 2);
        }
        if (now - heard > m_settings.peer_silence) {
            link->reset();
            heard = now;
        }
    }
}

void control_node::watch_role(time_point now) {
    const bool is_same = m_node->get_role() == m_last_role && m_node->get_term() == m_last_term;
    if (!is_same) {
        log_event(log_level::info, "role_changed")
            .add("role", get_role_name(m_node->get_role()))
            .add("term", m_node->get_term())
            .add("leader", m_node->get_leader());
        m_last_role = m_node->get_role();
        m_last_term = m_node->get_term();
        m_is_duty_started = false;
        if (m_node->get_role() != raft_role::leader) {
            m_proposals.fail_all(m_node->get_leader());
        }
    }
    // The first own commit says that everything older is applied here too.
    if (!m_is_duty_started && m_node->has_own_commit()) {
        m_duties.start(m_machine, now);
        m_member_keeper.start(now);
        m_duty_index = 0;
        m_next_duty = now;
        m_is_duty_started = true;
    }
}

void control_node::run_duties(time_point now) {
    if (!m_is_duty_started || m_node->get_role() != raft_role::leader || now < m_next_duty ||
        m_machine.get_applied() < m_duty_index) {
        return;
    }
    m_next_duty = now + m_settings.duty_interval;
    for (const auto& command : m_duties.run(m_machine, m_settings.max_assignments, now, get_wall_ms())) {
        const auto index = m_node->propose(command.SerializeAsString(), now);
        if (!index) {
            return;
        }
        m_duty_index = index.value();
    }
    const auto change = m_member_keeper.run(*m_node, now);
    if (change.has_value()) {
        const bool is_promotion = change->action == member_change::kind::promote;
        log_event(log_level::warn, "voter_replaced")
            .add("node", change->node)
            .add("promoted", is_promotion ? 1 : 0);
        const auto done =
            is_promotion ? m_node->promote(change->node, now) : m_node->remove(change->node, now);
        if (!done) {
            log_event(log_level::warn, "membership_change_refused").add("error", done.error());
        }
    }
}

void control_node::take_snapshot_if_due() {
    const auto applied = m_machine.get_applied();
    const auto last = m_node->get_snapshot().index;
    if (applied < last + m_settings.snapshot_entries) {
        return;
    }
    const auto term = m_node->get_log().find_term(applied);
    if (!term.has_value()) {
        return;
    }
    const raft_snapshot snapshot{applied, *term, m_applied_members,
                                 std::make_shared<const std::string>(m_machine.save())};
    const auto rest = m_node->get_log().copy_from(applied + 1, SIZE_MAX);
    const auto saved = m_storage.save_snapshot(snapshot, m_hard_state, rest);
    if (!saved) {
        end_process(saved.error());
    }
    m_node->compact(snapshot, m_settings.kept_entries);
    log_event(log_level::info, "snapshot_taken").add("index", applied).add("bytes", snapshot.data->size());
}

// ---- calls, on the control thread

void control_node::start_renewal(const wire::renew_request& request,
                                 const std::function<void(const wire::renew_answer&)>& answer) {
    const auto now = m_clock.now();
    wire::renew_answer refusal;
    refusal.set_leader(m_node->get_leader());
    // A grant needs proof that no other leader can have been elected: the leader lease.
    if (!m_is_duty_started || !m_node->has_lease(now)) {
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
    const auto take = [this, request, answer](const wire::propose_answer& proposed) {
        wire::renew_answer first;
        first.set_leader(m_node->get_leader());
        // The renewal itself is granted with the next call, under a lease checked then.
        if (proposed.committed()) {
            log_event(log_level::info, "session_opened").add("entry", request.entry());
            first.set_leader(m_daemon.node_id);
        }
        answer(first);
    };
    m_proposals.add(command.SerializeAsString(), proposal_urgency::at_once, take);
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
    const auto take = [&](const auto& outcome) {
        answer.set_done(outcome.has_value());
        if (!outcome) {
            answer.set_refusal(outcome.error().message());
        }
    };
    switch (request.action()) {
    case wire::member_add_learner:
        take(m_node->add_learner(request.node(), now));
        break;
    case wire::member_promote:
        take(m_node->promote(request.node(), now));
        break;
    case wire::member_remove:
        take(m_node->remove(request.node(), now));
        break;
    case wire::member_transfer:
        take(m_node->transfer_leadership(request.node(), now));
        break;
    default:
        answer.set_refusal("unknown action");
        break;
    }
    return answer;
}

// ---- calls, on other threads

void control_node::deliver(raft_message message) {
    m_loop.post([this, message = std::move(message)] {
        const auto now = m_clock.now();
        m_last_heard[message.from] = now;
        m_node->step(message, now);
    });
}

template <class Answer>
Answer control_node::wait_for(std::function<void(std::function<void(const Answer&)>)> work) {
    const auto slot = std::make_shared<answer_slot<Answer>>();
    const bool is_posted = m_loop.post([work = std::move(work), slot] {
        work([slot](const Answer& answer) {
            slot->answer = answer;
            slot->ready.Notify();
        });
    });
    constexpr auto longest_wait = absl::Seconds(10); // callers have shorter deadlines of their own
    if (!is_posted || !slot->ready.WaitForNotificationWithTimeout(longest_wait)) {
        return {};
    }
    return slot->answer;
}

wire::renew_answer control_node::renew(const wire::renew_request& request) {
    return wait_for<wire::renew_answer>([this, request](auto answer) { start_renewal(request, answer); });
}

wire::propose_answer control_node::propose(const wire::propose_request& request) {
    const auto urgency = get_urgency(request.proposed());
    return wait_for<wire::propose_answer>(
        [this, urgency, payload = request.proposed().SerializeAsString()](auto answer) {
            m_proposals.add(payload, urgency, std::move(answer));
        });
}

wire::propose_batch_answer control_node::propose_batch(const wire::propose_batch_request& request) {
    const auto batch = std::make_shared<batch_in_progress>();
    for (const auto& command : request.commands()) {
        batch->payloads.push_back(command.SerializeAsString());
        batch->are_events.push_back(command.has_event());
        batch->urgency = std::min(batch->urgency, get_urgency(command)); // `at_once` is the lower one
        batch->answer.add_answers();
    }
    batch->left = batch->payloads.size();
    if (batch->left == 0) {
        return {};
    }
    return wait_for<wire::propose_batch_answer>([this, batch](const auto& answer) {
        for (std::size_t place = 0; place < batch->payloads.size(); ++place) {
            const auto take = [batch, place, answer](const wire::propose_answer& one) {
                batch->take(place, one);
                if (--batch->left == 0) {
                    answer(batch->answer);
                }
            };
            m_proposals.add(std::move(batch->payloads[place]), batch->urgency, take);
        }
    });
}

wire::query_answer control_node::query(const wire::query_request& request) {
    return wait_for<wire::query_answer>(
        [this, request](auto answer) { start_query(request, std::move(answer)); });
}

wire::member_answer control_node::change_members(const wire::member_request& request) {
    return wait_for<wire::member_answer>(
        [this, request](auto answer) { answer(start_member_change(request)); });
}

void control_node::resign() {
    constexpr int tries = 20;
    constexpr auto pause = absl::Milliseconds(50);
    for (int attempt = 0; attempt < tries; ++attempt) {
        const auto is_leader = wait_for<bool>([this](auto answer) {
            const bool leads =
                m_node->get_role() == raft_role::leader && m_node->get_membership().voters.size() > 1;
            if (leads) {
                static_cast<void>(
                    m_node->transfer_leadership(0, m_clock.now())); // refused while one is under way
            }
            answer(leads);
        });
        if (!is_leader) {
            return;
        }
        absl::SleepFor(pause);
    }
}

} // namespace poplarpitch
