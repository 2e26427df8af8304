// The table of workers gives the same results as an ordered map, whatever workers come and go. A worker that
// comes changes no other one.
#include "poplarpitch/dispatch/worker_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr int id_count = 12;
constexpr int max_seconds = 20;

worker_incarnation make_incarnation(int number) {
    return {"w" + std::to_string(number), 0};
}

/// Returns the incarnations of these workers, in their order.
std::vector<worker_incarnation> get_incarnations(const std::vector<worker_state*>& workers) {
    std::vector<worker_incarnation> found;
    found.reserve(workers.size());
    for (const auto* worker : workers) {
        found.push_back(worker->report.incarnation);
    }
    return found;
}

/// The time of the next check of each worker, kept in an ordered map.
class model {
public:
    void get(const worker_incarnation& incarnation) { m_times.try_emplace(incarnation); }
    void erase(const worker_incarnation& incarnation) { m_times.erase(incarnation); }
    void schedule(const worker_incarnation& incarnation, time_point when) {
        auto& time = m_times.at(incarnation);
        time = std::min(time, when);
    }
    std::vector<worker_incarnation> take_due(time_point now, time_point next) {
        std::vector<worker_incarnation> due;
        for (auto& [incarnation, time] : m_times) {
            if (time <= now) {
                time = next;
                due.push_back(incarnation);
            }
        }
        return due;
    }
    [[nodiscard]] std::vector<worker_incarnation> get_all() const {
        std::vector<worker_incarnation> all;
        for (const auto& [incarnation, time] : m_times) {
            all.push_back(incarnation);
        }
        return all;
    }

private:
    std::map<worker_incarnation, time_point> m_times;
};

enum class step_kind : std::uint8_t { add, erase, schedule, take_due };

RC_GTEST_PROP(worker_table, agrees_with_an_ordered_map, ()) {
    worker_table table;
    model expected;
    const auto steps = *rc::gen::container<std::vector<std::tuple<step_kind, int, int>>>(rc::gen::tuple(
        rc::gen::element(step_kind::add, step_kind::erase, step_kind::schedule, step_kind::take_due),
        rc::gen::inRange(0, id_count), rc::gen::inRange(0, max_seconds)));
    for (const auto& [kind, number, second] : steps) {
        const auto incarnation = make_incarnation(number);
        const time_point when{seconds{second}};
        auto* known = table.find(incarnation);
        if (kind == step_kind::add) {
            table.get(incarnation);
            expected.get(incarnation);
        } else if (kind == step_kind::erase) {
            table.erase(incarnation);
            expected.erase(incarnation);
        } else if (kind == step_kind::schedule && known != nullptr) {
            table.schedule_check(*known, when);
            expected.schedule(incarnation, when);
        } else if (kind == step_kind::take_due) {
            const auto next = when + seconds{max_seconds};
            RC_ASSERT(get_incarnations(table.take_due(when, next)) == expected.take_due(when, next));
        }
        RC_ASSERT(get_incarnations(table.get_all()) == expected.get_all());
    }
}

RC_GTEST_PROP(worker_table, gives_no_two_workers_the_same_slot, ()) {
    worker_table table;
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
        rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, id_count)));
    for (const auto& [is_added, number] : steps) {
        if (is_added) {
            table.get(make_incarnation(number));
        } else {
            table.erase(make_incarnation(number));
        }
        std::set<std::size_t> slots;
        for (const auto* worker : table.get_all()) {
            slots.insert(worker->slot);
            RC_ASSERT(worker->slot < table.count_slots());
        }
        RC_ASSERT(slots.size() == table.get_all().size());
    }
}

// Guards against a new leader that renumbers all workers for each one that it learns of: with 10,000 workers
// the first call of a term took longer than the leader's lease.
TEST(worker_table, changes_no_other_worker_when_one_is_added_or_removed) {
    worker_table table;
    std::map<worker_incarnation, std::size_t> slots;
    for (int number = id_count; number > 0; --number) { // each is added before all others
        const auto incarnation = make_incarnation(number);
        slots[incarnation] = table.get(incarnation).slot;
    }
    table.erase(make_incarnation(id_count / 2));
    slots.erase(make_incarnation(id_count / 2));
    for (const auto& [incarnation, slot] : slots) {
        EXPECT_EQ(table.find(incarnation)->slot, slot) << incarnation.id;
    }
}

} // namespace
} // namespace poplarpitch
