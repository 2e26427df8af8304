// Checks that no committed entry is lost when all control instances lose power at once, and as many of them
// as tolerated also lose their disks and come back as new members. POPLARPITCH_SEEDS sets the number of
// seeds.
#include "poplarpitch/consensus/early_messages.h"
#include "poplarpitch/consensus/raft_node.h"
#include "poplarpitch/replica/member_planner.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/storage/raft_storage_impl.h"
#include "unit_tests/support/memory_file_system.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

using memory_storage = raft_storage<memory_file_system>;

constexpr std::uint64_t default_seeds = 60;
constexpr std::uint32_t instances = 5;
constexpr std::uint32_t tolerated_losses = 2;
constexpr duration step_length = milliseconds{5};
constexpr duration member_interval = milliseconds{100};
constexpr duration max_start_delay = milliseconds{800}; // from a loss of power to the next process
/// Between two losses of power. Replaced disks count as voters again by then.
constexpr duration power_loss_interval = seconds{6};
constexpr duration voter_loss_timeout = milliseconds{2500};
constexpr int power_losses = 6; // per seed
constexpr int one_message_lost_in = 50;
constexpr std::uint64_t mean_sync_steps = 5;
constexpr std::uint64_t snapshot_bytes = 4000;
constexpr std::uint64_t one_step_in_that_fills_a_disk = 800; // for each instance; four seconds of steps
constexpr duration longest_full = seconds{3};

std::uint64_t get_seed_count() {
    const char* text = std::getenv("POPLARPITCH_SEEDS");
    return text == nullptr ? default_seeds : std::strtoull(text, nullptr, 10);
}

/// A control instance: its address, its disk and its process.
struct instance {
    std::uint32_t ip = 0;
    std::uint32_t nonce = 1;
    std::unique_ptr<memory_file_system> files = std::make_unique<memory_file_system>();
    std::unique_ptr<memory_storage> storage;
    std::unique_ptr<raft_node> node;   ///< null while the process is down
    std::optional<raft_output> saving; ///< being written to the disk
    raft_membership members;           ///< as of the last applied entry
    log_index applied = 0;
    hard_state state;
    std::uint64_t bytes_at_snapshot = 0;
    time_point starts_at{};
    time_point full_until{};

    [[nodiscard]] node_id get_id() const { return make_node_id(ip, nonce); }
};

/// Simulates five instances that lose all data that was not synced when they lose power.
class replaced_disks {
public:
    /// `answers_early`: deliberately sends answers before they are on disk.
    explicit replaced_disks(std::uint64_t seed, bool answers_early = false)
        : m_random(seed), m_answers_early(answers_early) {
        raft_membership initial_voters;
        for (std::uint32_t ip = 1; ip <= instances; ++ip) {
            initial_voters = initial_voters.with_voter(make_node_id(ip, 1));
        }
        for (std::uint32_t ip = 1; ip <= instances; ++ip) {
            m_instances.emplace_back();
            m_instances.back().ip = ip;
            start(m_instances.back(), initial_voters);
        }
    }

    /// Lets the disks of random instances fill up from now on, for up to `longest` each.
    void fill_disks(duration longest) { m_longest_full = longest; }

    void run(duration length) {
        const auto end = m_now + length;
        while (m_now < end) {
            step();
        }
    }

    /// Ends all processes, which lose what was not synced. `wiped` instances also lose their disks.
    void lose_power(std::uint32_t wiped) {
        std::vector<std::size_t> order = {0, 1, 2, 3, 4};
        std::shuffle(order.begin(), order.end(), m_random);
        for (std::size_t place = 0; place < order.size(); ++place) {
            auto& self = m_instances[order[place]];
            if (self.saving.has_value() && pick(2) == 0) {
                static_cast<void>(self.storage->save(*self.saving)); // the power fails right after the sync
            } else if (self.saving.has_value()) {
                self.files->fail_after(static_cast<int>(pick(2)), storage_errc::io_failed);
                static_cast<void>(self.storage->save(*self.saving)); // the power fails during the write
            }
            self.files->cut_power(m_random);
            self.saving.reset();
            self.node.reset();
            self.storage.reset();
            self.starts_at =
                m_now + milliseconds{pick(static_cast<std::uint64_t>(to_milliseconds(max_start_delay)))};
            if (place < wiped) {
                self.files = std::make_unique<memory_file_system>();
                ++self.nonce;
            }
        }
        m_messages.clear();
    }

