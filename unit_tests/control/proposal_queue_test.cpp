#include "poplarpitch/control/proposal_queue.h"

#include "poplarpitch/consensus/consensus_error.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

/// A log that stores the payloads and returns consecutive indexes.
class fake_log {
public:
    result<log_index> propose(std::string payload, time_point /*now*/) {
        if (!is_leader) {
            return make_error_code(consensus_errc::not_leader);
        }
        payloads.push_back(std::move(payload));
        return payloads.size();
    }
    [[nodiscard]] log_term get_term() const { return term; }
    [[nodiscard]] node_id get_leader() const { return is_leader ? 1 : 2; }

    std::vector<std::string> payloads;
    log_term term = 5;
    bool is_leader = true;
};

class proposal_queue_test : public testing::Test {
protected:
    void add(const std::string& payload, proposal_urgency urgency) {
        m_queue.add(payload, urgency,
                    [this](const wire::propose_answer& answer) { m_answers.push_back(answer); });
    }

    void apply(log_index index, log_term term) {
        m_queue.on_applied({index, term, entry_kind::command, ""}, wire::command_result{}, 1);
    }

    proposal_queue m_queue{milliseconds{20}};
    fake_log m_log;
    std::vector<wire::propose_answer> m_answers;
    time_point m_now{seconds{10}};
};

TEST_F(proposal_queue_test, idle_log_appends_a_job_command_immediately_and_batches_the_next_ones) {
    add("a", proposal_urgency::deferrable);
    m_queue.propose_due(m_log, m_now);
    EXPECT_EQ(m_log.payloads.size(), 1U);
    add("b", proposal_urgency::deferrable);
    add("c", proposal_urgency::deferrable);
    m_queue.propose_due(m_log, m_now + milliseconds{19});
    EXPECT_EQ(m_log.payloads.size(), 1U);
    EXPECT_EQ(m_queue.get_next_due(), m_now + milliseconds{20});
    m_queue.propose_due(m_log, m_now + milliseconds{20});
    EXPECT_EQ(m_log.payloads, (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_FALSE(m_queue.get_next_due().has_value());
}

TEST_F(proposal_queue_test, immediate_command_is_appended_together_with_the_waiting_ones) {
    add("a", proposal_urgency::deferrable);
    m_queue.propose_due(m_log, m_now);
    add("b", proposal_urgency::deferrable);
    add("c", proposal_urgency::immediate);
    EXPECT_EQ(m_queue.get_next_due(), time_point{});
    m_queue.propose_due(m_log, m_now);
    EXPECT_EQ(m_log.payloads, (std::vector<std::string>{"a", "b", "c"})); // in the order of `add`
}

TEST_F(proposal_queue_test, answers_by_the_entry_that_was_committed) {
    add("a", proposal_urgency::immediate);
    add("b", proposal_urgency::immediate);
    m_queue.propose_due(m_log, m_now);
    apply(1, 5);
    apply(2, 6); // another leader's entry at the same index
    ASSERT_EQ(m_answers.size(), 2U);
    EXPECT_TRUE(m_answers[0].committed());
    EXPECT_FALSE(m_answers[1].committed());
    EXPECT_TRUE(m_answers[1].unknown());
    apply(2, 6);
    EXPECT_EQ(m_answers.size(), 2U);
}

TEST_F(proposal_queue_test, refusal_of_the_log_is_returned) {
    m_log.is_leader = false;
    add("a", proposal_urgency::deferrable);
    m_queue.propose_due(m_log, m_now);
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_FALSE(m_answers[0].unknown()); // it is certainly not in the log
    EXPECT_EQ(m_answers[0].leader(), 2U);
}

TEST_F(proposal_queue_test, lost_leadership_leaves_only_appended_commands_unknown) {
    add("a", proposal_urgency::deferrable);
    m_queue.propose_due(m_log, m_now);
    add("b", proposal_urgency::deferrable);
    m_queue.fail_all(2);
    ASSERT_EQ(m_answers.size(), 2U);
    EXPECT_FALSE(m_answers[0].unknown()); // "b" was still queued
    EXPECT_TRUE(m_answers[1].unknown());
    EXPECT_FALSE(m_queue.get_next_due().has_value());
}

} // namespace
} // namespace poplarpitch
