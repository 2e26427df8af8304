#include "poplarpitch/stand_in/stand_in_settings.h"

#include "poplarpitch/config/section_reader.h"

#include <absl/strings/str_cat.h>

namespace poplarpitch {
namespace {

constexpr std::int64_t max_workers = 2000;
constexpr std::int64_t max_amount = 1'000'000;

void read_worker_section(section_reader& reader, stand_in_settings& value) {
    value.id = reader.get_text("id", value.id);
    value.count = static_cast<int>(reader.get_integer("count", value.count, 1, max_workers));
    value.first_number =
        static_cast<int>(reader.get_integer("first_number", value.first_number, 0, max_amount));
    value.host = reader.get_text("host", value.host);
    value.entries = reader.get_list("entries");
    const auto centres = reader.get_list("data_centres");
    if (!centres.empty()) {
        value.data_centres = centres;
    }
    value.rack_size = static_cast<int>(reader.get_integer("rack_size", value.rack_size, 1, max_workers));
    value.capacity.slots = reader.get_integer("slots", value.capacity.slots, 0, max_amount);
    value.capacity.millicores =
        reader.get_integer("cores", value.capacity.millicores / 1000, 0, max_amount) * 1000;
    value.capacity.memory = reader.get_bytes("memory", value.capacity.memory);
    value.capacity.accelerators =
        reader.get_integer("accelerators", value.capacity.accelerators, 0, max_amount);
    value.old_share = reader.get_number("old_share", value.old_share, 0, 1);
    value.old_factor = reader.get_number("old_factor", value.old_factor, 0.1, 100);
    value.task_speed = reader.get_number("task_speed", value.task_speed, 0.001, 1e6);
    value.record = reader.get_text("record", value.record);
    if (value.entries.empty()) {
        reader.add_error("entries", "is missing: name at least one entry as host:port");
    }
}

} // namespace

parsed_stand_in_settings parse_stand_in_settings(std::string_view text) {
    parsed_stand_in_settings parsed;
    const auto document = parse_ini(text);
    parsed.errors = document.errors;
    for (const auto& section : document.sections) {
        section_reader reader(section, parsed.errors);
        if (section.kind == "stand_in") {
            read_worker_section(reader, parsed.value);
        } else if (section.kind == "service") {
            stand_in_service service;
            service.name = section.name;
            service.time = reader.get_duration("time", service.time);
            service.jitter = reader.get_number("jitter", service.jitter, 0, 5);
            parsed.value.services.push_back(service);
        } else if (section.kind == "noise") {
            auto& noise = parsed.value.noise[section.name];
            noise.growth = reader.get_number("growth", 0, 0, 1000);
            noise.millicores = reader.get_integer("cores", 0, 0, max_amount) * 1000;
        } else {
            parsed.errors.push_back({section.line, absl::StrCat("unknown section [", section.kind, "]")});
            continue;
        }
        reader.finish();
    }
    return parsed;
}

} // namespace poplarpitch
