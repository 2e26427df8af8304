#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/net/http_caller_settings.h"
#include "poplarpitch/net/http_limits.h"
#include "poplarpitch/relay/relay_settings.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/scheduling/dispatch_settings.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Settings of a scheduler instance: `[instance]`, `[control]`, `[connections]`, `[workers]` and
/// `[decisions]` of its settings file.
struct scheduler_settings {
    static constexpr std::size_t default_memory_bytes = 256U << 20; ///< of the smallest scheduler

    std::string id; ///< name of this instance, unique among all
    std::string data_centre = "default";
    std::string log_level = "info";
    std::string control_host = "127.0.0.1"; ///< address on which workers and operators call
    int control_port = 0;
    http_limits control_limits;      ///< of the requests of workers and operators
    std::string advice_address;      ///< of the advice service; empty if there is none
    int metrics_port = 0;            ///< 0: no metrics are served
    duration stop_wait = seconds{2}; ///< during a stop: how long to wait for open requests
    std::size_t max_accepted = 1750; ///< connections of workers and operators, out of 6,000 descriptors
    std::size_t memory_limit = default_memory_bytes; ///< of the process on its machine
    http_caller_settings caller; ///< its connection limit is derived from the process's file descriptors
    relay_settings relay;
    replica_settings replica;
    dispatch_settings dispatch;

    friend bool operator==(const scheduler_settings&, const scheduler_settings&) = default;
};

/// Parsed settings, or all errors in the text.
struct parsed_scheduler_settings {
    scheduler_settings value;
    std::vector<config_error> errors;
};

/// Parses the settings of a scheduler instance. Thread safety: any thread.
[[nodiscard]] parsed_scheduler_settings parse_scheduler_settings(std::string_view text);

} // namespace poplarpitch
