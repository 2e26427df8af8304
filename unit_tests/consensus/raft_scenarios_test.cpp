#include "unit_tests/support/split_cluster.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

using side = split_cluster::side;

side without(side nodes, node_id id) {
    nodes.erase(id);
    return nodes;
}

/// Runs until a node leads in a term above `above`. Returns it before it has sent anything.
raft_node& elect(split_cluster& cluster, const side& nodes, log_term above) {
    EXPECT_TRUE(cluster.run_until(nodes, [&] {
        const auto* leader = cluster.find_leader(nodes);
        return leader != nullptr && leader->get_term() > above;
    }));
    return *cluster.find_leader(nodes);
}

/// A partitioned leader adds two nodes on its side while the other initial voters elect their own leader.
bool split_by_two_changes(const raft_rules& rules) {
    split_cluster cluster(5, 3, {}, rules);
    const side initial_voters = {1, 2, 3};
    cluster.run(initial_voters, seconds{2});
    auto& leader = *cluster.find_leader(initial_voters);
    for (const node_id added : {node_id{4}, node_id{5}}) {
        static_cast<void>(leader.add_learner(added, cluster.get_now()));
        static_cast<void>(leader.promote(added, cluster.get_now()));
    }
    cluster.run({leader.get_id(), 4, 5}, milliseconds{300});
    cluster.run(without(initial_voters, leader.get_id()), seconds{3});
    return cluster.is_split();
}

TEST(raft_mutation, two_membership_changes_at_once_split_the_cluster) {
    EXPECT_FALSE(split_by_two_changes({}));
    raft_rules rules;
    rules.one_membership_change = false;
    EXPECT_TRUE(split_by_two_changes(rules));
}

/// Figure 8 of the Raft paper: an entry of an older term reaches a majority and is still overwritten.
bool split_by_older_term(const raft_rules& rules) {
    raft_settings settings;
    settings.max_append_bytes = 1; // one entry per message and one message at a time, for an exact order
    settings.max_inflight = 1;
    split_cluster cluster(5, 5, settings, rules);
    const side all = {1, 2, 3, 4, 5};
    cluster.run(all, seconds{2});
    // 1. The first leader replicates its entry to one follower only.
    auto& first = *cluster.find_leader(all);
    const auto follower = first.get_id() == 1 ? node_id{2} : node_id{1};
    const auto index = first.propose("contested", cluster.get_now()).value();
    cluster.run_until({first.get_id(), follower},
                      [&] { return cluster.get(follower).get_log().get_last_index() == index; });
    // 2. The others elect a leader, which appends its own entry at that index and is cut off.
    const auto others = without(without(all, first.get_id()), follower);
    auto& second = elect(cluster, others, first.get_term());
    cluster.cut_off(second.get_id());
    const auto rest = without(others, second.get_id());
    // 3. The entry of the first term reaches a third node, but no entry of the newest term does.
    const side majority = {first.get_id(), follower, *rest.begin()};
    auto& third = cluster.get(*rest.begin());
    EXPECT_TRUE(cluster.run_until(majority, [&] { return third.get_log().get_last_index() == index; }));
    cluster.run(majority, milliseconds{10}); // delivers its response
    for (const auto id : majority) {
        cluster.cut_off(id);
    }
    EXPECT_EQ(third.get_log().get_last_index(), index);
    // 4. For all nodes outside the first side, the second leader has the newer log.
    cluster.run(others, seconds{4});
    return cluster.is_split();
}

TEST(raft_mutation, commit_of_an_older_term_by_count_is_found) {
    EXPECT_FALSE(split_by_older_term({}));
    raft_rules rules;
    rules.commit_needs_own_term = false;
    EXPECT_TRUE(split_by_older_term(rules));
}

/// Ongaro's correction of 2015: a leader that changes the membership before it has committed an entry in its
/// term does not know of a change that the previous leader had in progress.
bool split_by_early_change(const raft_rules& rules) {
    split_cluster cluster(5, 4, {}, rules);
    const side initial_voters = {1, 2, 3, 4};
    const side all = {1, 2, 3, 4, 5};
    cluster.run(initial_voters, seconds{2});
    auto& first = *cluster.find_leader(initial_voters);
    EXPECT_TRUE(first.add_learner(5, cluster.get_now()));
    cluster.run(all, milliseconds{500});
    // 1. The first leader makes node 5 a voter. Only node 5 receives the change.
    EXPECT_TRUE(first.promote(5, cluster.get_now()));
    cluster.run({first.get_id(), 5}, milliseconds{50});
    // 2. The next leader removes the first one. Only one more node receives that change.
    const auto others = without(initial_voters, first.get_id());
    auto& second = elect(cluster, others, first.get_term());
    static_cast<void>(second.remove(first.get_id(), cluster.get_now()));
    const auto rest = without(others, second.get_id());
    cluster.run({second.get_id(), *rest.begin()}, milliseconds{200});
    // 3. The first leader, node 5 and the node without either change are a majority of the first membership.
    cluster.run({first.get_id(), 5, *rest.rbegin()}, seconds{4});
    return cluster.is_split();
}

