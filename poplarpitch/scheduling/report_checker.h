#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

struct worker_report;

/// Returns why a worker's report must not be used, or nothing when it is valid. In a valid report id and pool
/// are not empty, every text is UTF-8, the start time and all amounts are not negative. Workers of other
/// implementations send reports too, and other instances may relay reports without checking them. Thread
/// safety: any thread.
[[nodiscard]] std::optional<std::string> find_report_error(const worker_report& report);

} // namespace poplarpitch
