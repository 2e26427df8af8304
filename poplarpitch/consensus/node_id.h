#pragma once

#include <cstdint>

namespace poplarpitch {

/// Identifies a control instance in the membership of the replicated log. 0 means none.
using node_id = std::uint64_t;

/// Position in the replicated log, starting at 1. 0 is the position before the first entry.
using log_index = std::uint64_t;

/// Election term, starting at 1.
using log_term = std::uint64_t;

} // namespace poplarpitch
