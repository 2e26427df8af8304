#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpitch {

/// Names a job: 64 bits, chosen by the caller, so that the same submission sent twice is one job.
using job_id = std::uint64_t;

/// Returns the id as 16 hexadecimal digits. Thread safety: any thread.
[[nodiscard]] std::string format_job_id(job_id id);
/// Reads 16 hexadecimal digits; nothing when the text is anything else. Thread safety: any thread.
[[nodiscard]] std::optional<job_id> read_job_id(std::string_view text);

} // namespace poplarpitch
