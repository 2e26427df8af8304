#pragma once

#include "poplarpitch/consensus/raft_node.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace poplarpitch {

/// Raft nodes and a network that carries what one side of a cut sends to itself, driven by hand: for the few
/// scenarios that need an exact order of events. It notes when two nodes commit different entries at one
/// index.
class split_cluster {
public:
    using side = std::set<node_id>;

    /// Makes `nodes` nodes, of which the first `founders` found the cluster.
    split_cluster(int nodes, int founders, const raft_settings& settings, const raft_rules& rules);

    /// Lets time pass on one side; the others stand still, and messages to them are lost.
    void run(const side& those, duration length) { run_apart({those}, length); }
    /// Lets time pass on several sides that do not hear each other.
    void run_apart(const std::vector<side>& sides, duration length);
    /// As `run`, until `is_enough` holds at the end of a step. Returns false when it never did.
    bool run_until(const side& those, const std::function<bool()>& is_enough);
    /// Takes what a node has decided without sending its messages, as if it were cut off from everybody.
    void cut_off(node_id id);

    raft_node& get(node_id id) { return *m_nodes.at(id); }
    /// Returns the node of `those` that leads in the newest term, or null.
    raft_node* find_leader(const side& those);
    [[nodiscard]] bool is_split() const { return m_is_split; }
    [[nodiscard]] bool has_committed(log_index index) const { return m_committed.contains(index); }
    [[nodiscard]] time_point get_now() const { return m_now; }

private:
    void step(const std::vector<side>& sides);
    void note(const raft_output& output);

    time_point m_now{seconds{100}};
    std::map<node_id, std::unique_ptr<raft_node>> m_nodes;
    std::map<log_index, log_entry> m_committed; ///< by any node
    bool m_is_split = false;
};

} // namespace poplarpitch
