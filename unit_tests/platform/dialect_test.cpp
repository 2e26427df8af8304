// Translation between the outer platform's requests, names and JSON bodies and the scheduler's types.
#include "platform/dialect.h"
#include "platform/task_name.h"
#include "unit_tests/support/post_request.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace poplarpitch::platform {
namespace {

TEST(platform_job, reads_all_fields_of_a_step) {
    const auto read =
        read_job(R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900,
        "affinity":"r1-3","requires":"a","antiAffinity":2,"checkpointing":true,"image":"x","fills":true},
        {"count":2,"dependsOn":[0],"longRunning":true,"targetMs":50,"gang":true,"sameRack":true,
        "speculative":true}],"repeatCount":3,"firstMs":1000,"intervalMs":500})");
    ASSERT_TRUE(read.has_value());
    const auto* job = &read.value();
    EXPECT_EQ(job->payload, "text");
    ASSERT_EQ(job->steps.size(), 2U);
    const auto& first = job->steps[0];
    EXPECT_EQ(first.count, 4U);
    EXPECT_EQ(first.millicores, 500);
    EXPECT_EQ(first.memory_mb, 256);
    EXPECT_EQ(first.accelerators, 1);
    EXPECT_EQ(first.max_per_worker, 2U);
    EXPECT_EQ(first.affinity_rack, "r1-3");
    EXPECT_EQ(first.required_label, "a");
    EXPECT_TRUE(first.checkpointing);
    EXPECT_TRUE(first.is_filling);
    EXPECT_FALSE(first.max_unavailable.has_value());
    const auto& second = job->steps[1];
    EXPECT_EQ(second.depends_on, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(second.is_serving());
    EXPECT_TRUE(second.gang);
    EXPECT_TRUE(second.same_rack);
    EXPECT_TRUE(second.speculative);
    EXPECT_EQ(second.max_unavailable, 0U);
    EXPECT_EQ(job->schedule, (job_schedule{3, 1000, 500}));
}

TEST(platform_job, rejects_invalid_jobs) {
    EXPECT_FALSE(read_job("").has_value());
    EXPECT_FALSE(read_job("[]").has_value());
    EXPECT_FALSE(read_job(R"({"spec":"text"})").has_value());
    EXPECT_FALSE(read_job(R"({"steps":[{"count":"four"}]})").has_value());
    EXPECT_FALSE(read_job(R"({"steps":[{"count":4)").has_value());
}

TEST(platform_task_name, survives_a_round_trip) {
    const task_key key{{0x5c0e7a21d94b36f8, 2, 1}, 17};
    EXPECT_EQ(format_task_name(key), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(read_task_name("5c0e7a21d94b36f8.2.1.17"), key);
    EXPECT_FALSE(read_task_name("5c0e7a21d94b36f8.2.1").has_value());
    EXPECT_FALSE(read_task_name("5C0E7A21D94B36F8.2.1.17").has_value());
    EXPECT_FALSE(read_task_name("5c0e7a21d94b36f8.2.x.17").has_value());
    EXPECT_FALSE(read_task_name("5c0e7a21d94b36f8.2.1.17.3").has_value());
    EXPECT_FALSE(read_task_name("5c0e7a21d94b36f8.2.1.").has_value());
    EXPECT_FALSE(read_task_name("5c0e7a21d94b36f8").has_value());
    EXPECT_FALSE(read_task_name("").has_value());
}

TEST(platform_control, reads_a_heartbeat) {
    const auto call = read_control_call(make_post(
        "/v1/Instances.Heartbeat/i-7f", R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"draining",
        "remainingMs":1500,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},"labels":["a","r1-3"],"clockMs":48,"seq":4})"));
    const auto* heartbeat = std::get_if<heartbeat_call>(&call);
    ASSERT_NE(heartbeat, nullptr);
    EXPECT_EQ(heartbeat->report.incarnation.id, "i-7f");
    EXPECT_EQ(heartbeat->report.rack, "r1-3");
    EXPECT_EQ(heartbeat->report.capacity, (worker_amounts{16000, 32768, 2}));
    EXPECT_TRUE(heartbeat->report.is_draining);
    EXPECT_EQ(heartbeat->report.remaining_ms, 1500);
    EXPECT_EQ(heartbeat->report.sequence, 4U);
}

