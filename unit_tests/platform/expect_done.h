#pragma once

#include "unit_tests/platform/stand_in_workers.h"

#include <gtest/gtest.h>

#include <string>

namespace poplarpitch {

/// Fails the test unless each of the `task_count` tasks of a job was done exactly once and no task of any job
/// ran twice at the same time.
inline void expect_each_done_once(const stand_in_workers& workers, const std::string& id, int task_count) {
    int done = 0;
    for (const auto& [task, count] : workers.get_done_counts()) {
        if (task.starts_with(id)) {
            EXPECT_EQ(count, 1) << task;
            ++done;
        }
    }
    EXPECT_EQ(done, task_count);
    EXPECT_EQ(workers.get_concurrent_start_count(), 0);
}

} // namespace poplarpitch
