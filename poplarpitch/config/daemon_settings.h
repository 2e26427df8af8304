#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/config/peer_address.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// The settings of one daemon, from `[daemon]` of its settings file. They describe the instance. The
/// behaviour of the system is set in the operators' configuration.
struct daemon_settings {
    std::string id;                      ///< name of this daemon, unique in the system
    std::string data_centre = "default"; ///< data centre of its instance
    std::string host = "127.0.0.1";      ///< address to listen on and to be reached at
    int http_port = 0;                   ///< for callers, targets and operators; 0 selects a free port
    int grpc_port = 0;         ///< for the project's own processes (control only); 0 selects a free port
    std::uint64_t node_id = 0; ///< control: id of this daemon in `control_peers`
    std::vector<peer_address> control_peers; ///< all control instances: id@host:port
    std::string cluster = "poplarpitch";     ///< cluster name; a data folder of another cluster is refused
    std::string data_folder;                 ///< control: folder of its files
    int http_threads = 512;                  ///< connections served at the same time, one thread each
    std::int64_t max_body = 8LL << 20;       ///< largest request or response body in bytes
    std::string log_level = "info";          ///< debug, info, warn or error

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

/// Daemon settings, or all errors in the text.
struct parsed_daemon_settings {
    daemon_settings value;
    std::vector<config_error> errors;
};

/// Parses the settings of a daemon. `is_control` enables the keys that only control instances have. Thread
/// safety: any thread.
[[nodiscard]] parsed_daemon_settings parse_daemon_settings(std::string_view text, bool is_control);

} // namespace poplarpitch
