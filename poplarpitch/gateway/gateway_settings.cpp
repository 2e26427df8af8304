#include "poplarpitch/gateway/gateway_settings.h"

#include "poplarpitch/config/ini_document.h"
#include "poplarpitch/config/section_reader.h"
#include "poplarpitch/net/address_settings.h"
#include "poplarpitch/net/http_limits_settings.h"
#include "poplarpitch/net/memory_settings.h"

namespace poplarpitch {
namespace {

constexpr int max_port = 65535;

void read_instance(section_reader& reader, gateway_settings& value) {
    value.id = reader.get_text("id", "");
    value.data_centre = reader.get_utf8_text("data_centre", value.data_centre);
    value.log_level = reader.get_text("log_level", value.log_level);
    value.link_port = static_cast<int>(reader.get_integer("link_port", 0, 0, max_port));
    value.metrics_port = static_cast<int>(reader.get_integer("metrics_port", 0, 0, max_port));
    value.seeds = read_control_hosts(reader, "seeds");
    if (value.id.empty()) {
        reader.add_error("id", "id is missing: it is the name of this instance");
    }
    if (value.seeds.empty()) {
        reader.add_error("seeds", "seeds is missing: it lists addresses of control instances");
    }
}

void read_entry(section_reader& reader, gateway_settings& value) {
    if (const auto found = read_address(reader, "listen"); found.has_value()) {
        value.caller_host = format_ip(found->ip);
        value.caller_port = found->port;
    }
    if (const auto found = read_address(reader, "ready"); found.has_value()) {
        value.ready_host = format_ip(found->ip);
        value.ready_port = found->port;
    }
    value.ready_path = reader.get_text("ready_path", value.ready_path);
    value.deadline_header = reader.get_text("deadline_header", value.deadline_header);
    value.default_deadline = reader.get_duration("default_deadline", value.default_deadline);
    value.leader_wait = reader.get_duration("leader_wait", value.leader_wait);
    value.drain_wait = reader.get_duration("drain_wait", value.drain_wait);
    value.stop_limit = reader.get_duration("stop_limit", value.stop_limit);
    value.limits = read_http_limits(reader, value.limits);
    value.memory_limit = read_memory_limit(reader, value.memory_limit);
    value.spread_returns = reader.get_flag("spread_returns", value.spread_returns);
}

} // namespace

parsed_gateway_settings parse_gateway_settings(std::string_view text) {
    parsed_gateway_settings parsed;
    const auto document = parse_ini(text);
    parsed.errors = document.errors;
    bool has_instance = false;
    bool has_entry = false;
    for (const auto& section : document.sections) {
        section_reader reader(section, parsed.errors);
        if (section.kind == "instance") {
            has_instance = true;
            read_instance(reader, parsed.value);
        } else if (section.kind == "entry") {
            has_entry = true;
            read_entry(reader, parsed.value);
        } else {
            parsed.errors.push_back({section.line, "unknown section [" + section.kind + "]"});
            continue;
        }
        reader.finish();
    }
    if (!has_instance || !has_entry) {
        parsed.errors.push_back({0, "the sections [instance] and [entry] are required"});
    }
    return parsed;
}

} // namespace poplarpitch