    [[nodiscard]] const std::string& get_violation() const { return m_violation; }
    [[nodiscard]] std::size_t count_committed() const { return m_committed.size(); }
    /// Returns true when an instance leads with all entries applied and five voters.
    [[nodiscard]] bool is_recovered() const {
        for (const auto& self : m_instances) {
            if (self.node != nullptr && self.node->has_committed_in_term() &&
                self.node->get_membership().voters.size() == instances) {
                return true;
            }
        }
        return false;
    }

private:
    [[nodiscard]] std::uint64_t pick(std::uint64_t bound) { return m_random() % bound; }

    void start(instance& self, const raft_membership& initial) {
        self.storage =
            std::make_unique<memory_storage>(*self.files, storage_settings{"poplarpitch", self.get_id()});
        auto opened = self.storage->open();
        if (self.files->is_full() && !opened) {
            self.starts_at = m_now + max_start_delay; // the process ends and is started again
            return;
        }
        ASSERT_TRUE(opened.has_value()) << opened.error().message();
        auto stored = std::move(opened).value();
        if (stored.is_empty) {
            if (!self.storage->write_initial_members(initial)) {
                ASSERT_TRUE(self.files->is_full());
                self.starts_at = m_now + max_start_delay;
                return;
            }
            stored.initial = initial;
        }
        self.applied = stored.snapshot.index;
        self.members = stored.snapshot.index != 0 ? stored.snapshot.members : stored.initial;
        self.state = stored.state;
        self.bytes_at_snapshot = 0;
        raft_initial_state from{self.get_id(),  stored.state, stored.snapshot, std::move(stored.entries),
                                stored.initial, m_random()};
        self.node = std::make_unique<raft_node>(raft_settings{}, std::move(from), m_now);
    }

    void step() {
        m_now += step_length;
        deliver();
        for (auto& self : m_instances) {
            if (m_longest_full > duration{0} && pick(one_step_in_that_fills_a_disk) == 0) {
                self.full_until =
                    m_now + milliseconds{pick(static_cast<std::uint64_t>(to_milliseconds(m_longest_full)))};
            }
            self.files->set_full(m_now < self.full_until);
            if (self.node == nullptr && m_now >= self.starts_at) {
                start(self, {});
            }
            if (self.node != nullptr && !self.saving.has_value()) {
                run_iteration(self);
            } else if (self.node != nullptr && pick(mean_sync_steps) == 0) {
                end_sync(self);
            }
        }
    }

    void run_iteration(instance& self) {
        self.node->tick(m_now);
        if (self.node->has_committed_in_term()) {
            static_cast<void>(self.node->propose("command " + std::to_string(m_next_command++), m_now));
            update_membership(self);
        }
        auto output = self.node->take_output();
        if (!output.needs_sync()) {
            finish(self, output);
            return;
        }
        for (const auto& message : output.messages) {
            if (may_send_early(output, message)) {
                m_messages.push_back(message);
            }
        }
        self.saving = std::move(output);
    }

    [[nodiscard]] bool may_send_early(const raft_output& output, const raft_message& message) const {
        return m_answers_early || may_send_before_sync(output, message);
    }

    void end_sync(instance& self) {
        if (!self.storage->save(*self.saving)) {
            ASSERT_TRUE(self.files->is_full());
            return; // repeated until there is room
        }
        const auto output = std::move(*self.saving);
        self.saving.reset();
        if (output.state.has_value()) {
            self.state = *output.state;
        }
        finish(self, output);
    }

    void finish(instance& self, const raft_output& output) {
        for (const auto& message : output.messages) {
            if (!output.needs_sync() || !may_send_early(output, message)) {
                m_messages.push_back(message);
            }
        }
        if (output.install.has_value()) {
            self.applied = output.install->index;
            self.members = output.install->members;
        }
        for (const auto& entry : output.committed) {
            apply(self, entry);
        }
        if (self.storage->get_written_bytes() - self.bytes_at_snapshot > snapshot_bytes) {
            compact(self);
        }
    }

    void apply(instance& self, const log_entry& entry) {
        self.applied = entry.index;
        if (entry.kind == entry_kind::membership) {
            self.members = raft_membership::decode(entry.payload);
        }
        const auto [known, is_new] = m_committed.emplace(entry.index, entry);
        if (!is_new && known->second != entry && m_violation.empty()) {
            m_violation =
                "what was committed at index " + std::to_string(entry.index) + " is another entry now";
        }
    }

    void compact(instance& self) {
        const auto term = self.node->get_log().find_term(self.applied);
        if (!term.has_value() || self.applied <= self.node->get_snapshot().index) {
            return;
        }
        const raft_snapshot snapshot{self.applied, *term, self.members,
                                     std::make_shared<const std::string>(std::to_string(self.applied))};
        const auto rest = self.node->get_log().copy_from(self.applied + 1, SIZE_MAX);
        if (!self.storage->save_snapshot(snapshot, self.state, rest)) {
            ASSERT_TRUE(self.files->is_full());
            return;
        }
        self.node->compact(snapshot, pick(20));
        self.bytes_at_snapshot = self.storage->get_written_bytes();
    }

