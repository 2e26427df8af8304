#include "poplarpitch/state/snapshot_restorer.h"

#include "poplarpitch/state/job_table.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {
namespace {

constexpr std::uint64_t index_step = 1'000'000'000; // log entries that may have followed the backup
constexpr std::uint64_t epoch_step = 1'000'000;     // owner changes of a worker since the backup
constexpr std::uint64_t attempt_step = 1'000;       // attempts of a job since the backup

void restore_worker(wire::worker& worker, std::uint64_t index) {
    worker.clear_owner();
    worker.set_epoch(worker.epoch() + epoch_step);
    worker.set_changed_index(index);
}

void restore_job(wire::job& job, std::uint64_t index, std::int64_t wall_ms, restored_state& restored) {
    if (is_ended(job.state())) {
        return;
    }
    job.set_changed_index(index);
    if (!job.idempotent()) {
        job.set_state(wire::job_unknown);
        job.set_lost(false);
        job.clear_worker();
        job.set_ended_ms(wall_ms);
        job.set_reason("restored from a backup; it may have run since");
        ++restored.unknown_outcome;
    } else if (is_active(job.state())) {
        // Marks an assigned job as running and lost too, so that its lease expires before it restarts.
        job.set_state(wire::job_running);
        job.set_lost(true);
        ++restored.lost;
    } else {
        ++restored.queued;
    }
    // A worker reports on any attempt number that it knows, so a number must not be reused.
    job.set_attempt(job.attempt() + attempt_step);
}

} // namespace

std::optional<restored_state> restore_snapshot(std::string_view backup, std::int64_t wall_ms) {
    wire::state_snapshot snapshot;
    const bool is_parsed = snapshot.ParseFromArray(backup.data(), static_cast<int>(backup.size()));
    if (!is_parsed || snapshot.applied_index() == 0) {
        return std::nullopt;
    }
    restored_state restored;
    restored.index = snapshot.applied_index() + index_step;
    snapshot.set_applied_index(restored.index);
    snapshot.clear_sessions();
    for (auto& worker : *snapshot.mutable_workers()) {
        restore_worker(worker, restored.index);
    }
    for (auto& job : *snapshot.mutable_jobs()) {
        restore_job(job, restored.index, wall_ms, restored);
    }
    restored.data = snapshot.SerializeAsString();
    return restored;
}

} // namespace poplarpitch
