#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpitch {

/// An IPv4 address and a port. The system does not use host names.
struct socket_address {
    std::uint32_t ip = 0; ///< in host byte order
    std::uint16_t port = 0;

    friend auto operator<=>(const socket_address&, const socket_address&) = default;
};

/// Parses an address such as `10.0.0.4:8080`. Returns nothing when `text` is not one. Thread safety: any
/// thread.
[[nodiscard]] std::optional<socket_address> parse_socket_address(std::string_view text);
/// Parses an IPv4 address such as `10.0.0.4`. Returns nothing when `text` is not one. Thread safety: any
/// thread.
[[nodiscard]] std::optional<std::uint32_t> parse_ip(std::string_view text);
/// Formats an IPv4 address as in `10.0.0.4`. Thread safety: any thread.
[[nodiscard]] std::string format_ip(std::uint32_t ip);
/// Formats an address as in `10.0.0.4:8080`. Thread safety: any thread.
[[nodiscard]] std::string format_address(const socket_address& address);

} // namespace poplarpitch
