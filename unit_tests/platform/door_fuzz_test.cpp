// Arbitrary documents and bytes at every place where other processes are heard. What is accepted must mean
// what the document says, and must be readable in the log and in frames. RC_PARAMS="max_success=1000000" runs
// it for long.
#include "platform/control_dialect.h"
#include "platform/job_dialect.h"
#include "platform/worker_dialect.h"

#include "poplarpitch/http/http_response.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/scheduling/configuration_checker.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/support/generated_bytes.h"
#include "unit_tests/support/post_request.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <iterator>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace poplarpitch::platform {
namespace {

using json = nlohmann::json;

constexpr int documents_per_case = 20;

const char* const heartbeat =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,
    "capacity":{"cpu":16000,"memMb":32768,"gpu":2},"labels":["a","r1-3"],"clockMs":48,"seq":4,"born":17,
    "remainingMs":5})";
const char* const configuration =
    R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","timeoutMs":3000,"targetLatencyMs":250,
    "priority":0,"service":"s","maxAttempts":3,"stretch":1.5},{"name":"q","host":"a.example","pathPrefix":"/q/",
    "timeoutMs":3000,"service":"s"}],"services":[{"name":"s","maxConns":64,"enforcesCapacity":true}],"limits":{"maxHeaderBytes":16384,
    "maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
const char* const job =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},{"count":20,"cpu":2000,
    "dependsOn":[0],"antiAffinity":2,"longRunning":true,"missAllowed":1}],"repeatCount":2,"firstMs":9,"intervalMs":4})";
const char* const worker_lists =
    R"({"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0000bb87",41,7]],
    "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","0000bb87"]],"born":17})";

json generate_value() {
    static const std::vector<json> values = {nullptr,
                                             true,
                                             0,
                                             -1,
                                             7,
                                             7.5,
                                             1e19,
                                             -1.5e300,
                                             1e300,
                                             std::numeric_limits<std::int64_t>::min(),
                                             std::numeric_limits<std::int64_t>::max(),
                                             std::numeric_limits<std::uint64_t>::max(),
                                             4'294'967'296,
                                             "",
                                             "text",
                                             json::array(),
                                             json::object(),
                                             json::array({nullptr}),
                                             json::object({{"name", "s"}})};
    return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

/// Changes, adds or removes one value anywhere in the document.
// NOLINTNEXTLINE(misc-no-recursion): documents contain documents
void mutate(json& document) {
    if (!document.is_structured() || document.empty() || *rc::gen::inRange(0, 4) == 0) {
        document = generate_value();
        return;
    }
    auto item = document.begin();
    std::advance(item, *rc::gen::inRange<int>(0, static_cast<int>(document.size())));
    if (*rc::gen::inRange(0, 6) == 0) {
        document.erase(item);
        return;
    }
    mutate(*item);
}

/// Returns a text with up to three changed values and, now and then, a changed byte.
std::string generate_document(const char* valid) {
    auto document = json::parse(valid);
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes && document.is_structured() && !document.empty(); ++change) {
        auto item = document.begin();
        std::advance(item, *rc::gen::inRange<int>(0, static_cast<int>(document.size())));
        mutate(*item);
    }
    auto text = document.dump();
    if (*rc::gen::inRange(0, 4) == 0) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(*rc::gen::inRange(0, 0x100));
    }
    return text;
}

bool is_readable(const job_wire::job_command& command) {
    job_wire::job_command parsed;
    return parsed.ParseFromString(command.SerializeAsString());
}

bool is_readable(const job_wire::cluster_frame& frame) {
    job_wire::cluster_frame parsed;
    return parsed.ParseFromString(frame.SerializeAsString());
}

/// Returns true when the number that was read is the one in the document, or `fallback` where that has none.
bool is_same_number(const json& document, const char* name, std::uint64_t number,
                    std::uint64_t fallback = 0) {
    const auto found = document.find(name);
    if (found == document.end()) {
        return number == fallback;
    }
    return found->is_number() && found->get<double>() >= 0 &&
           found->get<double>() == static_cast<double>(number);
}

/// Checks what became of the calls that are accepted.
class call_checker {
public:
    explicit call_checker(const std::string& body) : m_document(json::parse(body, nullptr, false)) {}

