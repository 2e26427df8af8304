// Runs a scheduler whose data folder holds a snapshot that it cannot parse.
#include "poplarpitch/replica/node_identity.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"
#include "unit_tests/platform/scheduler_cluster.h"

#include <gtest/gtest.h>

#include <memory>

namespace poplarpitch {
namespace {

constexpr int storage_failure_exit_code = 3; // as docs/OPERATIONS.md states

/// Replaces the state of a scheduler that does not run by a snapshot with these bytes.
void write_snapshot(const std::string& folder, const std::string& bytes) {
    posix_file_system files(folder);
    ASSERT_TRUE(files.lock());
    const auto id = load_node_identity(files, node_id{1});
    ASSERT_TRUE(id);
    raft_storage<posix_file_system> storage(files, {replica_settings{}.cluster, id.value()});
    const auto stored = storage.open();
    ASSERT_TRUE(stored);
    const auto& last = stored.value().entries.back();
    const raft_snapshot snapshot{last.index, last.term, stored.value().initial,
                                 std::make_shared<const std::string>(bytes)};
    ASSERT_TRUE(storage.save_snapshot(snapshot, stored.value().state, {}));
}

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
