#pragma once

#include <cstddef>

namespace poplarpitch {

struct job_record;
struct step_job;

/// Returns about how many bytes an instance holds for a job that has been accepted and has not ended, at the
/// peak: in its state, in the log, and in the last and the next snapshot. Thread safety: any thread.
[[nodiscard]] std::size_t estimate_bytes(const step_job& job);

/// As above, for a job that may have ended. Thread safety: any thread while no thread modifies the record.
[[nodiscard]] std::size_t estimate_bytes(const job_record& record);

} // namespace poplarpitch
