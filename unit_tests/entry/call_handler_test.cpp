#include "poplarpitch/entry/call_handler.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/entry/session_lease.h"
#include "poplarpitch/state/intent_table.h"
#include "poplarpitch/telemetry/metrics_registry.h"
#include "poplarpitch/transport/control_client.h"
#include "poplarpitch/transport/control_server.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "poplarpitch/transport/http_server.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace poplarpitch {
namespace {

constexpr std::size_t max_intents = 100;
constexpr std::size_t max_answer_bytes = 1000;
constexpr const char* config_text = "[tenant t]\n[service s]\ndeadline = 20s\nidempotent = true\n";

/// The request path of an entry over real HTTP, with one worker of one slot and another entry with free
/// slots.
class call_handler_test : public testing::Test {
protected:
    call_handler_test()
        : m_worker({}, [this](const http_request& request) { return answer_as_worker(request); }),
          m_other({}, [this](const http_request& request) { return answer_as_entry(request); }),
          m_state("e1", ""), m_control({peer_address{1, start_leader(), false}}),
          m_calls(m_state, m_pool, m_control, m_lease, m_metrics, "e1", "e1-") {
        m_worker_address = "127.0.0.1:" + std::to_string(m_worker.start().value());
        m_other_address = "127.0.0.1:" + std::to_string(m_other.start().value());
        m_lease.renew(m_clock.now(), seconds{60}, milliseconds{0});
        set_worker_count(1);
    }

    std::string start_leader() {
        return "127.0.0.1:" + std::to_string(m_leader.start("127.0.0.1", 0).value());
    }

    /// Gives the entry `count` workers of one slot each, all at the address of the same server.
    void set_worker_count(int count) {
        wire::renew_answer answer;
        answer.set_revision(++m_revision);
        answer.mutable_config()->set_version(1);
        answer.mutable_config()->set_text(config_text);
        answer.set_owned_changed(true);
        for (int number = 1; number <= count; ++number) {
            auto& record = *answer.add_owned();
            record.set_id("w" + std::to_string(number));
            record.set_address(m_worker_address);
            record.set_epoch(2);
            record.add_services("s");
            record.mutable_capacity()->set_slots(1);
        }
        auto& digest = *answer.add_entries();
        digest.set_entry("e2");
        digest.set_http_address(m_other_address);
        auto& room = *digest.add_services();
        room.set_service("s");
        room.set_free(8);
        room.set_total(8);
        m_state.apply_renewal(answer, m_clock.now());
        for (int number = 1; number <= count; ++number) {
            announcement message;
            message.id = "w" + std::to_string(number);
            message.address = m_worker_address;
            message.services = {"s"};
            message.capacity = {1, 0, 0, 0};
            message.epoch = 2;
            message.sequence = m_revision;
            message.is_complete = true;
            m_state.apply_announcement(message, 1);
        }
    }

    http_response answer_as_worker(const http_request& request) {
        if (++m_worker_calls == 1 && m_on_first_call) {
            m_on_first_call();
        }
        http_response response;
        response.status = m_worker_status;
        response.body = request.body;
        // An answer without the request's own id counts as the answer to another request; the outcome is
        // unknown.
        response.headers.add(header_request_id,
                             m_worker_omits_request_id ? "other" : request.headers.get(header_request_id));
        return response;
    }

    http_response answer_as_entry(const http_request& request) {
        ++m_other_calls;
        auto response = make_error_response(503, "too_late", "it could not end before its deadline");
        response.headers.add(header_outcome, outcome_not_run);
        response.headers.add(header_request_id, request.headers.get(header_request_id));
        return response;
    }

    /// Sends a request. With `lost_before` > 0 it comes from another entry, where that many attempts got no
    /// answer.
    http_response call(int lost_before = 0) {
        http_request request;
        if (lost_before > 0) {
            request.headers.add(header_forwarded, "e2");
            request.headers.add(header_lost_attempts, std::to_string(lost_before));
        }
        request.method = "POST";
        request.target = "/v1/call/s";
        request.body = "x";
        request.headers.add(header_tenant, "t");
        return m_calls.handle(request);
    }

    /// Sends a request with a key that must run at most once, always with the same request id.
    http_response call_keyed() {
        http_request request;
        request.method = "POST";
        request.target = "/v1/call/s";
        request.body = "x";
        request.headers.add(header_tenant, "t");
        request.headers.add(header_key, "k");
        request.headers.add(header_idempotent, "false");
        request.headers.add(header_request_id, "of-the-caller");
        return m_calls.handle(request);
    }

    /// Applies a command to the table of keys, as control does.
    wire::propose_answer commit(const wire::command& command) {
        const absl::MutexLock lock(&m_mutex);
        const bool is_begin = command.has_begin();
        const auto& proposed = is_begin ? command.begin().begun() : command.end().ended();
        const auto error = is_begin ? m_intents.begin(proposed) : m_intents.end(proposed);
        wire::propose_answer answer;
        answer.set_committed(true);
        answer.mutable_outcome()->set_code(static_cast<std::uint32_t>(error.value()));
        *answer.mutable_outcome()->mutable_intent_record() = *m_intents.find(proposed.key());
        return answer;
    }

