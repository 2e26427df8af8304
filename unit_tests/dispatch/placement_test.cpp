// How much of a worker a task may use, and which waiting tasks a placement pass need not check again.
#include "poplarpitch/dispatch/placement.h"

#include "poplarpitch/dispatch/refused_shapes.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::int64_t capacity = 32'000; // millicores
constexpr std::int64_t memory = 128'000;  // MB

worker_state make_worker() {
    worker_state worker;
    worker.report.capacity = {capacity, memory, 0};
    return worker;
}

step_spec make_fill(std::int64_t millicores) {
    step_spec spec;
    spec.is_filling = true;
    spec.image = "press";
    spec.millicores = millicores;
    spec.memory_mb = 1'000;
    return spec;
}

/// Checks that the room and the cost agree: a pass that relies on the room must not miss a possible
/// placement.
void expect_room_is_the_limit(const worker_state& worker, const std::vector<double>& factors) {
    auto spec = make_fill(0);
    placement_request request;
    request.spec = &spec;
    request.factors = factors;
    const auto room = get_room(worker, request);
    ASSERT_GT(room, 0);
    spec.millicores = room;
    EXPECT_TRUE(get_placement_cost(worker, request).has_value());
    spec.millicores = room + 1;
    EXPECT_FALSE(get_placement_cost(worker, request).has_value());
}

TEST(placement, a_filling_task_may_use_the_room_that_other_tasks_leave) {
    auto worker = make_worker();
    worker.reserved = {20'000, 0, 0};
    worker.filling_millicores = 5'000;
    expect_room_is_the_limit(worker, {});
}

TEST(placement, a_filling_task_may_use_what_the_serving_tasks_beside_it_tolerate) {
    auto worker = make_worker();
    worker.pressure.groups = {{0, 1, 0.9, 0.1}, {1, 2, 0.5, 0.3}};
    expect_room_is_the_limit(worker, {0.5, 2.0});
}

TEST(placement, no_filling_task_is_placed_where_serving_tasks_tolerate_no_more) {
    auto worker = make_worker();
    worker.pressure.groups = {{0, 1, 0.2, 0.2}};
    const auto spec = make_fill(0);
    placement_request request;
    request.spec = &spec;
    request.factors = {1.0};
    EXPECT_LT(get_room(worker, request), 0);
    EXPECT_FALSE(get_placement_cost(worker, request).has_value());
}

TEST(refused_shapes, one_refusal_covers_all_larger_sizes_than_the_room_found) {
    refused_shapes refused;
    refused.add("mill", make_fill(9'000), 4'000);
    EXPECT_TRUE(refused.covers("mill", make_fill(9'500)));
    EXPECT_TRUE(refused.covers("mill", make_fill(4'001)));
    EXPECT_FALSE(refused.covers("mill", make_fill(4'000)));
    EXPECT_FALSE(refused.covers("other", make_fill(9'500)));
}

TEST(refused_shapes, a_refusal_for_memory_does_not_cover_tasks_with_less) {
    refused_shapes refused;
    auto large = make_fill(2'000);
    large.memory_mb = 200'000;
    refused.add("mill", large, 4'000);
    EXPECT_TRUE(refused.covers("mill", large));
    EXPECT_FALSE(refused.covers("mill", make_fill(2'000)));
}

} // namespace
} // namespace poplarpitch
