#pragma once

#include <system_error>

namespace poplarpitch {

/// Errors of HTTP calls and listeners.
enum class net_errc {
    unreachable = 1, ///< no connection could be established; nothing was sent
    not_sent,  ///< no local connection became free in time; nothing was sent, so the peer's state is unknown
    timed_out, ///< sent, but no response in time: the request may have been, or may yet be, executed
    broken,    ///< sent, but the connection ended before the response: the request may have been executed
    malformed_response, ///< the response cannot be parsed
    listen_failed,      ///< listening on the address failed
};

/// Returns the error category of the event-driven network layer. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_net_category() noexcept;

/// Returns `code` as a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(net_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::net_errc> : std::true_type {};
