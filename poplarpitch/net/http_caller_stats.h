#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// Usage counts of an HTTP client, for metrics.
struct http_caller_stats {
    std::size_t connections = 0; ///< open now, including idle ones
    std::size_t idle = 0;        ///< open without a call in progress
    std::size_t waiting = 0;     ///< calls that wait for a connection
    std::uint64_t opened = 0;    ///< connections opened since the start
    std::uint64_t not_sent = 0;  ///< calls since the start for which no connection became free in time
    std::uint64_t exhausted = 0; ///< times since the start that the process had no file descriptor left

    friend auto operator<=>(const http_caller_stats&, const http_caller_stats&) = default;
};

} // namespace poplarpitch
