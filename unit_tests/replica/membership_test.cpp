// Bootstrapping a cluster from its seeds, and replacing members that lost their disk or are lost for good.
#include "poplarpitch/replica/member_planner.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/replica/seed_bootstrap.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr duration voter_loss_timeout = seconds{12};
const time_point start{seconds{100}};

node_id make_node(std::uint32_t ip, std::uint32_t nonce = 1) {
    return make_node_id(ip, nonce);
}

/// Five voters on instances 1 to 5. Instance 1 leads, and all others have just answered.
membership_view make_view(time_point now) {
    membership_view view;
    view.self = make_node(1);
    view.last_index = 1000;
    view.leading_since = start;
    for (std::uint32_t ip = 1; ip <= 5; ++ip) {
        view.members = view.members.with_voter(make_node(ip));
        if (ip != 1) {
            view.progress[make_node(ip)].match = 1000;
            view.progress[make_node(ip)].last_response = now;
        }
    }
    return view;
}

TEST(seed_bootstrap, waits_until_it_knows_the_node_ids_of_all_seeds) {
    const seed_status unreached;
    const seed_status blank{true, make_node(2), node_phase::bootstrapping, {}};
    EXPECT_EQ(decide_seed_bootstrap(make_node(1), {blank, unreached}).action, bootstrap_decision::kind::wait);
    const seed_status other{true, make_node(3), node_phase::bootstrapping, {}};
    const auto decision = decide_seed_bootstrap(make_node(1), {blank, other});
    EXPECT_EQ(decision.action, bootstrap_decision::kind::create);
    EXPECT_EQ(decision.members.voters.size(), 3U);
}

TEST(seed_bootstrap, takes_the_members_that_another_initial_voter_has_stored) {
    raft_membership members;
    members = members.with_voter(make_node(1)).with_voter(make_node(2)).with_voter(make_node(3));
    const seed_status bootstrapped{true, make_node(2), node_phase::bootstrapped, members};
    EXPECT_EQ(decide_seed_bootstrap(make_node(1), {bootstrapped, {}}).members, members);
}

TEST(seed_bootstrap, joins_a_cluster_that_was_bootstrapped_without_it) {
    raft_membership members;
    members = members.with_voter(make_node(1, 9)).with_voter(make_node(2)).with_voter(make_node(3));
    const seed_status bootstrapped{true, make_node(2), node_phase::bootstrapped, members};
    EXPECT_EQ(decide_seed_bootstrap(make_node(1, 10), {bootstrapped, bootstrapped}).action,
              bootstrap_decision::kind::join);
}

TEST(member_planner, does_nothing_while_all_members_are_healthy) {
    const member_planner planner(5, voter_loss_timeout);
    const auto now = start + seconds{1};
    EXPECT_FALSE(planner.plan(make_view(now), now).has_value());
}

TEST(member_planner,
     removes_the_old_id_of_an_instance_that_lost_its_disk_then_adds_and_promotes_the_new_one) {
    member_planner planner(5, voter_loss_timeout);
    const auto now = start + seconds{1};
    auto view = make_view(now);
    const auto fresh = make_node(5, 2);
    planner.on_join(fresh, now);
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::remove, make_node(5)}));
    view.members = view.members.without(make_node(5));
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::add_learner, fresh}));
    view.members = view.members.with_learner(fresh);
    view.progress[fresh].match = 100;
    view.progress[fresh].last_response = now;
    EXPECT_FALSE(planner.plan(view, now).has_value()); // not caught up yet
    view.progress[fresh].match = 990;
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::promote, fresh}));
}

TEST(member_planner, grows_from_the_founders_to_the_wanted_number) {
    member_planner planner(5, voter_loss_timeout);
    const auto now = start + seconds{1};
    auto view = make_view(now);
    view.members = view.members.without(make_node(4)).without(make_node(5));
    EXPECT_FALSE(planner.plan(view, now).has_value());
    planner.on_join(make_node(4), now);
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::add_learner, make_node(4)}));
}

// Guards against voters that stand in few data centres although others have instances: the loss of one data
// centre then costs two votes of five.
TEST(member_planner, adds_an_instance_of_the_data_centre_with_the_fewest_members) {
    member_planner planner(5, voter_loss_timeout);
    const auto now = start + seconds{1};
    auto view = make_view(now);
    view.members = view.members.without(make_node(4)).without(make_node(5));
    for (std::uint32_t ip = 1; ip <= 3; ++ip) {
        view.data_centres[ip] = "hall-" + std::to_string(ip);
    }
    view.data_centres[6] = "hall-1";
    view.data_centres[7] = "hall-4";
    planner.on_join(make_node(6), now);
    planner.on_join(make_node(7), now);
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::add_learner, make_node(7)}));
}

TEST(member_planner, adds_an_instance_whose_data_centre_is_not_known) {
    member_planner planner(5, voter_loss_timeout);
    const auto now = start + seconds{1};
    auto view = make_view(now);
    view.members = view.members.without(make_node(4)).without(make_node(5));
    planner.on_join(make_node(6), now);
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::add_learner, make_node(6)}));
}

TEST(member_planner, lists_the_nodes_that_asked_to_join_recently) {
    member_planner planner(5, voter_loss_timeout);
    const auto spare = make_node(6);
    planner.on_join(spare, start);
    EXPECT_EQ(planner.get_candidates(start + seconds{1}), std::vector<node_id>{spare});
    EXPECT_TRUE(planner.get_candidates(start + seconds{3}).empty());
}

TEST(member_planner, keeps_a_silent_voter_until_another_can_take_its_place) {
    member_planner planner(5, voter_loss_timeout);
    const auto now = start + seconds{60};
    auto view = make_view(now);
    view.progress[make_node(4)].last_response = start;
    EXPECT_FALSE(planner.plan(view, now).has_value());
    const auto spare = make_node(6);
    planner.on_join(spare, now);
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::add_learner, spare}));
    view.members = view.members.with_learner(spare);
    view.progress[spare].match = 1000;
    view.progress[spare].last_response = now;
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::remove, make_node(4)}));
}

TEST(member_planner, replaces_an_instance_that_is_gone_for_good_before_two_more_may_be_lost) {
    // A replaced instance counts as lost until its successor has run for 4 s. Two disks may be lost right
    // after that.
    const replica_settings settings;
    member_planner planner(settings.voters, settings.voter_loss_timeout);
    const auto now = start + seconds{3};
    auto view = make_view(now);
    view.progress[make_node(4)].last_response = start;
    planner.on_join(make_node(6), now);
    EXPECT_EQ(planner.plan(view, now), (member_step{member_step::kind::add_learner, make_node(6)}));
}

TEST(node_address, holds_the_address_of_the_instance) {
    EXPECT_EQ(get_node_ip(make_node_id(0x0a010203, 0x7fffffff)), 0x0a010203U);
    EXPECT_NE(make_node_id(0x0a010203, 1), make_node_id(0x0a010203, 2));
}

} // namespace
} // namespace poplarpitch
