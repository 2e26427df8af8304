#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <cstdint>

namespace poplarpitch {

/// A node's number holds the IPv4 address of its instance and a random part drawn when its disk was blank. So
/// members find each other without an address table, and an instance that lost its disk comes back as another
/// node: what the old one voted for and confirmed went with the disk, and it must not vote again under its
/// number.
inline constexpr unsigned nonce_bits = 31;

/// Returns the number of a node. Precondition: `nonce` is not 0 and fits its bits. Thread safety: any thread.
[[nodiscard]] constexpr node_id make_node_id(std::uint32_t ip, std::uint32_t nonce) {
    return (static_cast<node_id>(ip) << nonce_bits) | nonce;
}

/// Returns the IPv4 address of a node's instance, in host order. Thread safety: any thread.
[[nodiscard]] constexpr std::uint32_t get_node_ip(node_id id) {
    return static_cast<std::uint32_t>(id >> nonce_bits);
}

} // namespace poplarpitch
