#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <compare>
#include <string>

namespace poplarpitch {

/// What a log entry carries.
enum class entry_kind : std::uint8_t {
    none = 0,       ///< nothing; a new leader's first entry
    command = 1,    ///< bytes for the replicated state machine
    membership = 2, ///< a change of the voters or learners
};

/// One entry of the replicated log.
struct log_entry {
    log_index index = 0;
    log_term term = 0;
    entry_kind kind = entry_kind::none;
    std::string payload; ///< bytes, read by whoever owns the kind

    friend auto operator<=>(const log_entry&, const log_entry&) = default;
};

} // namespace poplarpitch
