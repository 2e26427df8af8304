#include "unit_tests/platform/stored_snapshot.h"

#include "poplarpitch/replica/node_identity.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace poplarpitch {

void write_snapshot(const std::string& folder, const std::string& bytes) {
    constexpr log_index later = 1'000'000; // beyond every entry of the other instances
    posix_file_system files(folder);
    ASSERT_TRUE(files.lock());
    const auto id = load_node_identity(files, node_id{1});
    ASSERT_TRUE(id);
    raft_storage<posix_file_system> storage(files, {replica_settings{}.cluster, id.value()});
    const auto stored = storage.open();
    ASSERT_TRUE(stored);
    const auto& state = stored.value().state;
    const raft_snapshot snapshot{later, state.term, stored.value().initial,
                                 std::make_shared<const std::string>(bytes)};
    ASSERT_TRUE(storage.save_snapshot(snapshot, state, {}));
}

} // namespace poplarpitch
