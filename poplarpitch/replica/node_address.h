#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <cstdint>

namespace poplarpitch {

/// A node ID holds the IPv4 address of the instance and a random nonce that was generated while the disk was
/// blank. So members find each other without an address table, and an instance that lost its disk comes back
/// as another node. The votes and acknowledgements of the old node are lost with the disk, so its ID must not
/// vote again.
inline constexpr unsigned nonce_bits = 31;

/// Returns the ID of a node. Precondition: `nonce` is not 0 and fits in `nonce_bits`. Thread safety: any
/// thread.
[[nodiscard]] constexpr node_id make_node_id(std::uint32_t ip, std::uint32_t nonce) {
    return (static_cast<node_id>(ip) << nonce_bits) | nonce;
}

/// Returns the IPv4 address in a node ID, in host order. Thread safety: any thread.
[[nodiscard]] constexpr std::uint32_t get_node_ip(node_id id) {
    return static_cast<std::uint32_t>(id >> nonce_bits);
}

} // namespace poplarpitch