TEST(platform_control, reads_a_configuration_and_keeps_the_original_document) {
    const std::string document =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"unsafe","timeoutMs":3000,
        "targetLatencyMs":250,"priority":2,"service":"s","maxAttempts":4,"stretch":1.5,
        "advice":{"decideMs":5,"periodMs":1,"validMs":3000}}],
        "services":[{"name":"s","maxConns":64,"enforcesCapacity":true,"standby":false}]})";
    const auto call = read_control_call(make_post("/v1/Config.Put", document));
    const auto* put = std::get_if<put_config_call>(&call);
    ASSERT_NE(put, nullptr);
    EXPECT_EQ(put->configuration.version, 7U);
    EXPECT_EQ(put->configuration.document, document);
    ASSERT_EQ(put->configuration.queues.size(), 1U);
    const auto& queue = put->configuration.queues[0];
    EXPECT_EQ(queue.priority, 2);
    EXPECT_EQ(queue.max_attempts, 4U);
    EXPECT_EQ(queue.target_latency, milliseconds{250});
    EXPECT_EQ(queue.advice->ticket_validity, seconds{3});
    EXPECT_TRUE(put->configuration.pools.at(0).enforces_capacity);
}

TEST(platform_control, reads_orders_to_drain_a_data_centre_and_their_withdrawal) {
    const auto order = read_control_call(make_post("/v1/Evacuation.Start/gimje-hall", ""));
    const auto* drain = std::get_if<drain_call>(&order);
    ASSERT_NE(drain, nullptr);
    EXPECT_EQ(drain->data_centre, "gimje-hall");
    EXPECT_FALSE(drain->undo);
    const auto withdrawal = read_control_call(make_post("/v1/Evacuation.End/gimje-hall", ""));
    const auto* undo = std::get_if<drain_call>(&withdrawal);
    ASSERT_NE(undo, nullptr);
    EXPECT_TRUE(undo->undo);
    EXPECT_TRUE(
        std::holds_alternative<malformed_call>(read_control_call(make_post("/v1/Evacuation.Start/", ""))));
}

TEST(platform_control, distinguishes_malformed_from_unknown_calls) {
    const auto is_malformed = [](const control_call& call) {
        return std::holds_alternative<malformed_call>(call);
    };
    EXPECT_TRUE(is_malformed(read_control_call(make_post("/v1/Config.Put", R"({"version":7,"routes":[)"))));
    EXPECT_TRUE(is_malformed(read_control_call(make_post("/v1/Instances.Heartbeat/i", "{}"))));
    EXPECT_TRUE(std::holds_alternative<unknown_call>(read_control_call(make_post("/v1/else", "{}"))));
    EXPECT_TRUE(
        std::holds_alternative<unsupported_call>(read_control_call(make_post("/v1/wave-start", "{}"))));
}

TEST(platform_worker, writes_a_start_order_with_the_expected_worker_header) {
    start_order order;
    order.target.worker = {"i-7f", 0};
    order.target.fence = 7;
    order.run = {{{1, 0, 0}, 3}, 2};
    step_job job;
    job.payload = "text";
    order.job = std::make_shared<const step_job>(job);
    order.lease_end_ms = 486000;
    order.checkpoint = "00ab";
    const auto request = write_order(order);
    EXPECT_EQ(request.target, "/v1/run-start");
    EXPECT_EQ(request.headers.get("Expect-Instance"), "i-7f");
    const auto body = nlohmann::json::parse(request.body);
    EXPECT_EQ(body.at("task"), "0000000000000001.0.0.3");
    EXPECT_EQ(body.at("run"), 2);
    EXPECT_EQ(body.at("fence"), 7);
    EXPECT_EQ(body.at("spec"), "text");
    EXPECT_EQ(body.at("untilMs"), 486000);
    EXPECT_EQ(body.at("checkpoint"), "00ab");
    EXPECT_FALSE(body.contains("ticket"));
}

TEST(platform_worker, says_nothing_of_a_list_that_it_cannot_read_in_full) {
    http_response response;
    response.status = 200;
    for (const auto* body :
         {"", "[]", "{}", R"({"clockMs":1,"running":[],"ended":{}})",
          R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]]})",
          R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17","2","",41]],"ended":[]})",
          R"({"clockMs":1,"running":[],"ended":[[-1,"5c0e7a21d94b36f8.0.1.17",2,"done",""]]})",
          R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended":[)"}) {
        response.body = body;
        const auto outcome = read_hold_answer(response);
        EXPECT_EQ(outcome.failure, order_failure::unanswered) << body;
        EXPECT_TRUE(outcome.answer.running.empty()) << body;
    }
}

