#pragma once

#include "poplarpitch/scheduler/scheduler_dialect.h"

#include <string>

namespace poplarpitch {

/// A dialect for tests in which every body is a job of one task and workers cannot be reached.
struct plain_dialect {
    static document_result<step_job> read_job(const std::string& /*body*/) {
        step_job job;
        job.steps.emplace_back();
        job.steps.front().count = 1;
        return job;
    }
    static std::string format_job_state(job_progress /*progress*/) { return "state"; }
    static std::string format_pending(std::uint64_t count) { return std::to_string(count); }
    static control_call read_control_call(const http_request& /*request*/) { return unknown_call{}; }
    static std::string format_heartbeat_answer(const std::string& address) { return address; }
    template <class Order>
    static http_request write_order(const Order& /*order*/) {
        return {};
    }
    static advice_outcome read_advice(const http_response& /*response*/) { return {}; }
    static order_answer read_order_answer(const http_response& /*response*/) { return {}; }
    static order_outcome read_hold_answer(const http_response& /*response*/) { return {}; }
};

} // namespace poplarpitch
