#include "poplarpitch/net/memory_budget.h"

#include "poplarpitch/net/memory_account.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t limit = 1U << 20;
constexpr std::size_t long_message = 300'000;
constexpr std::size_t short_message = 1000;
constexpr time_point start{seconds{100}};

/// Accounts that record in which order they are closed.
class accounts {
public:
    explicit accounts(memory_budget& budget) : m_budget(budget) {}

    memory_account& add() {
        const auto number = static_cast<int>(m_accounts.size());
        m_accounts.push_back(std::make_unique<memory_account>(
            m_budget, endpoint_kind::callers, [this, number] { m_closed.push_back(number); }));
        return *m_accounts.back();
    }
    [[nodiscard]] memory_account& get(std::size_t number) { return *m_accounts[number]; }
    [[nodiscard]] const std::vector<int>& get_closed() const { return m_closed; }

private:
    memory_budget& m_budget;
    std::vector<std::unique_ptr<memory_account>> m_accounts;
    std::vector<int> m_closed;
};

TEST(memory_budget, closes_the_connection_whose_long_message_is_the_oldest) {
    memory_budget budget(limit);
    accounts all(budget);
    for (const int age_s : {1, 3, 2, 0}) {
        all.add().hold_message(long_message, start - seconds{age_s});
    }
    EXPECT_EQ(all.get_closed(), std::vector{1});
    EXPECT_EQ(budget.get_held(), 3 * long_message);
}

TEST(memory_budget, closes_a_connection_with_a_short_message_only_when_no_other_is_left) {
    memory_budget budget(limit);
    accounts all(budget);
    all.add().hold_message(short_message, start - seconds{9});
    all.add().hold_message(2 * limit, start);
    EXPECT_EQ(all.get_closed(), std::vector{1});
    for (std::size_t number = 0; number <= limit / short_message; ++number) {
        all.add().hold_message(short_message, start);
    }
    EXPECT_EQ(all.get_closed().at(1), 0);
}

TEST(memory_budget, closes_no_connection_whose_request_is_being_handled) {
    memory_budget budget(limit);
    accounts all(budget);
    all.add().hold_request(limit);
    all.add().hold_message(long_message, start);
    EXPECT_EQ(all.get_closed(), std::vector{1});
    EXPECT_FALSE(budget.has_room_for_request(1));
    all.get(0).release();
    EXPECT_TRUE(budget.has_room_for_request(1));
}

TEST(memory_budget, keeps_room_for_short_requests_beside_long_ones) {
    memory_budget budget(limit);
    accounts all(budget);
    all.add().hold_request(limit / 4);
    EXPECT_FALSE(budget.has_room_for_request(long_message));
    EXPECT_TRUE(budget.has_room_for_request(short_message));
}

// A wrong total would close connections for good, or none any more.
RC_GTEST_PROP(memory_budget, holds_the_sum_of_what_its_accounts_hold, ()) {
    memory_budget budget(limit);
    accounts all(budget);
    std::vector<std::size_t> held;
    for (int step = 0; step < 100; ++step) {
        if (held.empty() || *rc::gen::inRange(0, 4) == 0) {
            all.add();
            held.push_back(0);
        }
        const auto number = *rc::gen::inRange<std::size_t>(0, held.size());
        const auto bytes = *rc::gen::inRange<std::size_t>(0, limit / 3);
        const auto closed_before = all.get_closed().size();
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            held[number] = bytes;
            all.get(number).hold_message(bytes, start + milliseconds{*rc::gen::inRange(0, 50)});
            break;
        case 1:
            held[number] = bytes;
            all.get(number).hold_request(bytes);
            break;
        default:
            held[number] = 0;
            all.get(number).release();
        }
        for (auto index = closed_before; index < all.get_closed().size(); ++index) {
            held[static_cast<std::size_t>(all.get_closed()[index])] = 0;
        }
        std::size_t total = 0;
        for (const auto item : held) {
            total += item;
        }
        RC_ASSERT(budget.get_held() == total);
        RC_ASSERT(budget.get_held(endpoint_kind::callers) == total);
        RC_ASSERT(budget.get_held(endpoint_kind::link) == 0U);
    }
}

} // namespace
} // namespace poplarpitch