    /// Runs the leader's membership changes.
    void update_membership(instance& self) {
        if (m_now < m_next_member_check) {
            return;
        }
        m_next_member_check = m_now + member_interval;
        if (m_planner_term != self.node->get_term()) {
            m_planner_term = self.node->get_term();
            m_planner = member_planner(instances, voter_loss_timeout);
            m_leading_since = m_now;
        }
        for (const auto& other : m_instances) {
            if (other.node != nullptr && !other.node->get_membership().has(other.get_id())) {
                m_planner.on_join(other.get_id(), m_now);
            }
        }
        const membership_view view{
            self.node->get_membership(),           self.node->get_progress(), self.get_id(),
            self.node->get_log().get_last_index(), m_leading_since,           {}};
        const auto step = m_planner.plan(view, m_now);
        if (!step.has_value()) {
            return;
        }
        switch (step->action) {
        case member_step::kind::add_learner:
            static_cast<void>(self.node->add_learner(step->node, m_now));
            return;
        case member_step::kind::promote:
            static_cast<void>(self.node->promote(step->node, m_now));
            return;
        case member_step::kind::remove:
            static_cast<void>(self.node->remove(step->node, m_now));
            return;
        }
    }

    /// Delivers messages by the address in the node ID, as the replica does, in random order.
    void deliver() {
        std::vector<raft_message> later;
        std::shuffle(m_messages.begin(), m_messages.end(), m_random);
        for (auto& message : m_messages) {
            auto& self = m_instances[get_node_ip(message.to) - 1];
            if (self.node == nullptr || pick(one_message_lost_in) == 0) {
                continue;
            }
            if (self.saving.has_value()) {
                later.push_back(std::move(message));
            } else {
                self.node->step(message, m_now);
            }
        }
        m_messages = std::move(later);
    }

    std::mt19937_64 m_random;
    duration m_longest_full{};
    bool m_answers_early;
    time_point m_now{seconds{100}};
    std::vector<instance> m_instances;
    std::vector<raft_message> m_messages;
    std::map<log_index, log_entry> m_committed; ///< by any instance
    member_planner m_planner{instances, voter_loss_timeout};
    log_term m_planner_term = 0;
    time_point m_leading_since{};
    time_point m_next_member_check{};
    std::uint64_t m_next_command = 1;
    std::string m_violation;
};

TEST(replaced_disks, lose_nothing_committed_where_all_others_lose_their_power_too) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        replaced_disks world(seed);
        world.run(power_loss_interval);
        std::size_t before = 0;
        for (int loss = 0; loss < power_losses; ++loss) {
            ASSERT_GT(world.count_committed(), before) << "no entry was committed, seed " << seed;
            before = world.count_committed();
            world.lose_power(tolerated_losses);
            world.run(power_loss_interval);
            ASSERT_EQ(world.get_violation(), "") << "seed " << seed;
            ASSERT_TRUE(world.is_recovered()) << "not five voters again, seed " << seed;
        }
    }
}

TEST(replaced_disks, lose_nothing_committed_where_disks_fill_up_before_the_power_is_lost) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        replaced_disks world(seed);
        world.run(power_loss_interval);
        for (int loss = 0; loss < power_losses; ++loss) {
            const auto before = world.count_committed();
            world.fill_disks(longest_full);
            world.run(power_loss_interval);
            world.lose_power(loss % 2 == 0 ? tolerated_losses : 0);
            world.fill_disks({});
            world.run(longest_full + power_loss_interval);
            ASSERT_EQ(world.get_violation(), "") << "seed " << seed;
            ASSERT_TRUE(world.is_recovered()) << "not five voters again, seed " << seed;
            ASSERT_GT(world.count_committed(), before) << "no entry was committed, seed " << seed;
        }
    }
}

TEST(replaced_disks, lose_something_where_answers_do_not_wait_for_the_disk) {
    bool is_found = false;
    for (std::uint64_t seed = 1; seed <= default_seeds && !is_found; ++seed) {
        replaced_disks world(seed, true);
        world.run(power_loss_interval);
        for (int loss = 0; loss < power_losses && !is_found; ++loss) {
            world.lose_power(tolerated_losses);
            world.run(power_loss_interval);
            is_found = !world.get_violation().empty();
        }
    }
    EXPECT_TRUE(is_found) << "the check above cannot fail";
}

} // namespace
} // namespace poplarpitch