TEST(raft_mutation, membership_change_before_an_own_commit_is_found) {
    EXPECT_FALSE(split_by_early_change({}));
    raft_rules rules;
    rules.membership_needs_own_term = false;
    EXPECT_TRUE(split_by_early_change(rules));
}

TEST(raft_scenario, removed_node_back_from_a_partition_disturbs_nobody) {
    split_cluster cluster(3, 3, {}, {});
    const side all = {1, 2, 3};
    cluster.run(all, seconds{2});
    auto& leader = *cluster.find_leader(all);
    const auto removed = leader.get_id() == 3 ? node_id{2} : node_id{3};
    const auto rest = without(all, removed);
    EXPECT_TRUE(leader.remove(removed, cluster.get_now()));
    cluster.run_apart({rest, {removed}}, seconds{30}); // the partitioned node raises no term
    const auto term = leader.get_term();
    cluster.run(all, seconds{5});
    EXPECT_EQ(leader.get_role(), raft_role::leader);
    EXPECT_EQ(leader.get_term(), term);
    EXPECT_FALSE(leader.get_membership().is_voter(removed));
    EXPECT_FALSE(cluster.is_split());
}

TEST(raft_scenario, learner_added_behind_a_partition_catches_up_once_it_is_over) {
    split_cluster cluster(4, 3, {}, {});
    const side initial_voters = {1, 2, 3};
    cluster.run(initial_voters, seconds{2});
    auto& leader = *cluster.find_leader(initial_voters);
    EXPECT_TRUE(leader.add_learner(4, cluster.get_now()));
    for (int number = 0; number < 300; ++number) {
        EXPECT_TRUE(leader.propose("change " + std::to_string(number), cluster.get_now()));
    }
    cluster.run_apart({initial_voters, {4}}, seconds{10});
    EXPECT_FALSE(leader.promote(4, cluster.get_now())); // it has no entries yet
    cluster.run({1, 2, 3, 4}, seconds{2});
    EXPECT_TRUE(leader.promote(4, cluster.get_now()));
    cluster.run({1, 2, 3, 4}, seconds{1});
    EXPECT_EQ(cluster.get(4).get_log().get_last_index(), leader.get_log().get_last_index());
    EXPECT_TRUE(leader.get_membership().is_voter(4));
}

TEST(raft_scenario, second_node_lost_right_after_a_repair_loses_no_commits) {
    split_cluster cluster(4, 3, {}, {});
    const side initial_voters = {1, 2, 3};
    cluster.run(initial_voters, seconds{2});
    auto& leader = *cluster.find_leader(initial_voters);
    const auto lost = leader.get_id() == 3 ? node_id{2} : node_id{3};
    const auto rest = without(initial_voters, lost);
    const auto survivor = *without(rest, leader.get_id()).begin();
    // The repair removes the lost node, and a spare learns the log and replaces it as a voter.
    EXPECT_TRUE(leader.remove(lost, cluster.get_now()));
    cluster.run(rest, milliseconds{200});
    EXPECT_TRUE(leader.add_learner(4, cluster.get_now()));
    side repaired = rest;
    repaired.insert(4);
    cluster.run(repaired, milliseconds{500});
    EXPECT_TRUE(leader.promote(4, cluster.get_now()));
    cluster.run(repaired, milliseconds{200});
    const auto index = leader.propose("kept", cluster.get_now()).value();
    cluster.run(repaired, milliseconds{200});
    EXPECT_TRUE(cluster.has_committed(index));
    // The leader is lost right afterwards. The spare and the other initial voter keep all committed entries.
    const side survivors = {survivor, 4};
    auto& next = elect(cluster, survivors, leader.get_term());
    cluster.run(survivors, milliseconds{500});
    EXPECT_TRUE(next.propose("after", cluster.get_now()));
    cluster.run(survivors, milliseconds{500});
    EXPECT_TRUE(cluster.has_committed(next.get_log().get_last_index()));
    EXPECT_FALSE(cluster.is_split());
}

TEST(raft_scenario, second_node_lost_before_the_repair_stops_commits_without_a_split) {
    split_cluster cluster(4, 3, {}, {});
    const side initial_voters = {1, 2, 3};
    cluster.run(initial_voters, seconds{2});
    auto& leader = *cluster.find_leader(initial_voters);
    EXPECT_TRUE(leader.add_learner(4, cluster.get_now())); // appended, but never committed
    const auto index = leader.propose("alone", cluster.get_now()).value();
    cluster.run({leader.get_id(), 4}, seconds{2});
    EXPECT_FALSE(cluster.has_committed(index));
    EXPECT_NE(leader.get_role(), raft_role::leader);
    cluster.run({1, 2, 3, 4}, seconds{3}); // the other two initial voters return
    EXPECT_NE(cluster.find_leader({1, 2, 3, 4}), nullptr);
    EXPECT_FALSE(cluster.is_split());
}

} // namespace
} // namespace poplarpitch
