#pragma once

#include "poplarpitch/consensus/raft_node.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// What a run of the harness does.
struct harness_settings {
    int nodes = 3;  ///< founding voters
    int spares = 2; ///< further nodes, to be added
    int steps = 3000;
    bool has_membership = true;   ///< members are added, promoted and removed
    bool has_drift = true;        ///< clocks run up to 5% fast or slow
    bool sends_all_early = false; ///< breaks on purpose what may be sent before it is on disk
    raft_rules rules;
};

/// A few raft nodes driven by hand from a seed: messages are lost, doubled, delayed and reordered, nodes
/// crash before and after their disk was written, one by one or all at once, or freeze and wake, links are
/// cut. It checks Raft's safety properties after every step and notes the first one that is broken. It models
/// neither disks nor networks beyond that.
class raft_harness {
public:
    raft_harness(const harness_settings& settings, std::uint64_t seed);

    /// Runs all steps. Returns the first broken property, or an empty text.
    std::string run();
    /// Stops all faults and lets the nodes elect and commit. Returns what did not come about, or an empty
    /// text.
    std::string settle();
    /// Returns a hash over everything committed, to compare runs.
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
        double rate = 1.0;      ///< of its clock
        bool is_frozen = false; ///< neither runs nor loses what is sent to it
        log_index applied = 0;
        raft_membership applied_members;
        std::map<std::uint64_t, log_index> reads; ///< token and what was committed when it was asked
    };

    void act();
    void start(node_id id);
    void crash(node_id id);
    void carry_out(node_id id);
    void persist(disk& stored, const raft_output& output);
    /// Sends what may leave a node before its disk was written.
    void send_early(const raft_output& output);
    void check_committed(slot& self, const log_entry& entry);
    void check_leaders();
    void change_members(node_id leader);
    void compact(node_id id);
    void deliver_one();
    [[nodiscard]] time_point now_of(const slot& self) const;
    [[nodiscard]] node_id any_node();
    int pick(int bound) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound)); }
    void fail(const std::string& text);

    harness_settings m_settings;
    raft_settings m_raft;
    std::mt19937_64 m_random;
    std::map<node_id, slot> m_slots;
    std::vector<raft_message> m_messages;
    std::set<std::pair<node_id, node_id>> m_cuts;
    std::map<log_index, log_entry> m_committed; ///< by any node
    std::map<log_term, node_id> m_leaders;      ///< of each term
    duration m_now{seconds{1000}};
    log_index m_acknowledged = 0; ///< highest index that some leader reported as committed
    std::uint64_t m_next_command = 1;
    std::string m_violation;
};

} // namespace poplarpitch
