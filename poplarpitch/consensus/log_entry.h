#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <compare>
#include <string>

namespace poplarpitch {

/// Kind of a log entry's payload.
enum class entry_kind : std::uint8_t {
    none = 0,       ///< no payload; first entry of a new leader
    command = 1,    ///< command for the replicated state machine
    membership = 2, ///< new set of voters and learners
};

/// One entry of the replicated log.
struct log_entry {
    log_index index = 0;
    log_term term = 0;
    entry_kind kind = entry_kind::none;
    std::string payload; ///< bytes in the format of `kind`

    friend auto operator<=>(const log_entry&, const log_entry&) = default;
};

} // namespace poplarpitch
