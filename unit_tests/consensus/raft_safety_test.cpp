#include "unit_tests/support/raft_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace poplarpitch {
namespace {

RC_GTEST_PROP(raft_safety, holds_under_losses_crashes_and_cuts, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    raft_harness harness({}, seed);
    const auto violation = harness.run();
    RC_LOG() << "seed " << seed;
    RC_ASSERT(violation == "");
}

RC_GTEST_PROP(raft_safety, holds_with_five_voters, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    harness_settings settings;
    settings.nodes = 5;
    settings.spares = 1;
    raft_harness harness(settings, seed);
    RC_LOG() << "seed " << seed;
    RC_ASSERT(harness.run() == "");
}

RC_GTEST_PROP(raft_safety, commits_again_once_the_faults_end, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    harness_settings settings;
    settings.has_membership = false;
    settings.steps = 1000;
    raft_harness harness(settings, seed);
    RC_LOG() << "seed " << seed;
    RC_ASSERT(harness.run() == "");
    RC_ASSERT(harness.settle() == "");
}

TEST(raft_safety, is_deterministic) {
    raft_harness first({}, 42);
    raft_harness second({}, 42);
    first.run();
    second.run();
    EXPECT_GT(first.get_committed_count(), 10U);
    EXPECT_EQ(first.hash_committed(), second.hash_committed());
}

/// Runs seeds until a property breaks. Returns the number of seeds it took, or 0 when none broke.
int find_violation(const harness_settings& settings) {
    constexpr int most_seeds = 2000;
    for (int seed = 1; seed <= most_seeds; ++seed) {
        raft_harness harness(settings, static_cast<std::uint64_t>(seed));
        if (!harness.run().empty()) {
            return seed;
        }
    }
    return 0;
}

// Each rule is switched off once; a harness that did not notice would prove nothing.

TEST(raft_mutation, vote_for_an_incomplete_log_is_found) {
    harness_settings settings;
    settings.rules.vote_needs_complete_log = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, second_vote_in_a_term_is_found) {
    harness_settings settings;
    settings.rules.one_vote_per_term = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, skipped_check_of_the_previous_entry_is_found) {
    harness_settings settings;
    settings.rules.append_checks_previous = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, half_a_quorum_is_found) {
    harness_settings settings;
    settings.nodes = 4;
    settings.spares = 0;
    settings.has_membership = false;
    settings.rules.quorum_is_majority = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, read_without_a_quorum_round_is_found) {
    harness_settings settings;
    settings.rules.read_needs_quorum_round = false;
    EXPECT_GT(find_violation(settings), 0);
}

/// Five nodes, of which 1, 2 and 3 founded the cluster, and a network that only carries what a side allows.
class split_cluster {
public:
    explicit split_cluster(const raft_rules& rules) {
        for (node_id id = 1; id <= 5; ++id) {
            raft_start start;
            start.id = id;
            start.seed = 3;
            if (id <= 3) {
                start.initial = {{1, 2, 3}, {}};
            }
            m_nodes[id] = std::make_unique<raft_node>(raft_settings{}, start, m_now, rules);
        }
    }

    /// Lets time pass on one side of the cut; the others stand still.
    void run(const std::set<node_id>& side, duration length) {
        for (const auto end = m_now + length; m_now < end; m_now += milliseconds{10}) {
            for (const auto id : side) {
                m_nodes[id]->tick(m_now);
            }
            std::vector<raft_message> messages;
            for (const auto id : side) {
                auto output = m_nodes[id]->take_output();
                std::copy(output.messages.begin(), output.messages.end(), std::back_inserter(messages));
                for (const auto& entry : output.committed) {
                    const auto [known, is_new] = m_committed.emplace(entry.index, entry);
                    m_is_split = m_is_split || (!is_new && known->second != entry);
                }
            }
            for (const auto& message : messages) {
                if (side.contains(message.to)) {
                    m_nodes[message.to]->step(message, m_now);
                }
            }
        }
    }

    raft_node& get_leader(const std::set<node_id>& side) {
        for (const auto id : side) {
            if (m_nodes[id]->get_role() == raft_role::leader) {
                return *m_nodes[id];
            }
        }
        return *m_nodes[*side.begin()];
    }

    [[nodiscard]] bool is_split() const { return m_is_split; }
    [[nodiscard]] time_point get_now() const { return m_now; }

private:
    time_point m_now{seconds{100}};
    std::map<node_id, std::unique_ptr<raft_node>> m_nodes;
    std::map<log_index, log_entry> m_committed;
    bool m_is_split = false;
};

/// A cut-off leader adds two nodes of its side while the other founders elect a leader of theirs.
bool split_by_membership(const raft_rules& rules) {
    split_cluster cluster(rules);
    const std::set<node_id> founders = {1, 2, 3};
    cluster.run(founders, seconds{2});
    auto& leader = cluster.get_leader(founders);
    const std::set<node_id> minority = {leader.get_id(), 4, 5};
    std::set<node_id> others = founders;
    others.erase(leader.get_id());
    for (const node_id added : {node_id{4}, node_id{5}}) {
        static_cast<void>(leader.add_learner(added, cluster.get_now()));
        static_cast<void>(leader.promote(added, cluster.get_now()));
    }
    cluster.run(minority, milliseconds{300});
    cluster.run(others, seconds{3});
    return cluster.is_split();
}

TEST(raft_mutation, two_membership_changes_at_once_split_the_cluster) {
    EXPECT_FALSE(split_by_membership({}));
    raft_rules rules;
    rules.one_membership_change = false;
    EXPECT_TRUE(split_by_membership(rules));
}

} // namespace
} // namespace poplarpitch
