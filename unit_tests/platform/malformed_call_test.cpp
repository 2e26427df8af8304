// Calls of other implementations and calls that were corrupted in transit. They must be rejected and never be
// mistaken for other calls.
#include "platform/config_dialect.h"
#include "platform/control_dialect.h"
#include "platform/job_dialect.h"

#include "unit_tests/support/post_request.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace poplarpitch::platform {
namespace {

const char* const valid_heartbeat =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
    "state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},"labels":["a","r1-3"],"clockMs":48,
    "seq":4})";
const char* const valid_job = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},
    {"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"dependsOn":[0],"checkpointing":true}]})";

control_call read_heartbeat(const std::string& body) {
    return read_control_call(make_post("/v1/Instances.Heartbeat/i-7f", body));
}

TEST(malformed_call, rejects_a_heartbeat_with_an_invalid_start_time) {
    auto body = nlohmann::json::parse(valid_heartbeat);
    body["born"] = 1764749492123;
    const auto valid = read_heartbeat(body.dump());
    ASSERT_TRUE(std::holds_alternative<heartbeat_call>(valid));
    EXPECT_EQ(std::get<heartbeat_call>(valid).report.incarnation.process_start_ms, 1764749492123);
    for (const nlohmann::json& born :
         {nlohmann::json("1764749492123"), nlohmann::json(1764749492123.5), nlohmann::json(0),
          nlohmann::json(-4), nlohmann::json(nullptr), nlohmann::json(true), nlohmann::json::array({1})}) {
        body["born"] = born;
        EXPECT_TRUE(std::holds_alternative<malformed_call>(read_heartbeat(body.dump()))) << born.dump();
    }
}

// A heartbeat of another writer with such a number hid all later ones of the worker, also that it drains.
TEST(malformed_call, rejects_a_heartbeat_whose_sequence_number_is_no_small_whole_number) {
    auto body = nlohmann::json::parse(valid_heartbeat);
    for (const nlohmann::json& sequence :
         {nlohmann::json(-1), nlohmann::json(1e19), nlohmann::json(std::int64_t{1} << 53),
          nlohmann::json(4.5), nlohmann::json("4"), nlohmann::json(nullptr)}) {
        body["seq"] = sequence;
        EXPECT_TRUE(std::holds_alternative<malformed_call>(read_heartbeat(body.dump()))) << sequence.dump();
    }
    body["seq"] = (std::int64_t{1} << 53) - 1;
    EXPECT_TRUE(std::holds_alternative<heartbeat_call>(read_heartbeat(body.dump())));
}

/// Returns a value whose type or range a field does not expect.
nlohmann::json generate_unexpected_value() {
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return -1.5e300;
    case 4:
        return "unknown";
    case 5:
        return nlohmann::json::array({1, "two", nullptr});
    case 6:
        return nlohmann::json::object({{"cpu", "many"}});
    default:
        return "";
    }
}

/// Removes a random field or replaces its value.
nlohmann::json modify_random_field(nlohmann::json source) {
    auto field = source.begin();
    std::advance(field, *rc::gen::inRange<int>(0, static_cast<int>(source.size())));
    if (*rc::gen::arbitrary<bool>()) {
        source.erase(field);
    } else {
        *field = generate_unexpected_value();
    }
    return source;
}

/// Changes one byte or truncates the text.
std::string corrupt(std::string text) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>()) {
        return text.substr(0, position);
    }
    text[position] = *rc::gen::arbitrary<char>();
    return text;
}

/// Returns true when the call was rejected or names a usable worker.
bool is_rejected_or_valid(const control_call& call) {
    if (std::holds_alternative<malformed_call>(call)) {
        return true;
    }
    const auto& report = std::get<heartbeat_call>(call).report;
    return !report.incarnation.id.empty() && !report.address.empty() && !report.pool.empty() &&
           report.capacity.millicores >= 0 && report.capacity.memory_mb >= 0 && report.remaining_ms >= 0;
}