    void operator()(const heartbeat_call& call) const {
        const auto& report = call.report;
        job_wire::cluster_frame frame;
        encode(report, *frame.mutable_answers()->add_reports());
        RC_ASSERT(is_readable(frame));
        job_wire::job_command command;
        command.mutable_retire()->set_worker(report.incarnation.id);
        RC_ASSERT(is_readable(command));
        RC_ASSERT(is_same_number(m_document, "seq", report.sequence));
        RC_ASSERT(report.capacity.millicores >= 0 && report.capacity.memory_mb >= 0);
        RC_ASSERT(report.remaining_ms >= 0 && report.incarnation.process_start_ms >= 0);
    }
    void operator()(const deregister_call& call) const {
        job_wire::job_command command;
        command.mutable_end()->set_worker(call.worker.id);
        RC_ASSERT(is_readable(command));
    }
    void operator()(const put_config_call& call) const {
        if (find_configuration_error(call.configuration).has_value()) {
            return;
        }
        job_wire::job_command command;
        encode(call.configuration, *command.mutable_config());
        RC_ASSERT(is_readable(command));
        RC_ASSERT(is_same_number(m_document, "version", call.configuration.version));
        RC_ASSERT(m_document["routes"].is_array());
        RC_ASSERT(m_document["routes"].size() == call.configuration.queues.size());
        RC_ASSERT(m_document["services"].is_array());
        RC_ASSERT(m_document["services"].size() == call.configuration.pools.size());
        for (std::size_t index = 0; index < call.configuration.queues.size(); ++index) {
            const auto& route = m_document["routes"][index];
            const auto attempts = call.configuration.queues[index].max_attempts;
            RC_ASSERT(is_same_number(route, "maxAttempts", attempts, 1));
        }
    }
    void operator()(const drain_call& call) const {
        job_wire::job_command command;
        command.mutable_drain()->set_name(call.data_centre);
        RC_ASSERT(is_readable(command));
    }
    void operator()(const get_config_call& /*call*/) const {}
    void operator()(const unsupported_call& /*call*/) const {}
    void operator()(const malformed_call& /*call*/) const {}
    void operator()(const unknown_call& /*call*/) const {}

private:
    json m_document;
};

RC_GTEST_PROP(door_fuzz, accepts_calls_of_workers_only_as_they_are_written, ()) {
    static const std::vector<std::string> paths = {"/v1/Instances.Heartbeat/", "/v1/Instances.Deregister/",
                                                   "/v1/Evacuation.Start/", "/v1/Evacuation.End/"};
    for (int number = 0; number < documents_per_case; ++number) {
        const auto& path = paths[*rc::gen::inRange<std::size_t>(0, paths.size())];
        const auto body = generate_document(heartbeat);
        std::visit(call_checker(body), read_control_call(make_post(path + "i-7f" + generate_bytes(), body)));
    }
}

RC_GTEST_PROP(door_fuzz, accepts_configurations_only_as_they_are_written, ()) {
    for (int number = 0; number < documents_per_case; ++number) {
        const auto body = generate_document(configuration);
        std::visit(call_checker(body), read_control_call(make_post("/v1/Config.Put", body)));
    }
}

void check_job(const std::string& body) {
    const auto read = read_job(body);
    if (!read.has_value() || validate_job(read.value()).has_value()) {
        return;
    }
    job_wire::job_command command;
    encode(read.value(), *command.mutable_submit()->mutable_job());
    RC_ASSERT(is_readable(command));
    const auto document = json::parse(body);
    RC_ASSERT(document["steps"].is_array());
    RC_ASSERT(document["steps"].size() == read.value().steps.size());
    for (std::size_t index = 0; index < read.value().steps.size(); ++index) {
        const auto& step = document["steps"][index];
        const auto& parsed = read.value().steps[index];
        RC_ASSERT(is_same_number(step, "count", parsed.count, 1));
        RC_ASSERT(is_same_number(step, "antiAffinity", parsed.max_per_worker));
    }
}

RC_GTEST_PROP(door_fuzz, accepts_jobs_only_as_they_are_written, ()) {
    for (int number = 0; number < documents_per_case; ++number) {
        check_job(generate_document(job));
    }
}

RC_GTEST_PROP(door_fuzz, relays_the_lists_of_workers_readably, ()) {
    for (int number = 0; number < documents_per_case; ++number) {
        http_response response;
        response.status = 200;
        response.body = generate_document(worker_lists);
        const auto outcome = read_hold_answer(response);
        job_wire::cluster_frame frame;
        encode(outcome, *frame.mutable_answers()->add_answers());
        RC_ASSERT(is_readable(frame));
        RC_ASSERT(outcome.answer.process_start_ms >= 0);
    }
}

} // namespace
} // namespace poplarpitch::platform
