#include "poplarpitch/entry/job_codec.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/state/amounts_codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_id_length = 128;
constexpr std::size_t max_payload_bytes = 64 << 10;
constexpr std::int64_t max_amount = 1LL << 50;

bool is_id(const std::string& text) {
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(), [](char letter) {
               return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' ||
                      letter == '_' || letter == '.' || letter == ':';
           });
}

/// Reads optional integers of a JSON object and keeps the last error.
class number_reader {
public:
    explicit number_reader(const json& object) : m_object(object) {}

    void read(const char* key, std::int64_t& target) {
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            return;
        }
        if (!found->is_number_integer() || found->get<std::int64_t>() < 0 ||
            found->get<std::int64_t>() > max_amount) {
            m_error = absl::StrCat("'", key, "' must be a whole number that is not negative");
            return;
        }
        target = found->get<std::int64_t>();
    }

    [[nodiscard]] const std::string& get_error() const { return m_error; }

private:
    const json& m_object;
    std::string m_error;
};

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
    const auto object = json::parse(text, nullptr, false);
    if (object.is_discarded() || !object.is_object()) {
        return codec_error{"the body is no JSON object"};
    }
    const auto unknown = find_unknown_key(object);
    if (!unknown.empty()) {
        return codec_error{absl::StrCat("unknown key '", unknown, "'")};
    }
    const auto get_text = [&](const char* key) {
        const auto found = object.find(key);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    wire::job job;
    job.set_id(get_text("id"));
    if (!is_id(job.id())) {
        return codec_error{"'id' must have 1 to 128 letters, digits or -_.:"};
    }
    job.set_tenant(get_text("tenant"));
    if (settings.find_tenant(job.tenant()) == nullptr) {
        return codec_error{absl::StrCat("no tenant is called '", job.tenant(), "'")};
    }
    job.set_batch(get_text("batch"));
    const auto* batch = settings.find_batch(job.batch());
    if (batch == nullptr) {
        return codec_error{absl::StrCat("no batch class is called '", job.batch(), "'")};
    }
    job.set_payload(get_text("payload"));
    if (job.payload().size() > max_payload_bytes) {
        return codec_error{"'payload' is larger than 64 KB"};
    }
    auto need = batch->demand;
    std::int64_t run_time_ms = to_milliseconds(batch->run_time);
    number_reader numbers(object);
    numbers.read("slots", need.slots);
    numbers.read("millicores", need.millicores);
    numbers.read("memory", need.memory);
    numbers.read("accelerators", need.accelerators);
    numbers.read("run_time_ms", run_time_ms);
    if (!numbers.get_error().empty()) {
        return codec_error{numbers.get_error()};
    }
    encode(need, *job.mutable_need());
    job.set_run_time_ms(run_time_ms);
    const auto read_flag = [&](const char* key, bool fallback) {
        const auto found = object.find(key);
        return found != object.end() && found->is_boolean() ? found->get<bool>() : fallback;
    };
    job.set_urgent(read_flag("urgent", batch->urgent));
    job.set_idempotent(read_flag("idempotent", batch->idempotent));
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
