#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// A service that the stand-in workers simulate.
struct stand_in_service {
    std::string name;
    duration time = milliseconds{5}; ///< median service time on a worker of normal speed without batch work
    double jitter = 0.3;             ///< standard deviation of the logarithm of the service time

    friend auto operator<=>(const stand_in_service&, const stand_in_service&) = default;
};

/// The real effect of a batch class's tasks on a worker, independent of what was declared for them.
struct stand_in_noise {
    double growth = 0;           ///< relative growth of service times if a task used the whole worker
    std::int64_t millicores = 0; ///< real processor demand of a task; 0 for the declared demand

    friend auto operator<=>(const stand_in_noise&, const stand_in_noise&) = default;
};

/// Behaviour of the stand-in workers, from the sections `[stand_in]`, `[service NAME]` and `[noise BATCH]` of
/// the settings file.
struct stand_in_settings {
    std::string id = "worker"; ///< prefix of the workers' ids
    int count = 1;             ///< workers in this process
    int first_number = 1;      ///< number of the first one
    std::string host = "127.0.0.1";
    std::vector<std::string> entries;                 ///< host:port of entries to announce to
    std::vector<std::string> data_centres{"default"}; ///< assigned to the workers in turn
    int rack_size = 8;                                ///< workers for each rack
    resources capacity{8, 64000, 250LL << 30, 0};     ///< of each worker
    double old_share = 0;    ///< share of workers of the old, slower hardware generation
    double old_factor = 1.8; ///< how many times longer work takes on an old worker
    double task_speed = 1;   ///< how many times faster than their run time tasks run
    std::string record;      ///< file for the run record; empty for none
    std::vector<stand_in_service> services;
    std::map<std::string, stand_in_noise> noise; ///< by batch class

    friend bool operator==(const stand_in_settings&, const stand_in_settings&) = default;
};

/// The parsed settings, and all errors found in the text. The settings are valid only without errors.
struct parsed_stand_in_settings {
    stand_in_settings value;
    std::vector<config_error> errors;
};

/// Parses the settings of the stand-in program. Thread safety: any thread.
[[nodiscard]] parsed_stand_in_settings parse_stand_in_settings(std::string_view text);

} // namespace poplarpitch
