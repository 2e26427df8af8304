#include "poplarpitch/state/state_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace poplarpitch {
namespace {

constexpr const char* small_config = "[tenant t]\n[service s]\n[batch b]\ncores = 1\n";

class state_machine_test : public testing::Test {
protected:
    wire::command_result apply(const wire::command& command) { return m_machine.apply(++m_index, command); }

    wire::command_result put(const std::string& text, std::uint64_t base, const std::string& id) {
        wire::command command;
        command.mutable_config()->set_text(text);
        command.mutable_config()->set_base_version(base);
        command.mutable_config()->set_change_id(id);
        return apply(command);
    }

    void open(const std::string& entry, std::uint64_t incarnation = 1) {
        wire::command command;
        command.mutable_open()->mutable_opened()->set_entry(entry);
        command.mutable_open()->mutable_opened()->set_incarnation(incarnation);
        EXPECT_EQ(apply(command).code(), 0U);
    }

    wire::command_result add_worker(const std::string& id, const std::string& address = "a:1") {
        wire::command command;
        auto& worker = *command.mutable_register_target()->mutable_registered();
        worker.set_id(id);
        worker.set_address(address);
        worker.mutable_capacity()->set_millicores(64000);
        worker.mutable_capacity()->set_memory(1LL << 40);
        return apply(command);
    }

    wire::command_result assign_owner(const std::string& worker, const std::string& owner,
                                      std::uint64_t epoch) {
        wire::command command;
        command.mutable_owner()->set_worker(worker);
        command.mutable_owner()->set_owner(owner);
        command.mutable_owner()->set_expected_epoch(epoch);
        return apply(command);
    }

