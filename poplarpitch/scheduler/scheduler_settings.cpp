#include "poplarpitch/scheduler/scheduler_settings.h"

#include "poplarpitch/config/ini_document.h"
#include "poplarpitch/config/section_reader.h"
#include "poplarpitch/net/address_settings.h"
#include "poplarpitch/net/descriptor_budget.h"
#include "poplarpitch/net/http_limits_settings.h"
#include "poplarpitch/net/memory_settings.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr int max_port = 65535;

void read_instance(section_reader& reader, scheduler_settings& value) {
    value.id = reader.get_text("id", "");
    value.data_centre = reader.get_utf8_text("data_centre", value.data_centre);
    value.replica.data_centre = value.data_centre;
    value.log_level = reader.get_text("log_level", value.log_level);
    value.replica.host = reader.get_text("host", value.replica.host);
    value.replica.port = static_cast<int>(reader.get_integer("link_port", 0, 0, max_port));
    value.replica.seeds = read_control_hosts(reader, "seeds");
    value.metrics_port = static_cast<int>(reader.get_integer("metrics_port", 0, 0, max_port));
    if (value.id.empty()) {
        reader.add_error("id", "id is missing: it is the name of this instance");
    }
    if (!parse_ip(value.replica.host).has_value()) {
        reader.add_error("host", "host must be an IPv4 address, such as 10.0.0.4");
    }
}

void read_control(section_reader& reader, scheduler_settings& value) {
    if (const auto found = read_address(reader, "listen"); found.has_value()) {
        value.control_host = format_ip(found->ip);
        value.control_port = found->port;
    }
    value.control_limits = read_http_limits(reader, value.control_limits);
    auto& replica = value.replica;
    replica.data_folder = reader.get_text("data_folder", "");
    replica.may_found = reader.get_flag("may_found", replica.may_found);
    const auto lost = reader.get_integer("tolerated_losses", 2, 0, 4);
    replica.voters = static_cast<std::size_t>(2 * lost + 1);
    replica.voter_loss_timeout = reader.get_duration("voter_loss", replica.voter_loss_timeout);
    if (replica.data_folder.empty()) {
        reader.add_error("data_folder", "data_folder is missing: it is where the log and snapshots are kept");
    }
}

void read_connections(section_reader& reader, scheduler_settings& value) {
    constexpr std::int64_t max_descriptors = 10'000'000;
    constexpr std::int64_t default_descriptors = 4096;
    const auto descriptors = reader.get_integer("descriptors", default_descriptors,
                                                static_cast<std::int64_t>(min_descriptors), max_descriptors);
    const auto budget = divide_descriptors(static_cast<std::size_t>(descriptors));
    value.max_accepted = budget.inbound;
    value.replica.max_unknown_connections = budget.link;
    value.memory_limit = read_memory_limit(reader, value.memory_limit);
    value.caller.max_connections = budget.outbound;
}

/// Adapts to how often workers send heartbeats. Larger fleets send them less often. A time that is shorter
/// than the interval between two heartbeats makes a live worker count as silent, or its room as unknown.
void read_heartbeat(section_reader& reader, scheduler_settings& value) {
    constexpr int reports_per_term = 2;                     // heartbeat intervals; one heartbeat may be lost
    constexpr duration heartbeat_slack = milliseconds{500}; // of a heartbeat that is sent late
    const auto interval = reader.get_duration("heartbeat", duration{0});
    value.relay.report_lifetime = std::max(value.relay.report_lifetime, reports_per_term * interval);
    auto& dispatch = value.dispatch;
    dispatch.initial_report_time = std::max(dispatch.initial_report_time, reports_per_term * interval);
    dispatch.max_capacity_age = std::max(dispatch.max_capacity_age, interval + heartbeat_slack);
}

void read_workers(section_reader& reader, scheduler_settings& value) {
    value.advice_address = reader.get_text("advice", "");
    value.relay.is_enabled = reader.get_flag("relayed", value.relay.is_enabled);
    read_heartbeat(reader, value);
    auto& dispatch = value.dispatch;
    dispatch.max_lease = reader.get_duration("longest_lease", dispatch.max_lease);
    dispatch.lease = std::min(reader.get_duration("lease", dispatch.lease), dispatch.max_lease);
    dispatch.stop_limit = reader.get_duration("stop_limit", dispatch.stop_limit);
    dispatch.ended_job_retention =
        reader.get_duration("keep_ended", dispatch.ended_job_retention) + seconds{5};
    dispatch.long_running_share = reader.get_number("lasting_share", dispatch.long_running_share, 0.05, 1);
    dispatch.max_capacity_age = reader.get_duration("room_age", dispatch.max_capacity_age);
    dispatch.max_lag = reader.get_duration("most_lag", dispatch.max_lag);
    dispatch.max_open_jobs = reader.get_integer("max_open_jobs", dispatch.max_open_jobs, 1, 10'000'000);
}

void read_share_weights(section_reader& reader, decision_settings& decisions) {
    constexpr std::string_view prefix = "share.";
    constexpr double min_weight = 0.001;
    constexpr double max_weight = 1000;
    for (const auto& key : reader.find_keys(prefix)) {
        const auto queue = key.substr(prefix.size());
        const auto weight = reader.get_number(key, 1, min_weight, max_weight);
        if (queue.empty()) {
            reader.add_error(key, "the name of the queue is missing");
        } else {
            decisions.share_weights[queue] = weight;
        }
    }
}

void read_decisions(section_reader& reader, scheduler_settings& value) {
    auto& decisions = value.dispatch.decisions;
    decisions.refuse_late = reader.get_flag("refuse_late", decisions.refuse_late);
    decisions.keep_learned = reader.get_flag("keep_learned", decisions.keep_learned);
    decisions.move_from_slow = reader.get_flag("move_from_slow", decisions.move_from_slow);
    decisions.fair_shares = reader.get_flag("fair_shares", decisions.fair_shares);
    read_share_weights(reader, decisions);
}

} // namespace

parsed_scheduler_settings parse_scheduler_settings(std::string_view text) {
    parsed_scheduler_settings parsed;
    const auto document = parse_ini(text);
    parsed.errors = document.errors;
    bool has_instance = false;
    bool has_control = false;
    for (const auto& section : document.sections) {
        section_reader reader(section, parsed.errors);
        if (section.kind == "instance") {
            has_instance = true;
            read_instance(reader, parsed.value);
        } else if (section.kind == "control") {
            has_control = true;
            read_control(reader, parsed.value);
        } else if (section.kind == "connections") {
            read_connections(reader, parsed.value);
        } else if (section.kind == "workers") {
            read_workers(reader, parsed.value);
        } else if (section.kind == "decisions") {
            read_decisions(reader, parsed.value);
        } else {
            parsed.errors.push_back({section.line, "unknown section [" + section.kind + "]"});
            continue;
        }
        reader.finish();
    }
    if (!has_instance || !has_control) {
        parsed.errors.push_back({0, "the sections [instance] and [control] are required"});
    }
    return parsed;
}

} // namespace poplarpitch
