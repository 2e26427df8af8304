#pragma once

#include <cstdint>

namespace poplarpitch {

/// What is known of a caller's request.
enum class call_outcome : std::uint8_t {
    done,    ///< a target answered; the caller has its whole answer
    not_run, ///< it surely ran nowhere
    unknown, ///< it was sent, and nobody knows what became of it
};

} // namespace poplarpitch
