#include "poplarpitch/consensus/consensus_error.h"
#include "poplarpitch/consensus/raft_node.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace poplarpitch {
namespace {

/// Three nodes on a network without faults, for tests of one rule each.
class raft_trio : public testing::Test {
protected:
    raft_trio() {
        for (node_id id = 1; id <= 3; ++id) {
            raft_initial_state start;
            start.id = id;
            start.initial = {{1, 2, 3}, {}};
            start.seed = 9;
            m_nodes[id] = std::make_unique<raft_node>(raft_settings{}, start, m_now);
        }
    }

    /// Advances time in steps. Messages to and from `m_down` are lost.
    void run(duration length) {
        for (const auto end = m_now + length; m_now < end; m_now += milliseconds{10}) {
            for (auto& [id, node] : m_nodes) {
                if (id != m_down) {
                    node->tick(m_now);
                }
            }
            exchange();
        }
    }

    void exchange() {
        std::vector<raft_message> messages;
        for (auto& [id, node] : m_nodes) {
            const auto output = node->take_output();
            messages.insert(messages.end(), output.messages.begin(), output.messages.end());
            m_applied[id] += output.committed.size();
            m_reads += output.reads.size();
        }
        for (const auto& message : messages) {
            m_entries_sent[message.to] += message.entries.size();
            if (message.to != m_down && message.from != m_down) {
                m_nodes[message.to]->step(message, m_now);
            }
        }
    }

    node_id find_leader() {
        for (auto& [id, node] : m_nodes) {
            if (id != m_down && node->get_role() == raft_role::leader) {
                return id;
            }
        }
        return 0;
    }

