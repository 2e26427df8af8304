#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// Why a listener refused a request or closed a connection.
enum class http_refusal : std::uint8_t {
    header_too_large, ///< 431
    too_large,        ///< 413
    malformed,        ///< 400
    header_timeout,   ///< 408
    body_timeout,     ///< 408
    overloaded,       ///< 503: requests that are being handled take too much memory
    write_timeout,    ///< closed: the client did not take a response
    memory,           ///< closed: the process holds too much for its peers
    connections,      ///< closed to make room for another connection
    idle_timeout,     ///< closed: no request began
};

inline constexpr std::size_t http_refusal_count = 10;

/// How often each refusal happened since the start.
using http_refusal_counts = std::array<std::uint64_t, http_refusal_count>;

/// Returns the name of a refusal in answers, metrics and logs. Thread safety: any thread.
[[nodiscard]] constexpr const char* get_name(http_refusal reason) {
    constexpr std::array<const char*, http_refusal_count> names = {
        "header_too_large", "too_large",     "malformed", "header_timeout", "body_timeout",
        "overloaded",       "write_timeout", "memory",    "connections",    "idle_timeout"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace poplarpitch
