#pragma once

#include <cstdint>

namespace poplarpitch {

/// How far a job is, as its caller sees it.
enum class job_progress : std::uint8_t { queued, running, completed, failed, cancelled };

} // namespace poplarpitch
