#pragma once

#include <cstdint>

namespace poplarpitch {

/// The known outcome of a caller's request.
enum class call_outcome : std::uint8_t {
    done,    ///< a target answered, and the caller gets the complete answer
    not_run, ///< it certainly did not run anywhere
    unknown, ///< it was sent, and its outcome is not known
};

} // namespace poplarpitch
