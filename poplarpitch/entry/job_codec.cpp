#include "poplarpitch/entry/job_codec.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/json/field_reader.h"
#include "poplarpitch/state/amounts_codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_id_length = 128;
constexpr std::size_t max_payload_bytes = 64 << 10;
constexpr integer_range amount_range{0, 1LL << 50};

bool is_id(const std::string& text) {
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(), [](char letter) {
               return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' ||
                      letter == '_' || letter == '.' || letter == ':';
           });
}

std::string find_unknown_key(const json& object) {
    static const std::set<std::string> keys = {"id",          "tenant",     "batch",     "payload",
                                               "slots",       "millicores", "memory",    "accelerators",
                                               "run_time_ms", "urgent",     "idempotent"};
    for (const auto& item : object.items()) {
        if (!keys.contains(item.key())) {
            return item.key();
        }
    }
    return {};
}

} // namespace

std::variant<wire::job, codec_error> decode_job(const std::string& text, const configuration& settings) {
    const auto source = parse_json_object(text);
    if (!source.has_value()) {
        return codec_error{"the body is no JSON object"};
    }
    const auto& object = *source;
    const auto unknown = find_unknown_key(object);
    if (!unknown.empty()) {
        return codec_error{absl::StrCat("unknown key '", unknown, "'")};
    }
    std::optional<field_error> error;
    field_reader reader(object, {}, error);
    wire::job job;
    job.set_id(reader.get_text("id"));
    if (!is_id(job.id())) {
        return codec_error{"'id' must have 1 to 128 letters, digits or -_.:"};
    }
    job.set_tenant(reader.get_text("tenant"));
    if (settings.find_tenant(job.tenant()) == nullptr) {
        return codec_error{absl::StrCat("no tenant is called '", job.tenant(), "'")};
    }
    job.set_batch(reader.get_text("batch"));
    const auto* batch = settings.find_batch(job.batch());
    if (batch == nullptr) {
        return codec_error{absl::StrCat("no batch class is called '", job.batch(), "'")};
    }
    job.set_payload(reader.get_text("payload", ""));
    if (job.payload().size() > max_payload_bytes) {
        return codec_error{"'payload' is larger than 64 KB"};
    }
    auto need = batch->demand;
    std::int64_t run_time_ms = to_milliseconds(batch->run_time);
    need.slots = reader.get_integer("slots", amount_range, need.slots);
    need.millicores = reader.get_integer("millicores", amount_range, need.millicores);
    need.memory = reader.get_integer("memory", amount_range, need.memory);
    need.accelerators = reader.get_integer("accelerators", amount_range, need.accelerators);
    run_time_ms = reader.get_integer("run_time_ms", amount_range, run_time_ms);
    job.set_urgent(reader.get_flag("urgent", batch->urgent));
    job.set_idempotent(reader.get_flag("idempotent", batch->idempotent));
    if (error.has_value()) {
        return codec_error{error->describe()};
    }
    encode(need, *job.mutable_need());
    job.set_run_time_ms(run_time_ms);
    job.set_request_hash(absl::StrCat(absl::Hex(hash_bytes(object.dump()))));
    return job;
}

const char* get_job_state_name(wire::job_state state) {
    switch (state) {
    case wire::job_queued:
        return "queued";
    case wire::job_assigned:
        return "assigned";
    case wire::job_running:
        return "running";
    case wire::job_done:
        return "done";
    case wire::job_failed:
        return "failed";
    case wire::job_cancelled:
        return "cancelled";
    case wire::job_unknown:
        return "outcome_unknown";
    case wire::job_parked:
        return "parked";
    default:
        return "?";
    }
}

std::string encode_job(const wire::job& job) {
    const json object = {{"id", job.id()},
                         {"tenant", job.tenant()},
                         {"batch", job.batch()},
                         {"state", get_job_state_name(job.state())},
                         {"attempt", job.attempt()},
                         {"worker", job.worker()},
                         {"checkpoint", job.checkpoint()},
                         {"reason", job.reason()},
                         {"result", job.result()},
                         {"failures", job.failures()},
                         {"evictions", job.evictions()},
                         {"urgent", job.urgent()},
                         {"idempotent", job.idempotent()},
                         {"cancel_requested", job.cancel_requested()},
                         {"lost", job.lost()},
                         {"submitted_ms", job.submitted_ms()},
                         {"started_ms", job.started_ms()},
                         {"ended_ms", job.ended_ms()}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace poplarpitch