    time_point m_now{seconds{100}};
    std::map<node_id, std::unique_ptr<raft_node>> m_nodes;
    std::map<node_id, std::size_t> m_applied;
    std::map<node_id, std::size_t> m_entries_sent; ///< by receiver
    std::size_t m_reads = 0;
    node_id m_down = 0;
};

TEST_F(raft_trio, elects_one_leader_and_commits) {
    run(seconds{2});
    const auto leader = find_leader();
    ASSERT_NE(leader, 0U);
    ASSERT_TRUE(m_nodes[leader]->propose("x", m_now));
    run(milliseconds{200});
    EXPECT_EQ(m_applied[1], m_applied[2]);
    EXPECT_GE(m_applied[1], 2U);
}

TEST_F(raft_trio, replaces_a_lost_leader_within_a_second) {
    run(seconds{2});
    const auto first = find_leader();
    m_down = first;
    run(seconds{1});
    EXPECT_NE(find_leader(), 0U);
    EXPECT_NE(find_leader(), first);
}

TEST_F(raft_trio, leader_without_a_quorum_steps_down) {
    run(seconds{2});
    const auto leader = find_leader();
    auto& node = *m_nodes[leader];
    for (int index = 0; index < 100; ++index) {
        m_now += milliseconds{10};
        node.tick(m_now);
        static_cast<void>(node.take_output());
    }
    EXPECT_NE(node.get_role(), raft_role::leader);
    EXPECT_FALSE(node.has_lease(m_now));
}

TEST_F(raft_trio, node_back_from_a_partition_disturbs_nobody) {
    run(seconds{2});
    const auto leader = find_leader();
    const auto term = m_nodes[leader]->get_term();
    const node_id isolated = leader == 1 ? 2 : 1;
    // The isolated node receives nothing and keeps requesting votes, but its messages are lost.
    for (int index = 0; index < 1000; ++index) {
        m_now += milliseconds{10};
        for (auto& [id, node] : m_nodes) {
            node->tick(m_now);
        }
        m_down = isolated;
        exchange();
    }
    EXPECT_EQ(m_nodes[isolated]->get_term(), term); // pre-vote does not raise the term
    m_down = 0;
    run(seconds{1});
    EXPECT_EQ(find_leader(), leader);
    EXPECT_EQ(m_nodes[leader]->get_term(), term);
}

TEST_F(raft_trio, transfer_elects_another_leader) {
    run(seconds{2});
    const auto leader = find_leader();
    ASSERT_TRUE(m_nodes[leader]->transfer_leadership(0, m_now));
    EXPECT_FALSE(m_nodes[leader]->has_lease(m_now));
    EXPECT_EQ(m_nodes[leader]->propose("x", m_now).error(),
              make_error_code(consensus_errc::transfer_in_progress));
    run(milliseconds{300});
    EXPECT_NE(find_leader(), leader);
    EXPECT_NE(find_leader(), 0U);
}

TEST_F(raft_trio, reads_wait_for_a_quorum_round) {
    run(seconds{2});
    const auto leader = find_leader();
    ASSERT_TRUE(m_nodes[leader]->request_read(m_now));
    auto output = m_nodes[leader]->take_output();
    EXPECT_TRUE(output.reads.empty());
    for (const auto& message : output.messages) {
        m_nodes[message.to]->step(message, m_now);
    }
    exchange();
    exchange();
    EXPECT_EQ(m_reads, 1U);
}

TEST_F(raft_trio, bounds_uncommitted_bytes) {
    run(seconds{2});
    auto& node = *m_nodes[find_leader()];
    const std::string large(1 << 20, 'x');
    int accepted = 0;
    while (node.propose(large, m_now)) {
        ++accepted;
    }
    EXPECT_EQ(accepted, 8);
    EXPECT_EQ(node.propose(large, m_now).error(), make_error_code(consensus_errc::overloaded));
}

TEST_F(raft_trio, refuses_unsafe_membership_changes) {
    run(seconds{2});
    auto& node = *m_nodes[find_leader()];
    EXPECT_EQ(node.promote(9, m_now).error(), make_error_code(consensus_errc::unknown_node));
    EXPECT_EQ(node.add_learner(1, m_now).error(), make_error_code(consensus_errc::already_member));
    ASSERT_TRUE(node.add_learner(4, m_now));
    EXPECT_EQ(node.add_learner(5, m_now).error(), make_error_code(consensus_errc::change_in_progress));
}

TEST_F(raft_trio, sends_a_snapshot_in_chunks_to_a_follower_far_behind) {
    run(seconds{2});
    const auto leader = find_leader();
    const node_id isolated = leader == 1 ? 2 : 1;
    m_down = isolated;
    for (int index = 0; index < 50; ++index) {
        ASSERT_TRUE(m_nodes[leader]->propose("entry", m_now));
        run(milliseconds{20});
    }
    auto& node = *m_nodes[leader];
    const auto data = std::make_shared<const std::string>(std::string(700'000, 's'));
    node.compact({node.get_commit(), node.get_term(), node.get_membership(), data}, 0);
    m_down = 0;
    run(seconds{1});
    EXPECT_EQ(m_nodes[isolated]->get_commit(), node.get_commit());
    ASSERT_NE(m_nodes[isolated]->get_snapshot().data, nullptr);
    EXPECT_EQ(*m_nodes[isolated]->get_snapshot().data, *data);
}

TEST_F(raft_trio, sends_entries_once_to_a_follower_that_does_not_answer) {
    run(seconds{2});
    m_entries_sent.clear();
    const auto leader = find_leader();
    const node_id silent = leader == 1 ? 2 : 1;
    m_down = silent;
    const std::string payload(10'000, 'x');
    for (int index = 0; index < 10; ++index) {
        ASSERT_TRUE(m_nodes[leader]->propose(payload, m_now));
        run(milliseconds{200});
    }
    EXPECT_LE(m_entries_sent[silent], 10U) << "only in the rounds before it counts as silent";
    const auto sent = m_entries_sent[silent];
    run(seconds{3});
    EXPECT_EQ(m_entries_sent[silent], sent);
    m_down = 0;
    run(milliseconds{300});
    EXPECT_EQ(m_nodes[silent]->get_commit(), m_nodes[leader]->get_commit());
}

} // namespace
} // namespace poplarpitch
