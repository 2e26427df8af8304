// Runs a scheduler whose data folder holds a snapshot that it cannot parse.
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stored_snapshot.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr int storage_failure_exit_code = 3; // as docs/OPERATIONS.md states

// It went on with an empty state; once elected, it would have lost every accepted job.
TEST(unreadable_snapshot, ends_the_process_before_it_takes_part_in_the_log) {
    scheduler_cluster cluster(1);
    cluster.put_config(1);
    auto& scheduler = cluster.get_scheduler(1);
    scheduler.kill();
    write_snapshot(cluster.get_folder() + "/data-1", "no snapshot");
    cluster.start_scheduler(1);
    EXPECT_EQ(cluster.get_scheduler(1).wait(), storage_failure_exit_code);
    const auto log = cluster.get_scheduler(1).read_log();
    EXPECT_NE(log.find("event=snapshot_unreadable"), std::string::npos);
}

} // namespace
} // namespace poplarpitch
