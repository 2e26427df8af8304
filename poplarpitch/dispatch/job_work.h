#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// Room that jobs of one kind share: in one pool, filling tasks share what others leave, and the rest share
/// whole cores.
struct room_key {
    std::string pool;
    bool is_filling = false;

    friend auto operator<=>(const room_key&, const room_key&) = default;
};

/// What an open or submitted job that ends still needs.
struct job_work {
    job_id job = 0;
    room_key room;
    int priority = 0;              ///< 0 is served first
    double core_ms = 0;            ///< work of all tasks that are not done
    std::int64_t path_ms = 0;      ///< remaining critical path
    std::int64_t time_left_ms = 0; ///< until its objective passes
    bool is_past_limit = false; ///< it can no longer meet its late limit, so others of its priority go first

    friend auto operator<=>(const job_work&, const job_work&) = default;

    /// Returns true while the job can still meet its objective. Thread safety: any thread.
    [[nodiscard]] bool may_be_in_time() const { return path_ms <= time_left_ms; }
};

} // namespace poplarpitch
