#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpitch {

/// State built from a backup, for the bootstrap of a new cluster.
struct restored_state {
    std::string data;                  ///< serialized snapshot
    std::uint64_t index = 0;           ///< index after which the new log starts
    std::uint64_t queued = 0;          ///< number of queued jobs, which will run
    std::uint64_t lost = 0;            ///< number of jobs that run again once their leases expire
    std::uint64_t unknown_outcome = 0; ///< number of jobs that wait for an operator

    friend bool operator==(const restored_state&, const restored_state&) = default;
};

/// Builds the state of a new cluster from a backup of an older one.
///
/// The backup lacks the changes made after it, but workers and entries know them and must not see older
/// numbers than those. Indexes, epochs and attempts are therefore raised by a step that no cluster reaches
/// between two backups. All sessions are removed. A job that is not idempotent and had not ended may have run
/// since the backup. It becomes `outcome_unknown` and waits for an operator. An idempotent job that was
/// assigned to a worker runs again after its lease has expired. `wall_ms` is stored as the end time of jobs
/// with an unknown outcome. Returns nothing when `backup` is not a snapshot. Thread safety: any thread.
[[nodiscard]] std::optional<restored_state> restore_snapshot(std::string_view backup, std::int64_t wall_ms);

} // namespace poplarpitch
