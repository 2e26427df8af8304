#pragma once

#include <cstdint>

namespace poplarpitch {

/// Number of a control instance in the replicated log's membership. 0 means none.
using node_id = std::uint64_t;

/// Position in the replicated log, from 1. 0 means before the first entry.
using log_index = std::uint64_t;

/// Election term, from 1.
using log_term = std::uint64_t;

} // namespace poplarpitch
