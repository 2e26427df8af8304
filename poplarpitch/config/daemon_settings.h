#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/config/peer_address.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Settings of one daemon: `[daemon]` of its settings file. They name the instance; what the system does
/// stands in the operators' configuration.
struct daemon_settings {
    std::string id;                      ///< name of this daemon, unique among all
    std::string data_centre = "default"; ///< where its instance stands
    std::string host = "127.0.0.1";      ///< address to listen on and to be reached at
    int http_port = 0;                   ///< for callers, targets and operators; 0 takes a free one
    int grpc_port = 0;                   ///< for own processes (control only); 0 takes a free one
    std::uint64_t node_id = 0;           ///< control: its number in `control`
    std::vector<peer_address> control;   ///< all control instances: id@host:port
    std::string cluster = "poplarpitch"; ///< name of the cluster; a data folder of another one is refused
    std::string data_folder;             ///< control: where its files live
    int http_threads = 512;              ///< connections served at the same time (a thread each)
    std::int64_t max_body = 8LL << 20;   ///< bytes of the largest request or answer body
    std::string log_level = "info";      ///< debug, info, warn or error

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

/// Settings, or every reason why the text does not give them.
struct parsed_daemon_settings {
    daemon_settings value;
    std::vector<config_error> errors;
};

/// Reads the settings of a daemon. `is_control` asks for the keys that only control needs. Thread safety:
/// any.
[[nodiscard]] parsed_daemon_settings parse_daemon_settings(std::string_view text, bool is_control);

} // namespace poplarpitch