TEST(malformed_call, accepts_a_valid_heartbeat) {
    EXPECT_TRUE(std::holds_alternative<heartbeat_call>(read_heartbeat(valid_heartbeat)));
}

TEST(malformed_call, rejects_a_heartbeat_with_an_unknown_state) {
    for (const char* state : {"broken", "", "READY", "ready "}) {
        auto source = nlohmann::json::parse(valid_heartbeat);
        source["state"] = state;
        EXPECT_TRUE(std::holds_alternative<malformed_call>(read_heartbeat(source.dump()))) << state;
    }
    auto source = nlohmann::json::parse(valid_heartbeat);
    source.erase("state");
    EXPECT_TRUE(std::holds_alternative<malformed_call>(read_heartbeat(source.dump())));
}

TEST(malformed_call, rejects_a_heartbeat_with_an_invalid_address) {
    for (const char* address : {"", "10.0.0.9", "host:80", "10.0.0.9:port", "10.0.0.9:70000"}) {
        auto source = nlohmann::json::parse(valid_heartbeat);
        source["addr"] = address;
        EXPECT_TRUE(std::holds_alternative<malformed_call>(read_heartbeat(source.dump()))) << address;
    }
}

RC_GTEST_PROP(malformed_call, accepts_a_modified_heartbeat_only_when_it_names_a_usable_worker, ()) {
    auto source = nlohmann::json::parse(valid_heartbeat);
    const int changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes && !source.empty(); ++change) {
        source = modify_random_field(source);
    }
    const auto call = read_heartbeat(source.dump());
    RC_ASSERT(is_rejected_or_valid(call));
}

RC_GTEST_PROP(malformed_call, accepts_a_corrupted_heartbeat_only_when_it_names_a_usable_worker, ()) {
    const auto call = read_heartbeat(corrupt(valid_heartbeat));
    RC_ASSERT(is_rejected_or_valid(call));
}

RC_GTEST_PROP(malformed_call, reads_no_negative_amounts_from_a_corrupted_job, ()) {
    const auto job = read_job(corrupt(valid_job));
    const bool is_rejected = !job.has_value() || validate_job(job.value()).has_value();
    const bool is_valid =
        is_rejected ||
        std::all_of(job.value().steps.begin(), job.value().steps.end(), [](const step_spec& step) {
            return step.count > 0 && step.millicores >= 0 && step.memory_mb >= 0 && step.estimate_ms >= 0;
        });
    RC_ASSERT(is_valid);
}

RC_GTEST_PROP(malformed_call, rejects_arbitrary_bytes, ()) {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(std::holds_alternative<malformed_call>(read_heartbeat(bytes)));
    RC_ASSERT(!read_job(bytes).has_value());
    RC_ASSERT(!read_configuration(bytes).has_value());
}

// An id that is not UTF-8 made batches of the log unreadable, with the assignments and ends of other jobs.
TEST(malformed_call, rejects_ids_and_names_in_paths_that_are_not_utf8) {
    const std::string bytes = "i-7f\xe9\xff";
    auto draining = nlohmann::json::parse(valid_heartbeat);
    draining["state"] = "draining";
    const http_request requests[] = {make_post("/v1/Instances.Heartbeat/" + bytes, valid_heartbeat),
                                     make_post("/v1/Instances.Heartbeat/" + bytes, draining.dump()),
                                     make_post("/v1/Instances.Deregister/" + bytes),
                                     make_post("/v1/Evacuation.Start/" + bytes),
                                     make_post("/v1/Evacuation.End/" + bytes)};
    for (const auto& request : requests) {
        EXPECT_TRUE(std::holds_alternative<malformed_call>(read_control_call(request)));
    }
    const auto valid = read_control_call(make_post("/v1/Instances.Deregister/i-\xc3\xa9"));
    EXPECT_TRUE(std::holds_alternative<deregister_call>(valid));
}

} // namespace
} // namespace poplarpitch::platform
