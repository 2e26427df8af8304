// Which load digests an entry instance keeps, and how it spreads the return of refused callers by them.
#include "poplarpitch/gateway/admission_digest.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <array>
#include <limits>
#include <string>

namespace poplarpitch {
namespace {

using update_result = admission_digest::update_result;

constexpr duration validity = seconds{15};
constexpr duration spread = seconds{10};
const time_point start{seconds{100}};

load_statement make_statement(std::uint64_t term, std::uint64_t version, duration return_spread = spread) {
    return {term, version, validity, return_spread, 7};
}

TEST(admission_digest, has_no_digest_and_no_delay_at_first) {
    const admission_digest digest;
    EXPECT_FALSE(digest.find(start).has_value());
    EXPECT_FALSE(digest.get_age(start).has_value());
    EXPECT_EQ(digest.get_return_delay("/queue/1", start), duration{0});
}

TEST(admission_digest, takes_newer_versions_and_terms) {
    admission_digest digest;
    EXPECT_EQ(digest.update(make_statement(3, 9), start), update_result::new_term);
    EXPECT_EQ(digest.update(make_statement(3, 10), start), update_result::updated);
    EXPECT_EQ(digest.update(make_statement(4, 1), start), update_result::new_term);
    EXPECT_EQ(digest.find(start), make_statement(4, 1));
}

/// A deposed leader whose last frames arrive late must not replace what its successor states.
TEST(admission_digest, ignores_older_versions_and_terms) {
    admission_digest digest;
    digest.update(make_statement(4, 5), start);
    EXPECT_EQ(digest.update(make_statement(4, 4), start), update_result::ignored);
    EXPECT_EQ(digest.update(make_statement(3, 99), start), update_result::ignored);
    EXPECT_EQ(digest.find(start), make_statement(4, 5));
}

/// Otherwise a copy of an old frame would keep its digest for longer than the leader allows.
TEST(admission_digest, does_not_extend_the_validity_by_a_copy) {
    admission_digest digest;
    digest.update(make_statement(4, 5), start);
    EXPECT_EQ(digest.update(make_statement(4, 5), start + seconds{10}), update_result::ignored);
    EXPECT_FALSE(digest.find(start + validity).has_value());
}

TEST(admission_digest, drops_a_digest_when_its_validity_has_passed) {
    admission_digest digest;
    digest.update(make_statement(4, 5), start);
    const auto last = start + validity - milliseconds{1};
    EXPECT_TRUE(digest.find(last).has_value());
    EXPECT_EQ(digest.get_age(last), validity - milliseconds{1});
    EXPECT_FALSE(digest.find(start + validity).has_value());
    EXPECT_FALSE(digest.get_age(start + validity).has_value());
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(digest.get_return_delay(std::to_string(number), start + validity), duration{0});
    }
}

/// A cluster that was founded again begins with low terms; entry instances must follow it without a restart.
TEST(admission_digest, takes_a_lower_term_once_the_kept_digest_has_expired) {
    admission_digest digest;
    digest.update(make_statement(40, 5), start);
    EXPECT_EQ(digest.update(make_statement(1, 1), start + validity), update_result::new_term);
    EXPECT_EQ(digest.find(start + validity), make_statement(1, 1));
}

TEST(admission_digest, counts_a_term_as_new_only_once) {
    admission_digest digest;
    digest.update(make_statement(4, 5), start);
    EXPECT_EQ(digest.update(make_statement(4, 6), start + 2 * validity), update_result::updated);
}

TEST(admission_digest, ignores_a_digest_without_validity) {
    admission_digest digest;
    EXPECT_EQ(digest.update({4, 5, duration{0}, spread, 7}, start), update_result::ignored);
    EXPECT_FALSE(digest.find(start).has_value());
}

TEST(admission_digest, adds_nothing_while_no_work_waits) {
    admission_digest digest;
    digest.update(make_statement(4, 5, duration{0}), start);
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(digest.get_return_delay(std::to_string(number), start), duration{0});
    }
}

TEST(admission_digest, spreads_many_targets_evenly_over_the_whole_spread) {
    constexpr int targets = 10'000;
    constexpr std::size_t parts = 10;
    constexpr int expected = targets / static_cast<int>(parts);
    admission_digest digest;
    digest.update(make_statement(4, 5), start);
    std::array<int, parts> counts{};
    for (int number = 0; number < targets; ++number) {
        const auto delay = digest.get_return_delay("/queue/" + std::to_string(number), start);
        ASSERT_GE(delay, duration{0});
        ASSERT_LE(delay, spread);
        const auto part = static_cast<std::size_t>(delay * parts / (spread + milliseconds{1}));
        ++counts.at(part);
    }
    for (const auto count : counts) { // 0.15 is five standard deviations
        EXPECT_NEAR(count, expected, expected * 0.15);
    }
}

/// Repeated submissions of one job, through any entry instance, must not move it to another place.
TEST(admission_digest, gives_one_target_the_same_delay_at_all_instances) {
    admission_digest first;
    admission_digest second;
    first.update(make_statement(4, 5), start);
    second.update(make_statement(4, 8), start + seconds{1});
    for (int number = 0; number < 100; ++number) {
        const auto target = "/queue/" + std::to_string(number);
        EXPECT_EQ(first.get_return_delay(target, start), second.get_return_delay(target, start + seconds{2}));
    }
}

TEST(admission_digest, reads_a_digest_from_the_wire) {
    job_wire::load_digest message;
    message.set_term(4);
    message.set_version(5);
    message.set_validity_ms(15'000);
    message.set_return_spread_ms(10'000);
    message.set_open_jobs(7);
    EXPECT_EQ(read_load_digest(message), make_statement(4, 5));
}

/// A faulty leader must not make callers stay away, nor its digest stay in use, for longer than the bounds.
TEST(admission_digest, bounds_what_a_leader_states) {
    job_wire::load_digest message;
    message.set_validity_ms(std::numeric_limits<std::int64_t>::max());
    message.set_return_spread_ms(std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(read_load_digest(message).validity, admission_digest::max_validity);
    EXPECT_EQ(read_load_digest(message).return_spread, admission_digest::max_return_spread);
    message.set_validity_ms(std::numeric_limits<std::int64_t>::min());
    message.set_return_spread_ms(-1);
    EXPECT_EQ(read_load_digest(message).validity, duration{0});
    EXPECT_EQ(read_load_digest(message).return_spread, duration{0});
}

} // namespace
} // namespace poplarpitch