    control_handler make_control() {
        control_handler handler;
        handler.on_propose = [this](const wire::propose_request& request) {
            return commit(request.proposed());
        };
        return handler;
    }

    absl::Mutex m_mutex;
    intent_table m_intents ABSL_GUARDED_BY(m_mutex){state_rules{}, max_intents, max_answer_bytes};
    control_server m_leader{"", make_control()};
    std::function<void()> m_on_first_call; ///< called by the worker before it answers its first call
    std::atomic<int> m_worker_status{200};
    std::atomic<bool> m_worker_omits_request_id{false};
    std::atomic<int> m_worker_calls{0};
    std::atomic<int> m_other_calls{0};
    http_server m_worker;
    http_server m_other;
    std::string m_worker_address;
    std::string m_other_address;
    std::uint64_t m_revision = 0;
    const system_clock m_clock{};
    entry_state m_state;
    control_client m_control;
    session_lease m_lease;
    metrics_registry m_metrics;
    http_client_pool m_pool{http_client_settings{}};
    call_handler m_calls;
};

TEST_F(call_handler_test, returns_the_complete_answer_of_the_target) {
    const auto response = call();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "x");
    EXPECT_EQ(response.headers.get(header_outcome), outcome_done);
    EXPECT_EQ(m_other_calls, 0);
}

// Found by scripts/scenarios: the first attempt may still be running and holds its slot, so the retry is
// forwarded.
TEST_F(call_handler_test, not_run_of_a_forwarded_retry_does_not_change_the_outcome_of_the_first_attempt) {
    m_worker_omits_request_id = true;
    const auto response = call();
    EXPECT_EQ(m_worker_calls, 1);
    EXPECT_EQ(m_other_calls, 1);
    EXPECT_EQ(response.headers.get(header_outcome), outcome_unknown);
    EXPECT_EQ(response.status, 504);
}

// Regression: a request that crashes its target's process was sent to three targets, and by another entry to
// three more. Each crash would have ended everything else that ran on the target.
TEST_F(call_handler_test, sends_a_request_to_no_third_target_when_two_gave_no_answer) {
    set_worker_count(6);
    m_worker_omits_request_id = true;
    const auto response = call();
    EXPECT_EQ(m_worker_calls, 2);
    EXPECT_EQ(m_other_calls, 0);
    EXPECT_EQ(response.headers.get(header_outcome), outcome_unknown);
}

TEST_F(call_handler_test, sends_a_forwarded_request_once_that_had_no_answer_from_one_target_before) {
    set_worker_count(6);
    m_worker_omits_request_id = true;
    call(1);
    EXPECT_EQ(m_worker_calls, 1);
}

TEST_F(call_handler_test, error_answer_of_a_target_is_kept_when_its_retry_did_not_run) {
    m_worker_status = 500;
    const auto response = call();
    EXPECT_GE(m_worker_calls, 1);
    EXPECT_EQ(response.headers.get(header_outcome), outcome_done);
    EXPECT_EQ(response.status, 500);
}

call_result make_result(call_outcome outcome, int status) {
    call_result result;
    result.outcome = outcome;
    result.response.status = status;
    return result;
}

TEST(combine_attempts, attempt_that_did_not_run_keeps_the_earlier_result) {
    const auto combine = [](call_outcome last, call_outcome next) {
        return combine_attempts(make_result(last, 1), make_result(next, 2)).response.status;
    };
    EXPECT_EQ(combine(call_outcome::not_run, call_outcome::not_run), 2);
    EXPECT_EQ(combine(call_outcome::unknown, call_outcome::not_run), 1);
    EXPECT_EQ(combine(call_outcome::done, call_outcome::not_run), 1);
    EXPECT_EQ(combine(call_outcome::unknown, call_outcome::done), 2);
    EXPECT_EQ(combine(call_outcome::not_run, call_outcome::unknown), 2);
}

TEST_F(call_handler_test, runs_a_key_once_that_comes_twice_under_one_request_id) {
    set_worker_count(2);
    absl::Notification is_running;
    absl::Notification may_end;
    m_on_first_call = [&] {
        is_running.Notify();
        may_end.WaitForNotification();
    };
    http_response first;
    std::thread caller([&] { first = call_keyed(); });
    is_running.WaitForNotification();
    const auto second = call_keyed();
    may_end.Notify();
    caller.join();
    EXPECT_EQ(m_worker_calls, 1);
    EXPECT_EQ(first.headers.get(header_outcome), outcome_done);
    EXPECT_EQ(second.headers.get(header_outcome), outcome_unknown);
    EXPECT_EQ(second.status, 504);
    EXPECT_EQ(second.headers.get(header_request_id), "of-the-caller");
}

TEST_F(call_handler_test, gives_the_answer_of_a_key_to_a_resend_under_the_same_request_id) {
    const auto first = call_keyed();
    const auto second = call_keyed();
    EXPECT_EQ(m_worker_calls, 1);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, first.body);
}

} // namespace
} // namespace poplarpitch
