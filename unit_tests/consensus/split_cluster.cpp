#include "unit_tests/support/split_cluster.h"

#include <algorithm>
#include <iterator>

namespace poplarpitch {
namespace {

constexpr duration step_length = milliseconds{10};

} // namespace

split_cluster::split_cluster(int nodes, int initial_voters, const raft_settings& settings,
                             const raft_rules& rules) {
    raft_membership members;
    for (int id = 1; id <= initial_voters; ++id) {
        members = members.with_voter(static_cast<node_id>(id));
    }
    for (int number = 1; number <= nodes; ++number) {
        const auto id = static_cast<node_id>(number);
        raft_initial_state start;
        start.id = id;
        start.seed = 3;
        if (members.is_voter(id)) {
            start.initial = members;
        }
        m_nodes[id] = std::make_unique<raft_node>(settings, start, m_now, rules);
    }
}

void split_cluster::record_committed(const raft_output& output) {
    for (const auto& entry : output.committed) {
        const auto [known, is_new] = m_committed.emplace(entry.index, entry);
        m_is_split = m_is_split || (!is_new && known->second != entry);
    }
}

void split_cluster::step(const std::vector<side>& sides) {
    for (const auto& nodes : sides) {
        std::vector<raft_message> messages;
        for (const auto id : nodes) {
            get(id).tick(m_now);
        }
        for (const auto id : nodes) {
            auto output = get(id).take_output();
            std::copy(output.messages.begin(), output.messages.end(), std::back_inserter(messages));
            record_committed(output);
        }
        for (const auto& message : messages) {
            if (nodes.contains(message.to)) {
                get(message.to).step(message, m_now);
            }
        }
    }
    m_now += step_length;
}

void split_cluster::run_apart(const std::vector<side>& sides, duration length) {
    for (const auto end = m_now + length; m_now < end;) {
        step(sides);
    }
}

bool split_cluster::run_until(const side& nodes, const std::function<bool()>& is_enough) {
    const auto end = m_now + seconds{10};
    while (m_now < end) {
        step({nodes});
        if (is_enough()) {
            return true;
        }
    }
    return false;
}

void split_cluster::cut_off(node_id id) {
    record_committed(get(id).take_output());
}

raft_node* split_cluster::find_leader(const side& nodes) {
    raft_node* leader = nullptr;
    for (const auto id : nodes) {
        auto& node = get(id);
        const bool is_newer = leader == nullptr || node.get_term() > leader->get_term();
        if (node.get_role() == raft_role::leader && is_newer) {
            leader = &node;
        }
    }
    return leader;
}

} // namespace poplarpitch
