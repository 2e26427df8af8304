#pragma once

#include "poplarpitch/net/socket_address.h"

#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

class section_reader;

/// Reads the address in `key`. Records an error and returns nothing when the value is not an address. Thread
/// safety: none.
[[nodiscard]] std::optional<socket_address> read_address(section_reader& reader, const std::string& key);
/// Reads the hosts of the control instances in `key`. The platform of a deployment lists them with the port
/// of another service, so the port is ignored. Thread safety: none.
[[nodiscard]] std::vector<std::string> read_control_hosts(section_reader& reader, const std::string& key);

} // namespace poplarpitch
