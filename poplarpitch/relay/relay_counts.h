#pragma once

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// What a leader has exchanged with its relays since the start of the process.
struct relay_counts {
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t orders = 0;
    std::uint64_t answers = 0;
    std::uint64_t whole_reports = 0;     ///< heartbeats with all contents
    std::uint64_t unchanged_reports = 0; ///< heartbeats that repeat an earlier report

    friend auto operator<=>(const relay_counts&, const relay_counts&) = default;
};

} // namespace poplarpitch
