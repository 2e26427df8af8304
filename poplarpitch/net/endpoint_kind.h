#pragma once

#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// What the connections of a process are for.
enum class endpoint_kind : std::uint8_t {
    callers,   ///< requests of callers
    control,   ///< calls of workers and operators
    readiness, ///< health checks of the load balancer
    metrics,
    link,  ///< frames of other processes of the project
    calls, ///< answers to own HTTP calls
};

inline constexpr std::size_t endpoint_kind_count = 6;

/// Returns the name of a kind in metrics and logs. Thread safety: any thread.
[[nodiscard]] constexpr const char* get_name(endpoint_kind kind) {
    switch (kind) {
    case endpoint_kind::callers:
        return "callers";
    case endpoint_kind::control:
        return "control";
    case endpoint_kind::readiness:
        return "readiness";
    case endpoint_kind::metrics:
        return "metrics";
    case endpoint_kind::link:
        return "link";
    case endpoint_kind::calls:
        return "calls";
    }
    return "unknown";
}

} // namespace poplarpitch
