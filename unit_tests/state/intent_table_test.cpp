#include "poplarpitch/state/intent_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace poplarpitch {
namespace {

wire::intent make_intent(const std::string& key, const std::string& request, std::int64_t at = 1) {
    wire::intent intent;
    intent.set_key(key);
    intent.set_request_hash("h");
    intent.set_entry("entry-" + request.substr(0, 1));
    intent.set_request_id(request);
    intent.set_begun_ms(at);
    return intent;
}

wire::intent make_end(const std::string& key, const std::string& request, intent_phase phase) {
    auto intent = make_intent(key, request);
    intent.set_phase(static_cast<std::uint32_t>(phase));
    intent.set_body("answer of " + request);
    return intent;
}

TEST(intent_table, begins_a_key_once) {
    intent_table table({}, 10, 100);
    EXPECT_FALSE(table.begin(make_intent("k", "1")));
    EXPECT_EQ(table.begin(make_intent("k", "2")), make_error_code(state_errc::key_in_use));
    EXPECT_FALSE(table.end(make_end("k", "1", intent_phase::answered)));
    EXPECT_EQ(table.begin(make_intent("k", "2")), make_error_code(state_errc::key_in_use));
    EXPECT_EQ(table.find("k")->body(), "answer of 1");
}

TEST(intent_table, refuses_a_key_with_another_request) {
    intent_table table({}, 10, 100);
    EXPECT_FALSE(table.begin(make_intent("k", "1")));
    auto other = make_intent("k", "2");
    other.set_request_hash("other");
    EXPECT_EQ(table.begin(other), make_error_code(state_errc::key_conflict));
}

TEST(intent_table, allows_a_key_again_that_certainly_did_not_run) {
    intent_table table({}, 10, 100);
    EXPECT_FALSE(table.begin(make_intent("k", "1")));
    EXPECT_FALSE(table.end(make_end("k", "1", intent_phase::not_run)));
    EXPECT_FALSE(table.begin(make_intent("k", "2")));
    EXPECT_EQ(table.end(make_end("k", "1", intent_phase::not_run)), make_error_code(state_errc::not_allowed));
}

TEST(intent_table, lost_entry_leaves_unknown_outcomes) {
    intent_table table({}, 10, 100);
    EXPECT_FALSE(table.begin(make_intent("k", "1")));
    table.mark_unknown("entry-1");
    EXPECT_EQ(table.find("k")->phase(), static_cast<std::uint32_t>(intent_phase::unknown));
    EXPECT_EQ(table.begin(make_intent("k", "2")), make_error_code(state_errc::key_in_use));
    EXPECT_FALSE(table.end(make_end("k", "1", intent_phase::answered))); // its answer arrived late
}

TEST(intent_table, is_bounded_and_forgets_by_age) {
    intent_table table({}, 2, 100);
    EXPECT_FALSE(table.begin(make_intent("a", "1", 10)));
    EXPECT_FALSE(table.begin(make_intent("b", "2", 20)));
    EXPECT_EQ(table.begin(make_intent("c", "3", 30)), make_error_code(state_errc::intents_full));
    table.expire(15);
    EXPECT_EQ(table.find("a"), nullptr);
    EXPECT_FALSE(table.begin(make_intent("c", "3", 30)));
}

TEST(intent_table, answer_too_large_to_record_becomes_unknown) {
    intent_table table({}, 2, 3);
    EXPECT_FALSE(table.begin(make_intent("a", "1")));
    EXPECT_FALSE(table.end(make_end("a", "1", intent_phase::answered)));
    EXPECT_EQ(table.find("a")->phase(), static_cast<std::uint32_t>(intent_phase::unknown));
}

/// Sends the same key many times through several entries. Outcomes are reported late or never. Returns how
/// often the request ran.
int count_runs(const state_rules& rules, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    intent_table table(rules, 10, 100);
    int runs = 0;
    std::map<std::string, bool> begun; // whether the request ran, by request id
    for (int step = 0; step < 50; ++step) {
        const auto request = std::to_string(random() % 20);
        if (random() % 2 == 0 && !begun.contains(request)) {
            if (!table.begin(make_intent("k", request))) {
                const bool is_run = random() % 3 != 0;
                begun[request] = is_run;
                runs += is_run ? 1 : 0;
            }
        } else if (begun.contains(request) && random() % 2 == 0) {
            table.end(
                make_end("k", request, begun[request] ? intent_phase::answered : intent_phase::not_run));
        } else if (random() % 4 == 0) {
            table.mark_unknown("entry-" + request.substr(0, 1));
        }
    }
    return runs;
}

RC_GTEST_PROP(intent_table, key_runs_at_most_once, ()) {
    RC_ASSERT(count_runs({}, *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())) <= 1);
}

TEST(intent_mutation, key_that_may_be_begun_again_is_found) {
    state_rules rules;
    rules.intent_begins_once = false;
    int most = 0;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        most = std::max(most, count_runs(rules, seed));
    }
    EXPECT_GT(most, 1);
}

} // namespace
} // namespace poplarpitch
