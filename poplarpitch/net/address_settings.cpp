#include "poplarpitch/net/address_settings.h"

#include "poplarpitch/config/section_reader.h"

namespace poplarpitch {

std::optional<socket_address> read_address(section_reader& reader, const std::string& key) {
    auto address = parse_socket_address(reader.get_text(key, ""));
    if (!address.has_value()) {
        reader.add_error(key, key + " must be an IPv4 address and a port, such as 10.0.0.4:8080");
    }
    return address;
}

std::vector<std::string> read_control_hosts(section_reader& reader, const std::string& key) {
    std::vector<std::string> hosts;
    for (const auto& seed : reader.get_list(key)) {
        hosts.push_back(seed.substr(0, seed.rfind(':')));
    }
    return hosts;
}

} // namespace poplarpitch
