#include "poplarpitch/gateway/caller_limits.h"

#include "poplarpitch/scheduling/request_limits.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t max_header_bytes = 1U << 20;
constexpr std::size_t max_body_bytes = 6U << 20; // fits into a frame of the link
// A quarter of the memory is for long requests, with three copies of each.
constexpr std::size_t bodies_in_memory = 12;

std::size_t choose(std::int64_t configured, std::size_t setting, std::size_t highest) {
    return configured <= 0 ? setting : std::min(static_cast<std::size_t>(configured), highest);
}

} // namespace

http_limits merge_limits(const http_limits& settings, const request_limits& configured,
                         std::size_t peer_memory_limit) {
    auto limits = settings;
    limits.max_header = choose(configured.max_header_bytes, settings.max_header, max_header_bytes);
    const auto highest_body = std::min(peer_memory_limit / bodies_in_memory, max_body_bytes);
    limits.max_body = choose(configured.max_body_bytes, settings.max_body, highest_body);
    if (configured.header_timeout > duration{0}) {
        limits.header_timeout = configured.header_timeout;
    }
    if (configured.idle_timeout > duration{0}) {
        limits.idle_timeout = configured.idle_timeout;
    }
    return limits;
}

} // namespace poplarpitch
