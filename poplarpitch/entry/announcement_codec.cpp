#include "poplarpitch/entry/announcement_codec.h"

#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_list_items = 100'000;
constexpr std::size_t max_detail_bytes = 4096;         // stored in the job's record
constexpr std::size_t max_checkpoint_bytes = 64 << 10; // the same limit as for payloads
constexpr std::int64_t max_amount = 1LL << 50;
constexpr std::int64_t max_number = 1LL << 62;

/// Thrown and caught in this file only; the public functions convert it to a codec_error.
class field_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

std::string read_name(const json& object, const char* key, bool is_required) {
    const auto found = object.find(key);
    if (found == object.end()) {
        if (is_required) {
            throw field_error(std::string("'") + key + "' is missing");
        }
        return {};
    }
    if (!found->is_string()) {
        throw field_error(std::string("'") + key + "' must be a text");
    }
    auto text = found->get<std::string>();
    const bool is_bad = text.size() > max_name_bytes || text.find_first_of(" \t\r\n\"/") != std::string::npos;
    if (is_bad || (is_required && text.empty())) {
        throw field_error(std::string("'") + key +
                          "' must have 1 to 128 characters without blanks, quotes or slashes");
    }
    return text;
}

std::int64_t read_amount(const json& object, const char* key, std::int64_t limit = max_amount) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return 0;
    }
    if (!found->is_number_integer()) {
        throw field_error(std::string("'") + key + "' must be a whole number");
    }
    const auto value = found->get<std::int64_t>();
    if (value < 0 || value > limit) {
        throw field_error(std::string("'") + key + "' is negative or too large");
    }
    return value;
}

std::uint64_t read_number(const json& object, const char* key) {
    return static_cast<std::uint64_t>(read_amount(object, key, max_number));
}

double read_ratio(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return 1;
    }
    if (!found->is_number() || found->get<double>() < 0) {
        throw field_error(std::string("'") + key + "' must be a number that is not negative");
    }
    return found->get<double>();
}

bool read_flag(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return false;
    }
    if (!found->is_boolean()) {
        throw field_error(std::string("'") + key + "' must be true or false");
    }
    return found->get<bool>();
}

const json& read_list(const json& object, const char* key) {
    static const json none = json::array();
    const auto found = object.find(key);
    if (found == object.end()) {
        return none;
    }
    if (!found->is_array() || found->size() > max_list_items) {
        throw field_error(std::string("'") + key + "' must be a list");
    }
    return *found;
}

std::string read_text(const json& object, const char* key, std::size_t limit = max_name_bytes) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return {};
    }
    if (!found->is_string()) {
        throw field_error(std::string("'") + key + "' must be a text");
    }
    auto text = found->get<std::string>();
    if (text.size() > limit) {
        throw field_error(std::string("'") + key + "' has more than " + std::to_string(limit) + " bytes");
    }
    return text;
}

resources read_resources(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return {};
    }
    if (!found->is_object()) {
        throw field_error(std::string("'") + key + "' must be an object");
    }
    return {read_amount(*found, "slots"), read_amount(*found, "millicores"), read_amount(*found, "memory"),
            read_amount(*found, "accelerators")};
}

json write_resources(const resources& value) {
    return {{"slots", value.slots},
            {"millicores", value.millicores},
            {"memory", value.memory},
            {"accelerators", value.accelerators}};
}

task_report read_report(const json& item) {
    task_report report;
    report.number = read_number(item, "number");
    report.job = read_name(item, "job", true);
    report.attempt = read_number(item, "attempt");
    report.kind = read_name(item, "kind", true);
    static const std::set<std::string> kinds = {"finished", "failed", "checkpointed", "evicted", "stopped"};
    if (!kinds.contains(report.kind)) {
        throw field_error("unknown kind of report '" + report.kind + "'");
    }
    report.detail = read_text(item, "detail", max_detail_bytes);
    report.checkpoint = read_text(item, "checkpoint", max_checkpoint_bytes);
    report.cores_ratio = read_ratio(item, "cores_ratio");
    report.memory_ratio = read_ratio(item, "memory_ratio");
    report.time_ratio = read_ratio(item, "time_ratio");
    return report;
}

void read_tasks(const json& object, announcement& value) {
    std::set<std::string> jobs;
    for (const auto& item : read_list(object, "tasks")) {
        running_task task{read_name(item, "job", true), read_number(item, "attempt"),
                          milliseconds{read_amount(item, "unsaved_ms")}};
        if (!jobs.insert(task.job).second) {
            throw field_error("task '" + task.job + "' stands twice");
        }
        value.tasks.push_back(std::move(task));
    }
}

