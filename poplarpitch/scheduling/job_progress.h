#pragma once

#include <cstdint>

namespace poplarpitch {

/// State of a job as its caller sees it.
enum class job_progress : std::uint8_t { queued, running, completed, failed, cancelled };

} // namespace poplarpitch