TEST(platform_worker, truncates_numbers_that_are_not_integers) {
    http_response response;
    response.status = 200;
    response.body = R"({"clockMs":7.5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41.5,12.9]],"ended":[]})";
    const auto outcome = read_hold_answer(response);
    ASSERT_EQ(outcome.answer.running.size(), 1U);
    EXPECT_EQ(outcome.answer.clock_ms, 7);
    EXPECT_EQ(outcome.answer.running[0].percent, 41);
    EXPECT_EQ(outcome.answer.running[0].level, 12);
}

TEST(platform_worker, escapes_text_in_order_bodies) {
    step_job job;
    job.payload = "a \"quoted\" line\nand \\ more";
    start_order order;
    order.job = std::make_shared<const step_job>(job);
    const auto body = nlohmann::json::parse(write_order(order).body);
    EXPECT_EQ(body.at("spec"), job.payload);
}

TEST(platform_worker, reads_the_running_and_ended_runs_of_a_hold_answer) {
    http_response response;
    response.body = R"({"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,52]],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",3,"lapsed","77"]]})";
    const auto outcome = read_hold_answer(response);
    ASSERT_FALSE(outcome.failure.has_value());
    EXPECT_EQ(outcome.answer.clock_ms, 482113);
    ASSERT_EQ(outcome.answer.running.size(), 1U);
    EXPECT_EQ(outcome.answer.running[0].percent, 41);
    EXPECT_EQ(outcome.answer.running[0].level, 52);
    ASSERT_EQ(outcome.answer.ended.size(), 2U);
    EXPECT_EQ(outcome.answer.ended[0].end, run_end::done);
    EXPECT_EQ(outcome.answer.ended[1].end, run_end::lease_expired);
    EXPECT_EQ(outcome.answer.ended[1].checkpoint, "77");
}

TEST(platform_worker, takes_a_list_that_cannot_be_read_for_no_answer) {
    http_response response;
    response.body = R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17","two"]],"ended":[]})";
    EXPECT_EQ(read_hold_answer(response).failure, order_failure::unanswered);
    response.body = "";
    EXPECT_EQ(read_hold_answer(response).failure, order_failure::unanswered);
}

TEST(platform_worker, reads_the_process_start_time_from_a_hold_answer) {
    http_response response;
    response.body = R"({"clockMs":1,"running":[],"ended":[],"born":1764749492123})";
    EXPECT_EQ(read_hold_answer(response).answer.process_start_ms, 1764749492123);
    response.body = R"({"clockMs":1,"running":[],"ended":[]})";
    EXPECT_EQ(read_hold_answer(response).answer.process_start_ms, 0)
        << "a deployment whose workers do not report their start time";
    for (const auto* born :
         {"\"1764749492123\"", "1764749492123.5", "0", "-4", "null", "true", "1e300", "[1]"}) {
        response.body = std::string(R"({"clockMs":1,"running":[],"ended":[],"born":)") + born + "}";
        EXPECT_EQ(read_hold_answer(response).failure, order_failure::unanswered) << born;
    }
}

TEST(platform_worker, reads_why_an_order_was_refused) {
    const auto read = [](int status, const std::string& reason) {
        http_response response;
        response.status = status;
        response.body = R"({"clockMs":5,"reason":")" + reason + "\"}";
        return read_order_answer(response).failure;
    };
    EXPECT_EQ(read(200, ""), std::nullopt);
    EXPECT_EQ(read(409, "fence"), order_failure::lower_fence);
    EXPECT_EQ(read(409, "old"), order_failure::stale_run);
    EXPECT_EQ(read(409, "late"), order_failure::lease_already_expired);
    EXPECT_EQ(read(409, "room"), order_failure::no_capacity);
    EXPECT_EQ(read(409, "ticket"), order_failure::no_ticket);
    EXPECT_EQ(read(421, ""), order_failure::other_incarnation);
    EXPECT_EQ(read(429, ""), order_failure::unhealthy);
    EXPECT_EQ(read(503, ""), order_failure::unhealthy);
    EXPECT_EQ(read(500, ""), order_failure::unanswered);
}

} // namespace
} // namespace poplarpitch::platform
