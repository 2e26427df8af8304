#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpitch {

/// Identifies a job: 64 bits, chosen by the caller, so that a submission that is sent twice creates one job.
using job_id = std::uint64_t;

/// Returns the id as 16 hexadecimal digits. Thread safety: any thread.
[[nodiscard]] std::string format_job_id(job_id id);
/// Parses 16 lower-case hexadecimal digits; returns nothing for any other text. Thread safety: any thread.
[[nodiscard]] std::optional<job_id> parse_job_id(std::string_view text);

} // namespace poplarpitch