announcement read_announcement(const json& object) {
    if (!object.is_object()) {
        throw field_error("the body must be an object");
    }
    announcement value;
    value.id = read_name(object, "id", true);
    value.address = read_text(object, "address");
    const auto colon = value.address.find(':');
    if (colon == std::string::npos || colon == 0 || value.address.size() > max_name_bytes) {
        throw field_error("'address' must be host:port");
    }
    value.data_centre = read_name(object, "data_centre", false);
    value.rack = read_name(object, "rack", false);
    value.speed_class = read_name(object, "speed_class", false);
    std::set<std::string> names;
    for (const auto& item : read_list(object, "services")) {
        if (!item.is_string() || !names.insert(item.get<std::string>()).second) {
            throw field_error("'services' must be a list of different names");
        }
        value.services.push_back(item.get<std::string>());
    }
    value.capacity = read_resources(object, "capacity");
    value.epoch = read_number(object, "epoch");
    value.incarnation = read_number(object, "incarnation");
    value.sequence = read_number(object, "sequence");
    value.is_leaving = read_flag(object, "leaving");
    value.is_complete = read_flag(object, "complete");
    for (const auto& item : read_list(object, "requests")) {
        if (!item.is_string()) {
            throw field_error("'requests' must be a list of request ids");
        }
        value.requests.push_back(item.get<std::string>());
    }
    value.old_epoch_usage = read_resources(object, "old_work");
    read_tasks(object, value);
    for (const auto& item : read_list(object, "reports")) {
        value.reports.push_back(read_report(item));
    }
    return value;
}

} // namespace

std::variant<announcement, codec_error> decode_announcement(const std::string& text) {
    try {
        return read_announcement(json::parse(text));
    } catch (const field_error& error) {
        return codec_error{error.what()};
    } catch (const json::exception& error) {
        return codec_error{std::string("the body is no valid JSON: ") + error.what()};
    }
}

std::string encode_announcement(const announcement& value) {
    json object = {{"id", value.id},
                   {"address", value.address},
                   {"data_centre", value.data_centre},
                   {"rack", value.rack},
                   {"speed_class", value.speed_class},
                   {"services", value.services},
                   {"capacity", write_resources(value.capacity)},
                   {"epoch", value.epoch},
                   {"incarnation", value.incarnation},
                   {"sequence", value.sequence},
                   {"leaving", value.is_leaving},
                   {"complete", value.is_complete},
                   {"requests", value.requests},
                   {"old_work", write_resources(value.old_epoch_usage)}};
    auto& tasks = object["tasks"] = json::array();
    for (const auto& task : value.tasks) {
        tasks.push_back({{"job", task.job},
                         {"attempt", task.attempt},
                         {"unsaved_ms", to_milliseconds(task.uncheckpointed_work)}});
    }
    auto& reports = object["reports"] = json::array();
    for (const auto& report : value.reports) {
        reports.push_back({{"number", report.number},
                           {"job", report.job},
                           {"attempt", report.attempt},
                           {"kind", report.kind},
                           {"detail", report.detail},
                           {"checkpoint", report.checkpoint},
                           {"cores_ratio", report.cores_ratio},
                           {"memory_ratio", report.memory_ratio},
                           {"time_ratio", report.time_ratio}});
    }
    return object.dump();
}

std::string encode_announce_answer(const announce_answer& answer) {
    const json object = {{"owner", answer.owner},
                         {"owner_address", answer.owner_address},
                         {"epoch", answer.epoch},
                         {"renewed", answer.is_renewed},
                         {"want_complete", answer.wants_complete},
                         {"acknowledged", answer.acknowledged},
                         {"interval_ms", to_milliseconds(answer.interval)},
                         {"task_lease_ms", to_milliseconds(answer.task_lease)}};
    return object.dump();
}

std::variant<announce_answer, codec_error> decode_announce_answer(const std::string& text) {
    try {
        const auto object = json::parse(text);
        announce_answer answer;
        answer.owner = read_name(object, "owner", false);
        answer.owner_address = read_text(object, "owner_address");
        answer.epoch = read_number(object, "epoch");
        answer.is_renewed = read_flag(object, "renewed");
        answer.wants_complete = read_flag(object, "want_complete");
        for (const auto& item : read_list(object, "acknowledged")) {
            answer.acknowledged.push_back(item.get<std::uint64_t>());
        }
        answer.interval = milliseconds{read_amount(object, "interval_ms")};
        answer.task_lease = milliseconds{read_amount(object, "task_lease_ms")};
        return answer;
    } catch (const field_error& error) {
        return codec_error{error.what()};
    } catch (const json::exception& error) {
        return codec_error{error.what()};
    }
}

} // namespace poplarpitch
