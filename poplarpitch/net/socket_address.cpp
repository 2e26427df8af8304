#include "poplarpitch/net/socket_address.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>

namespace poplarpitch {

std::optional<std::uint32_t> parse_ip(std::string_view text) {
    in_addr raw{};
    if (::inet_pton(AF_INET, std::string(text).c_str(), &raw) != 1) {
        return std::nullopt;
    }
    return ntohl(raw.s_addr);
}

std::optional<socket_address> parse_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto ip = parse_ip(text.substr(0, colon));
    std::uint32_t port = 0;
    const bool is_number = absl::SimpleAtoi(to_absl(text.substr(colon + 1)), &port);
    if (!ip.has_value() || !is_number || port == 0 || port > UINT16_MAX) {
        return std::nullopt;
    }
    return socket_address{*ip, static_cast<std::uint16_t>(port)};
}

std::string format_ip(std::uint32_t ip) {
    return absl::StrCat(ip >> 24U, ".", (ip >> 16U) & 0xffU, ".", (ip >> 8U) & 0xffU, ".", ip & 0xffU);
}

std::string format_address(const socket_address& address) {
    return absl::StrCat(format_ip(address.ip), ":", address.port);
}

} // namespace poplarpitch
