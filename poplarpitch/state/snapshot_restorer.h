#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpitch {

/// A state made from a backup, ready to found a cluster anew.
struct restored_state {
    std::string data;            ///< bytes of a snapshot
    std::uint64_t index = 0;     ///< index that its log starts behind
    std::uint64_t queued = 0;    ///< jobs that will run
    std::uint64_t lost = 0;      ///< jobs that run again once their leases are over
    std::uint64_t uncertain = 0; ///< jobs that wait for an operator

    friend bool operator==(const restored_state&, const restored_state&) = default;
};

/// Makes the state of a new cluster from a backup of an older one. What happened after the backup is not
/// known to it, but workers and entries remember, so nothing of the new cluster may look older to them than
/// what they know: indexes, epochs and attempts go up by a step that no cluster takes between two backups.
/// Sessions end. A job that is not idempotent and had not ended may have run since: it becomes
/// `outcome_unknown` and waits for an operator. An idempotent one that was with a worker waits for its lease,
/// then runs again. Returns nothing when the bytes are no snapshot. Thread safety: any thread.
[[nodiscard]] std::optional<restored_state> restore_snapshot(std::string_view backup, std::int64_t wall_ms);

} // namespace poplarpitch
