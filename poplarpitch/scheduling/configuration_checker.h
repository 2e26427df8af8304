#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

struct job_configuration;

/// Returns why a configuration is invalid, or nothing when it is valid. In a valid configuration every queue
/// names an existing pool, no two queues share host and prefix, every queue has a timeout, and the version is
/// not 0 nor beyond the highest one. Thread safety: any thread.
[[nodiscard]] std::optional<std::string> find_configuration_error(const job_configuration& configuration);

} // namespace poplarpitch
