#include "poplarpitch/control/control_node.h"

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/storage_failure.h"
#include "poplarpitch/transport/peer_link.h"

#include <algorithm>
#include <chrono>
#include <unistd.h>

namespace poplarpitch {

control_node::control_node(const daemon_settings& daemon, const control_settings& settings)
    : m_daemon(daemon), m_settings(settings), m_files(daemon.data_folder),
      m_storage(m_files, {daemon.cluster, daemon.node_id}), m_voter_replacer(settings.voter_loss_timeout),
      m_proposals(settings.min_append_interval) {}

control_node::~control_node() = default;

// ---- start

result<void> control_node::open() {
    BOOST_OUTCOME_TRY(stored, m_storage.open());
    m_stored = std::move(stored);
    if (m_stored.truncated_bytes > 0) {
        log_event(log_level::warn, "log_tail_cut").add("bytes", m_stored.truncated_bytes);
    }
    return boost::outcome_v2::success();
}

result<void> control_node::bootstrap(const raft_membership& members) {
    BOOST_OUTCOME_TRY(m_storage.write_initial_members(members));
    m_stored.initial = members;
    m_stored.is_empty = false;
    return boost::outcome_v2::success();
}

void control_node::run() {
    const auto now = m_clock.now();
    m_hard_state = m_stored.state;
    const auto snapshot = m_stored.snapshot;
    raft_initial_state start{m_daemon.node_id,
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
    while (!m_task_queue.is_stopped()) {
        const auto tasks = m_task_queue.take(get_next_wakeup() - m_clock.now());
        for (const auto& task : tasks) {
            task();
        }
        const auto loop_time = m_clock.now();
        m_node->tick(loop_time);
        m_proposals.propose_due(*m_node, loop_time);
        process_output(m_node->take_output());
        handle_role_change(loop_time);
        run_duties(loop_time);
        process_output(m_node->take_output());
        take_snapshot_if_due();
        reset_silent_links(loop_time);
    }
    m_proposals.fail_all(m_node->get_leader());
    m_links.clear();
}

time_point control_node::get_next_wakeup() const {
    const auto next = std::min(m_node->get_next_deadline(), m_clock.now() + m_settings.duty_interval);
    return std::min(next, m_proposals.get_next_due().value_or(next));
}

// ---- one iteration

void control_node::process_output(raft_output output) {
    // 1. Sync state and entries before any message or answer reveals them.
    if (output.needs_sync()) {
        if (output.state.has_value()) {
            m_hard_state = *output.state;
        }
        const auto saved = m_storage.save(output);
        if (!saved) {
            end_process(saved.error());
        }
    }
    // 2. Send messages, 3. apply committed entries, 4. answer reads, which need the applied entries.
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
    end_on_storage_failure(error, m_storage.get_error_location());
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

void control_node::reset_silent_links(time_point now) {
    for (const auto& [id, link] : m_links) {
        auto& last_received = m_last_received[id];
        const bool is_expected = m_node->get_role() == raft_role::leader || m_node->get_leader() == id;
        if (last_received == time_point{} || !is_expected) {
            last_received = std::max(last_received, now - m_settings.peer_silence_timeout / 2);
        }
        if (now - last_received > m_settings.peer_silence_timeout) {
            link->reset();
            last_received = now;
        }
    }
}

void control_node::handle_role_change(time_point now) {
    const bool is_same = m_node->get_role() == m_last_role && m_node->get_term() == m_last_term;
    if (!is_same) {
        log_event(log_level::info, "role_changed")
            .add("role", get_role_name(m_node->get_role()))
            .add("term", m_node->get_term())
            .add("leader", m_node->get_leader());
        m_last_role = m_node->get_role();
        m_last_term = m_node->get_term();
        m_are_duties_started = false;
        if (m_node->get_role() != raft_role::leader) {
            m_proposals.fail_all(m_node->get_leader());
        }
    }
    // An entry of this term is committed, so all entries of earlier terms are committed and applied here too.
    if (!m_are_duties_started && m_node->has_committed_in_term()) {
        m_duties.start(m_machine, now);
        m_voter_replacer.start(now);
        m_last_duty_index = 0;
        m_next_duty = now;
        m_are_duties_started = true;
    }
}

void control_node::run_duties(time_point now) {
    if (!m_are_duties_started || m_node->get_role() != raft_role::leader || now < m_next_duty ||
        m_machine.get_applied() < m_last_duty_index) {
        return;
    }
    m_next_duty = now + m_settings.duty_interval;
    for (const auto& command : m_duties.run(m_machine, m_settings.max_assignments, now, get_wall_ms())) {
        const auto index = m_node->propose(command.SerializeAsString(), now);
        if (!index) {
            return;
        }
        m_last_duty_index = index.value();
    }
    const auto change = m_voter_replacer.run(*m_node, now);
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

} // namespace poplarpitch
