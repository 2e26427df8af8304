#pragma once

#include "poplarpitch/consensus/raft_node.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace poplarpitch {

/// Raft nodes in a network that can be partitioned, for scenarios that need an exact order of events.
/// Messages are delivered only within one side of a partition. The cluster records when two nodes commit
/// different entries at the same index. Thread safety: none.
class split_cluster {
public:
    using side = std::set<node_id>;

    /// Creates `nodes` nodes. The first `initial_voters` of them vote from the start.
    split_cluster(int nodes, int initial_voters, const raft_settings& settings, const raft_rules& rules);

    /// Advances time for the nodes of one side. The other nodes do not run, and messages to them are lost.
    void run(const side& nodes, duration length) { run_apart({nodes}, length); }
    /// Advances time for several sides that cannot reach each other.
    void run_apart(const std::vector<side>& sides, duration length);
    /// Like `run`, until `is_enough` holds at the end of a step. Returns false when it did not within 10 s of
    /// simulated time.
    bool run_until(const side& nodes, const std::function<bool()>& is_enough);
    /// Applies a node's output but drops its messages, as if it were cut off from all other nodes.
    void cut_off(node_id id);

    raft_node& get(node_id id) { return *m_nodes.at(id); }
    /// Returns the node of `nodes` that is leader in the highest term, or null.
    raft_node* find_leader(const side& nodes);
    [[nodiscard]] bool is_split() const { return m_is_split; }
    [[nodiscard]] bool has_committed(log_index index) const { return m_committed.contains(index); }
    [[nodiscard]] time_point get_now() const { return m_now; }

private:
    void step(const std::vector<side>& sides);
    void record_committed(const raft_output& output);

    time_point m_now{seconds{100}};
    std::map<node_id, std::unique_ptr<raft_node>> m_nodes;
    std::map<log_index, log_entry> m_committed; ///< entries that any node has committed, by index
    bool m_is_split = false;
};

} // namespace poplarpitch
