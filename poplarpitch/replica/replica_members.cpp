// How a control instance becomes a member, and how the leader maintains the membership.
#include "poplarpitch/replica/replica.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

namespace poplarpitch {
namespace {

constexpr duration status_interval = milliseconds{60};  // during the bootstrap: the whole system waits for it
constexpr duration join_interval = milliseconds{250};   // while not a member
constexpr duration member_interval = milliseconds{100}; // between two steps of a membership change

const char* get_action_name(member_step::kind action) {
    switch (action) {
    case member_step::kind::add_learner:
        return "add_learner";
    case member_step::kind::promote:
        return "promote";
    case member_step::kind::remove:
        return "remove";
    }
    return "unknown";
}

} // namespace

std::vector<std::uint32_t> replica::get_other_seeds() const {
    std::vector<std::uint32_t> others;
    for (const auto& seed : m_settings.seeds) {
        const auto address = parse_ip(seed);
        if (address.has_value() && *address != m_ip) {
            others.push_back(*address);
        }
    }
    return others;
}

void replica::bootstrap_or_join() {
    const auto pause = m_phase == node_phase::bootstrapping ? status_interval : join_interval;
    request_statuses();
    if (m_phase == node_phase::bootstrapping) {
        std::vector<seed_status> others;
        for (const auto seed : get_other_seeds()) {
            others.push_back(m_peer_statuses[seed]);
        }
        const auto decision = decide_seed_bootstrap(m_id, others);
        if (decision.action == bootstrap_decision::kind::join) {
            m_phase = node_phase::joining;
        }
        if (decision.action == bootstrap_decision::kind::create) {
            if (write_initial_members(decision.members)) {
                log_event(log_level::info, "cluster_founded")
                    .add("node", m_id)
                    .add("members", decision.members.encode());
                start_node(decision.members);
            }
        }
    }
    if (m_phase == node_phase::joining && m_reported_leader != 0) {
        if (write_initial_members({})) {
            log_event(log_level::info, "cluster_joining")
                .add("node", m_id)
                .add("leader", format_ip(m_reported_leader));
            start_node({});
        }
    }
    ask_to_join();
    m_loop.call_after(pause, [this] { bootstrap_or_join(); });
}

bool replica::write_initial_members(const raft_membership& members) {
    const auto written = m_storage->write_initial_members(members);
    if (!written) {
        if (!note_storage_full(written.error())) {
            end_process(written.error());
        }
        return false;
    }
    note_storage_writable();
    return true;
}

void replica::request_statuses() {
    const bool is_member = m_node != nullptr && m_node->get_leader() != 0;
    if (is_member) {
        return; // the raft node knows the leader
    }
    job_wire::cluster_frame frame;
    frame.mutable_ask_status();
    for (const auto ip : m_known_addresses) {
        if (ip != m_ip) {
            m_mesh->send(ip, frame);
        }
    }
}

void replica::ask_to_join() {
    const bool is_member = m_node == nullptr || m_node->get_membership().has(m_id);
    const bool has_leader = is_reported_leader_fresh();
    if (!has_leader || (is_member && m_peer_statuses[m_reported_leader].members.has(m_id))) {
        return;
    }
    if (m_node == nullptr || m_node->get_leader() != 0) {
        return; // already receives the log from a leader, as a member or a learner
    }
    job_wire::cluster_frame frame;
    frame.mutable_join()->set_node(m_id);
    frame.mutable_join()->set_data_centre(m_settings.data_centre);
    m_mesh->send(m_reported_leader, frame);
}

void replica::update_membership() {
    const auto now = m_loop.now();
    if (!m_is_leading || now < m_next_member_check) {
        return;
    }
    m_next_member_check = now + member_interval;
    const membership_view view{m_node->get_membership(),           m_node->get_progress(), m_id,
                               m_node->get_log().get_last_index(), m_leading_since,        m_data_centres};
    const auto step = m_planner.plan(view, now);
    if (!step.has_value()) {
        return;
    }
    const auto done = step->action == member_step::kind::add_learner ? m_node->add_learner(step->node, now)
                      : step->action == member_step::kind::promote   ? m_node->promote(step->node, now)
                                                                     : m_node->remove(step->node, now);
    log_event(log_level::info, "membership_step")
        .add("action", get_action_name(step->action))
        .add("node", step->node)
        .add("address", format_ip(get_node_ip(step->node)))
        .add("outcome", done ? "proposed" : done.error().message());
}

} // namespace poplarpitch
