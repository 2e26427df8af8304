#pragma once

#include "poplarpitch/consensus/raft_node.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// Settings of a run of the harness.
struct harness_settings {
    int nodes = 3;  ///< initial voters
    int spares = 2; ///< further nodes that can be added as members
    int steps = 3000;
    bool has_membership = true; ///< members are added, promoted and removed
    bool has_drift = true;      ///< clocks run up to 5% fast or slow
    bool sends_all_before_sync =
        false; ///< deliberate fault: sends all messages before the state they depend on is on disk
    raft_rules rules;
};

/// Simulates Raft nodes with faults that are drawn from a seed. Messages are lost, duplicated, delayed and
/// reordered. Nodes crash before or after their disk was written, one by one or all at once, or freeze and
/// resume. Links are cut. After every step the harness checks Raft's safety properties and records the first
/// violation. It does not model disks and networks any further. Thread safety: none.
class raft_harness {
public:
    raft_harness(const harness_settings& settings, std::uint64_t seed);

    /// Runs all steps. Returns the first violated property, or an empty text.
    std::string run();
    /// Stops all faults and lets the nodes elect a leader and commit. Returns what they failed to do, or an
    /// empty text.
    std::string heal_and_commit();
    /// Returns a hash of all committed entries, to compare runs.
    [[nodiscard]] std::uint64_t hash_committed() const;
    [[nodiscard]] std::size_t get_committed_count() const { return m_committed.size(); }

private:
    struct disk {
        hard_state state;
        raft_snapshot snapshot;
        std::vector<log_entry> entries;
        raft_membership initial;
    };
    struct slot {
        std::unique_ptr<raft_node> node; ///< null while crashed
        disk stored;
        double rate = 1.0;      ///< speed of its clock
        bool is_frozen = false; ///< does not run, and receives messages sent to it later
        log_index applied = 0;
        raft_membership applied_members;
        std::map<std::uint64_t, log_index> reads; ///< by token, the commit index when the read was requested
    };

    void run_random_step();
    void start(node_id id);
    void crash(node_id id);
    void process_output(node_id id);
    void persist(disk& stored, const raft_output& output);
    /// Sends the messages that a node may send before its disk is written.
    void send_early(const raft_output& output);
    void check_committed(slot& self, const log_entry& entry);
    void check_leaders();
    void change_members(node_id leader);
    void compact(node_id id);
    void deliver_one();
    [[nodiscard]] time_point get_local_time(const slot& self) const;
    [[nodiscard]] node_id pick_node();
    int pick(int bound) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound)); }
    void fail(const std::string& text);

    harness_settings m_settings;
    raft_settings m_raft;
    std::mt19937_64 m_random;
    std::map<node_id, slot> m_slots;
    std::vector<raft_message> m_messages;
    std::set<std::pair<node_id, node_id>> m_cuts;
    std::map<log_index, log_entry> m_committed; ///< entries that any node has committed, by index
    std::map<log_term, node_id> m_leaders;      ///< leader of each term
    duration m_now{seconds{1000}};
    log_index m_acknowledged = 0; ///< highest index that any leader has reported as committed
    std::uint64_t m_next_command = 1;
    std::string m_violation;
};

} // namespace poplarpitch