    state_machine m_machine;
    log_index m_index = 0;
};

/// A former owner reports its worker as silent after the worker was assigned to another owner, and an
/// assignment of a job under the old epoch arrives late too. Returns true if either had an effect.
bool old_epoch_has_effect(const state_rules& rules) {
    state_machine machine({}, rules);
    log_index index = 0;
    wire::command config;
    config.mutable_config()->set_text(small_config);
    machine.apply(++index, config);
    for (const auto* entry : {"old", "new"}) {
        wire::command open;
        open.mutable_open()->mutable_opened()->set_entry(entry);
        open.mutable_open()->mutable_opened()->set_incarnation(1);
        machine.apply(++index, open);
    }
    wire::command add;
    add.mutable_register_target()->mutable_registered()->set_id("w");
    add.mutable_register_target()->mutable_registered()->mutable_capacity()->set_millicores(64000);
    machine.apply(++index, add);
    const auto assign_owner = [&](const std::string& owner) {
        wire::command command;
        command.mutable_owner()->set_worker("w");
        command.mutable_owner()->set_owner(owner);
        command.mutable_owner()->set_expected_epoch(machine.get_fleet().find_worker("w")->epoch());
        machine.apply(++index, command);
    };
    assign_owner("old");
    const auto old_epoch = machine.get_fleet().find_worker("w")->epoch();
    wire::command submit;
    submit.mutable_submit()->mutable_submitted()->set_id("j");
    submit.mutable_submit()->mutable_submitted()->set_tenant("t");
    submit.mutable_submit()->mutable_submitted()->set_batch("b");
    machine.apply(++index, submit);
    assign_owner("new");
    wire::command assign;
    assign.mutable_assign()->set_job("j");
    assign.mutable_assign()->set_attempt(1);
    assign.mutable_assign()->set_worker("w");
    assign.mutable_assign()->set_epoch(old_epoch);
    machine.apply(++index, assign);
    wire::command mark;
    mark.mutable_mark()->set_worker("w");
    mark.mutable_mark()->set_epoch(old_epoch);
    mark.mutable_mark()->set_silent(true);
    machine.apply(++index, mark);
    return machine.get_jobs().get_active_count() != 0 || machine.get_fleet().find_worker("w")->silent();
}

TEST(fleet_mutation, command_of_a_former_owner_is_found) {
    EXPECT_FALSE(old_epoch_has_effect({}));
    state_rules rules;
    rules.epoch_is_compared = false;
    EXPECT_TRUE(old_epoch_has_effect(rules));
}

TEST_F(state_machine_test, first_of_two_racing_changes_wins) {
    EXPECT_EQ(put(small_config, 0, "one").code(), 0U);
    const auto second = put(std::string(small_config) + "[tenant u]\n", 0, "two");
    EXPECT_EQ(second.code(), static_cast<std::uint32_t>(state_errc::version_conflict));
    EXPECT_EQ(second.config().version(), 1U);
    EXPECT_EQ(m_machine.get_configs().get_current().change_id(), "one");
}

TEST_F(state_machine_test, resent_change_gets_its_first_answer) {
    EXPECT_EQ(put(small_config, 0, "one").config().version(), 1U);
    EXPECT_EQ(put(small_config, 1, "two").config().version(), 2U);
    const auto again = put(small_config, 0, "one");
    EXPECT_EQ(again.code(), 0U);
    EXPECT_TRUE(again.repeated_change());
    EXPECT_EQ(again.config().version(), 1U);
    EXPECT_EQ(m_machine.get_configs().get_version(), 2U);
}

TEST_F(state_machine_test, refuses_a_text_with_errors) {
    EXPECT_EQ(put("[nonsense]\n", 0, "one").code(), static_cast<std::uint32_t>(state_errc::invalid_config));
    EXPECT_EQ(m_machine.get_configs().get_version(), 0U);
}

TEST_F(state_machine_test, every_change_of_owner_raises_the_epoch) {
    open("e1");
    open("e2");
    add_worker("w");
    EXPECT_EQ(assign_owner("w", "e1", 1).worker_record().epoch(), 2U);
    EXPECT_EQ(assign_owner("w", "e2", 1).code(), static_cast<std::uint32_t>(state_errc::stale_epoch));
    EXPECT_EQ(assign_owner("w", "e2", 2).worker_record().epoch(), 3U);
}

TEST_F(state_machine_test, session_end_frees_its_workers) {
    open("e1", 1);
    add_worker("w");
    assign_owner("w", "e1", 1);
    open("e1", 2); // a restarted process of the same entry
    EXPECT_EQ(m_machine.get_fleet().get_unowned().size(), 1U);
    EXPECT_EQ(m_machine.get_fleet().find_worker("w")->epoch(), 3U);
    wire::command close;
    close.mutable_close()->set_entry("e1");
    close.mutable_close()->set_incarnation(1);
    EXPECT_EQ(apply(close).code(), static_cast<std::uint32_t>(state_errc::unknown_session));
}

TEST_F(state_machine_test, address_of_a_live_worker_cannot_be_taken) {
    EXPECT_EQ(add_worker("w", "a:1").code(), 0U);
    EXPECT_EQ(add_worker("w", "b:2").code(), static_cast<std::uint32_t>(state_errc::address_taken));
    wire::command mark;
    mark.mutable_mark()->set_worker("w");
    mark.mutable_mark()->set_epoch(1);
    mark.mutable_mark()->set_silent(true);
    EXPECT_EQ(apply(mark).code(), 0U);
    EXPECT_EQ(add_worker("w", "b:2").code(), 0U);
}

TEST_F(state_machine_test, refuses_a_job_that_no_worker_could_hold) {
    put(small_config, 0, "one");
    add_worker("w");
    wire::command command;
    auto& job = *command.mutable_submit()->mutable_submitted();
    job.set_id("j");
    job.set_tenant("t");
    job.set_batch("b");
    job.mutable_need()->set_millicores(65000);
    EXPECT_EQ(apply(command).code(), static_cast<std::uint32_t>(state_errc::never_fits));
    job.mutable_need()->set_millicores(64000);
    EXPECT_EQ(apply(command).code(), 0U);
    job.set_tenant("nobody");
    job.set_id("k");
    EXPECT_EQ(apply(command).code(), static_cast<std::uint32_t>(state_errc::unknown_tenant));
}

TEST_F(state_machine_test, unreadable_command_changes_nothing) {
    const auto before = m_machine.hash_state();
    const auto outcome = m_machine.apply_bytes(0, "\xff\xff\xff not a command");
    EXPECT_EQ(outcome.code(), static_cast<std::uint32_t>(state_errc::malformed));
    EXPECT_EQ(m_machine.hash_state(), before);
}

/// Creates a random command. Most commands match existing records.
wire::command make_command(std::mt19937_64& random, std::uint64_t version) {
    wire::command command;
    const auto name = [&](const char* prefix) {
        return prefix + std::to_string(random() % 4);
    };
    switch (random() % 9) {
    case 0:
        command.mutable_open()->mutable_opened()->set_entry(name("e"));
        command.mutable_open()->mutable_opened()->set_incarnation(random() % 3);
        break;
    case 1:
        command.mutable_config()->set_text(small_config);
        command.mutable_config()->set_base_version(version);
        command.mutable_config()->set_change_id(std::to_string(random() % 1000));
        break;
    case 2:
        command.mutable_register_target()->mutable_registered()->set_id(name("w"));
        command.mutable_register_target()->mutable_registered()->mutable_capacity()->set_millicores(64000);
        break;
    case 3:
        command.mutable_owner()->set_worker(name("w"));
        command.mutable_owner()->set_owner(name("e"));
        command.mutable_owner()->set_expected_epoch(random() % 5);
        break;
    case 4:
        command.mutable_submit()->mutable_submitted()->set_id("j" + std::to_string(random() % 30));
        command.mutable_submit()->mutable_submitted()->set_tenant("t");
        command.mutable_submit()->mutable_submitted()->set_batch("b");
        break;
    case 5:
        command.mutable_assign()->set_job("j" + std::to_string(random() % 30));
        command.mutable_assign()->set_attempt(random() % 3 + 1);
        command.mutable_assign()->set_worker(name("w"));
        command.mutable_assign()->set_epoch(random() % 5);
        break;
    case 6:
        command.mutable_event()->set_job("j" + std::to_string(random() % 30));
        command.mutable_event()->set_attempt(random() % 3 + 1);
        command.mutable_event()->set_kind(static_cast<wire::job_event_kind>(random() % 13));
        command.mutable_event()->set_at_ms(static_cast<std::int64_t>(random() % 1000));
        break;
    case 7:
        command.mutable_begin()->mutable_begun()->set_key(name("k"));
        command.mutable_begin()->mutable_begun()->set_entry(name("e"));
        break;
    default:
        command.mutable_close()->set_entry(name("e"));
        command.mutable_close()->set_incarnation(random() % 3);
        break;
    }
    return command;
}

RC_GTEST_PROP(state_machine, snapshot_and_log_lead_to_the_same_state, ()) {
    std::mt19937_64 random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
    state_machine original;
    state_machine restored;
    const int steps = 400;
    const int snapshot_step = static_cast<int>(random() % steps);
    for (int step = 1; step <= steps; ++step) {
        const auto command = make_command(random, original.get_configs().get_version());
        original.apply(static_cast<log_index>(step), command);
        if (step > snapshot_step) {
            restored.apply(static_cast<log_index>(step), command);
        } else if (step == snapshot_step) {
            RC_ASSERT(restored.load(original.save()));
        }
        std::set<std::string> owned;
        for (const auto& [id, worker] : original.get_fleet().get_workers()) {
            RC_ASSERT(original.get_fleet().get_owned(worker.owner()).contains(id));
        }
    }
    if (snapshot_step > 0) {
        RC_ASSERT(original.hash_state() == restored.hash_state());
    }
}

/// Two operators race with equal versions and resend after lost results. Returns the first violated property.
std::string race_operators(const state_rules& rules, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    state_machine machine({}, rules);
    std::map<std::string, std::uint64_t> accepted; // by change id
    std::uint64_t last = 0;
    for (log_index index = 1; index <= 60; ++index) {
        wire::command command;
        auto& change = *command.mutable_config();
        const auto number = random() % 25;
        change.set_change_id(std::to_string(number));
        // A version that was read earlier. A resent change has the same version again.
        change.set_base_version(number / 2);
        change.set_text(std::string(small_config) + "[tenant x" + std::to_string(number) + "]\n");
        const auto outcome = machine.apply(index, command);
        const auto version = machine.get_configs().get_version();
        if (version < last || version > last + 1) {
            return "the version did not increase by one";
        }
        if (version == last + 1 && change.base_version() != last) {
            return "a change of an older version was accepted";
        }
        last = version;
        if (outcome.code() == 0) {
            const auto [known, is_new] = accepted.emplace(change.change_id(), outcome.config().version());
            if (!is_new && known->second != outcome.config().version()) {
                return "a resent change was accepted again";
            }
        }
    }
    return "";
}

RC_GTEST_PROP(config_table, racing_operators_get_one_history, ()) {
    RC_ASSERT(race_operators({}, *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())) == "");
}

int find_race(const state_rules& rules) {
    for (int seed = 1; seed <= 200; ++seed) {
        if (!race_operators(rules, static_cast<std::uint64_t>(seed)).empty()) {
            return seed;
        }
    }
    return 0;
}

TEST(config_mutation, unchecked_version_is_found) {
    state_rules rules;
    rules.config_compares_version = false;
    EXPECT_GT(find_race(rules), 0);
}

TEST(config_mutation, forgotten_change_id_is_found) {
    // Versions are not checked either, because the version check alone refuses most resends.
    state_rules rules;
    rules.config_deduplicates_changes = false;
    rules.config_compares_version = false;
    EXPECT_GT(find_race(rules), 0);
}

} // namespace
} // namespace poplarpitch
