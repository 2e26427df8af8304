#include "poplarpitch/entry/call_handler.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/call_reader.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/hedged_call.h"
#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/entry/session_lease.h"
#include "poplarpitch/state/intent_table.h"
#include "poplarpitch/telemetry/metrics_registry.h"
#include "poplarpitch/transport/control_client.h"
#include "poplarpitch/transport/http_cancel_token.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "poplarpitch/transport/transport_error.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <chrono>

namespace poplarpitch {
namespace {

constexpr int max_attempts = 3;
// A request that crashes its target's process would also crash the next one, and all that runs there.
constexpr int max_lost_attempts = 2;
constexpr int hedge_threads = 64;
constexpr duration default_retry_after = seconds{1};
constexpr duration intent_commit_timeout = seconds{2};

const char* get_outcome_name(call_outcome outcome) {
    switch (outcome) {
    case call_outcome::done:
        return outcome_done;
    case call_outcome::not_run:
        return outcome_not_run;
    case call_outcome::unknown:
        return outcome_unknown;
    }
    return outcome_unknown;
}

/// Returns true for headers that the entry does not set itself. Headers that concern a single connection are
/// removed by the HTTP connection code, see `is_connection_header`.
bool is_application_header(const std::string& name) {
    return !absl::StartsWithIgnoreCase(name, "poplarpitch-") && !absl::EqualsIgnoreCase(name, "host");
}

/// Copies the headers that callers and targets exchange.
void copy_application_headers(const header_list& from, header_list& to) {
    for (const auto& header : from.get_all()) {
        if (is_application_header(header.name)) {
            to.add(header.name, header.value);
        }
    }
}

} // namespace

call_handler::call_handler(entry_state& state, http_client_pool& targets, control_client& control,
                           const session_lease& lease, metrics_registry& metrics, std::string entry_id,
                           std::string prefix)
    : m_state(state), m_targets(targets), m_control(control), m_lease(lease), m_metrics(metrics),
      m_entry_id(std::move(entry_id)), m_prefix(std::move(prefix)), m_hedge_timer(hedge_threads) {}

http_response call_handler::handle(const http_request& request) {
    const auto started = m_clock.now();
    auto read = read_call(request, *m_state.get_configuration(), started);
    if (auto* refused = std::get_if<http_response>(&read)) {
        return std::move(*refused);
    }
    auto& call = std::get<call_info>(read);
    if (call.request_id.empty()) {
        call.request_id = make_id();
    }
    call.has_valid_session = m_lease.is_valid(started);
    call_record record;
    auto result = run(call, request, record);
    result.response.headers.add(header_outcome, get_outcome_name(result.outcome));
    result.response.headers.add(header_request_id, call.request_id);
    observe(call, result, record, m_clock.now() - started);
    return std::move(result.response);
}

call_result call_handler::run(const call_info& call, const http_request& request, call_record& record) {
    if (!call.has_valid_session) {
        // Without contact with control, this entry may be isolated by a partition and have an old
        // configuration.
        const auto settings = m_state.get_configuration();
        const auto* service = settings->find_service(call.service);
        if (service == nullptr || !service->serve_when_cut_off || !call.is_idempotent) {
            return make_refused(503, "no_control", "this entry has no contact with control",
                                default_retry_after);
        }
    }
    const bool is_keyed = !call.key.empty() && !call.is_idempotent && !call.is_forwarded;
    return is_keyed ? run_with_intent(call, request, record) : run_attempts(call, request, record);
}

std::string call_handler::make_id() {
    return absl::StrCat(m_prefix, m_next_request.fetch_add(1));
}

// ---- idempotency keys

call_result call_handler::run_with_intent(const call_info& call, const http_request& request,
                                          call_record& record) {
    const auto key = absl::StrCat(call.tenant, "\n", call.service, "\n", call.key);
    wire::command command;
    auto& begun = *command.mutable_begin()->mutable_begun();
    begun.set_key(key);
    begun.set_request_hash(
        absl::StrCat(absl::Hex(hash_bytes(request.method + "\n" + call.path_suffix + "\n" + request.body))));
    begun.set_entry(m_entry_id);
    // Not the caller's request id: two calls may arrive with the same one, but only one of them has begun the
    // key.
    const auto own_id = make_id();
    begun.set_request_id(own_id);
    begun.set_begun_ms(get_wall_ms());
    const auto limit = std::min<time_point>(call.deadline, m_clock.now() + intent_commit_timeout);
    const auto answer = m_control.propose(command, limit);
    if (!answer) {
        // The key may have been recorded, but nothing was sent to a target and nothing will be sent.
        return make_refused(503, "no_control", "the key could not be recorded", default_retry_after);
    }
    const auto& outcome = answer.value();
    const auto& known = outcome.intent_record();
    const auto code = static_cast<state_errc>(outcome.code());
    const bool is_own = known.request_id() == own_id && known.entry() == m_entry_id &&
                        known.phase() == static_cast<std::uint32_t>(intent_phase::begun);
    if (code == state_errc::key_conflict) {
        return make_refused(422, "key_conflict", "the key was already used with a different request", {});
    }
    if (code == state_errc::intents_full) {
        return make_refused(503, "keys_full", "the table of idempotency keys is full", default_retry_after);
    }
    if (outcome.code() != 0 && !is_own) {
        if (known.phase() == static_cast<std::uint32_t>(intent_phase::answered)) {
            call_result result;
            result.outcome = call_outcome::done;
            result.response.status = static_cast<int>(known.status());
            result.response.content_type = known.content_type();
            result.response.body = known.body();
            return result;
        }
        return make_unknown("key_in_use", "a request with this key was sent; its answer is not known here");
    }
    auto result = run_attempts(call, request, record);
    finish_intent(key, own_id, result);
    return result;
}

void call_handler::finish_intent(const std::string& key, const std::string& own_id,
                                 const call_result& result) {
    wire::command command;
    auto& ended = *command.mutable_end()->mutable_ended();
    ended.set_key(key);
    ended.set_request_id(own_id);
    auto phase = intent_phase::unknown;
    if (result.outcome == call_outcome::done) {
        phase = intent_phase::answered;
        ended.set_status(static_cast<std::uint32_t>(result.response.status));
        ended.set_content_type(result.response.content_type);
        ended.set_body(result.response.body);
    } else if (result.outcome == call_outcome::not_run) {
        phase = intent_phase::not_run;
    }
    ended.set_phase(static_cast<std::uint32_t>(phase));
    // If this proposal is lost, the record stays in phase `begun`. A resent request then gets the outcome
    // "unknown" and never runs a second time.
    static_cast<void>(m_control.propose(command, m_clock.now() + intent_commit_timeout));
}

// ---- attempts

call_result call_handler::run_attempts(const call_info& call, const http_request& request,
                                       call_record& record) {
    call_result last;
    record.lost_attempts = call.lost_attempts;
    while (true) {
        const auto admission_start = m_clock.now();
        auto decision = m_state.admit(call);
        record.queue_wait += m_clock.now() - admission_start;
        if (auto* refused = std::get_if<refusal>(&decision)) {
            // A retry that finds no free slot does not change the outcome of the first attempt.
            if (record.attempts > 0) {
                return last;
            }
            return make_refused(refused->status, refused->code, refused->message, refused->retry_after);
        }
        ++record.attempts;
        if (auto* forwarded = std::get_if<forward_decision>(&decision)) {
            auto result = forward(call, request, *forwarded, record.lost_attempts);
            m_state.finish_forwarded(call);
            return combine_attempts(std::move(last), std::move(result));
        }
        const bool is_retry = record.attempts > 1;
        const auto& grant = std::get<request_grant>(decision);
        const bool is_hedged = call.is_idempotent && !is_retry && grant.hedge_after.count() > 0;
        auto attempt = is_hedged ? send_hedged(call, request, grant, grant.hedge_after)
                                 : send_attempt(call, request, grant, is_retry, nullptr);
        last = combine_attempts(std::move(last), std::move(attempt.result));
        record.lost_attempts += attempt.lost;
        const bool is_exhausted =
            record.attempts >= max_attempts || record.lost_attempts >= max_lost_attempts;
        const bool is_over = !attempt.may_retry || is_exhausted || m_clock.now() >= call.deadline;
        if (is_over || !m_state.try_retry(call.service)) {
            return last;
        }
    }
}

http_request call_handler::make_target_request(const call_info& call, const http_request& request,
                                               const request_grant& grant) const {
    http_request outgoing;
    outgoing.method = request.method;
    outgoing.target = absl::StrCat("/v1/requests/", call.service, call.path_suffix);
    outgoing.body = request.body;
    copy_application_headers(request.headers, outgoing.headers);
    const auto remaining_ms = to_milliseconds(call.deadline - m_clock.now());
    outgoing.headers.add(header_request_id, call.request_id);
    outgoing.headers.add(header_tenant, call.tenant);
    outgoing.headers.add(header_deadline, absl::StrCat(std::max<std::int64_t>(remaining_ms, 1)));
    outgoing.headers.add(header_epoch, absl::StrCat(grant.epoch));
    outgoing.headers.add(header_idempotent, call.is_idempotent ? "true" : "false");
    return outgoing;
}

call_handler::attempt_outcome call_handler::send_attempt(const call_info& call, const http_request& request,
                                                         const request_grant& grant, bool is_retry,
                                                         http_cancel_token* cancel) {
    const auto outgoing = make_target_request(call, request, grant);
    auto choice = connection_choice::pooled;
    if (is_retry) {
        choice = connection_choice::fresh;
    } else if (!call.is_idempotent) {
        choice = connection_choice::known_alive;
    }
    const auto sent = m_clock.now();
    // The last check of the lease before sending. The epoch covers the remaining gap between check and send.
    const bool may_send = m_lease.is_valid(sent) || !call.has_valid_session;
    if (!may_send) {
        m_state.finish(grant, attempt_result::refused, {});
        return {
            make_refused(503, "no_control", "this entry has lost contact with control", default_retry_after),
            false};
    }
    auto exchange = m_targets.send(grant.address, outgoing, call.deadline, choice, cancel);
    const bool is_cancelled = cancel != nullptr && cancel->is_cancelled();
    return read_attempt(call, grant, std::move(exchange), m_clock.now() - sent, is_cancelled);
}

call_handler::attempt_outcome call_handler::send_hedged(const call_info& call, const http_request& request,
                                                        const request_grant& grant, duration delay) {
    const auto race = std::make_shared<hedged_call<attempt_outcome>>();
    const auto second_lost = std::make_shared<std::atomic<int>>(0);
    const auto is_good = [](const attempt_outcome& attempt) {
        return attempt.result.outcome == call_outcome::done && !attempt.may_retry;
    };
    // The first copy waits for a second copy that has begun, so `call` and `request` outlive the second.
    const auto second = m_hedge_timer.schedule(
        m_clock.now() + delay, [this, race, second_lost, &call, &request, &grant, is_good] {
            if (!race->start_second()) {
                return;
            }
            attempt_outcome attempt;
            if (const auto other = m_state.try_hedge(call, grant.worker)) {
                attempt = send_attempt(call, request, *other, true, &race->second);
                m_metrics.count("poplarpitch_hedges_total", {call.tenant, call.service, ""});
            }
            *second_lost = attempt.lost;
            const bool is_winner = is_good(attempt);
            race->finish(std::move(attempt), is_winner, true, race->first);
        });
    auto own = send_attempt(call, request, grant, false, &race->first);
    m_hedge_timer.cancel(second);
    if (is_good(own)) {
        race->finish(own, true, false, race->second);
    }
    auto answer = race->wait_for_answer();
    own.lost += *second_lost;
    return answer.has_value() ? std::move(*answer) : std::move(own);
}

call_handler::attempt_outcome call_handler::read_attempt(const call_info& call, const request_grant& grant,
                                                         http_exchange exchange, duration latency,
                                                         bool is_cancelled) {
    if (is_cancelled && exchange.progress != exchange_progress::answered) {
        const bool is_sent = exchange.progress == exchange_progress::maybe_sent;
        m_state.finish(grant, is_sent ? attempt_result::abandoned : attempt_result::refused, latency);
        return {make_unknown("cancelled", "another copy of the request was answered first"), false};
    }
    if (exchange.progress == exchange_progress::not_sent) {
        m_state.finish(grant, attempt_result::not_sent, latency);
        return {
            make_refused(503, "target_unreachable", "the target could not be reached", default_retry_after),
            true};
    }
    const bool is_own_answer = exchange.progress == exchange_progress::answered &&
                               exchange.response.headers.get(header_request_id) == call.request_id;
    if (!is_own_answer) {
        m_state.finish(grant, attempt_result::maybe_running, latency);
        m_targets.drop(grant.address);
        const bool is_foreign = exchange.progress == exchange_progress::answered;
        const auto* code = is_foreign ? "foreign_answer" : "no_answer";
        return {make_unknown(code, exchange.error == transport_errc::too_large
                                       ? "the answer is too large"
                                       : "no complete answer arrived in time"),
                call.is_idempotent, 1};
    }
    const auto refused = exchange.response.headers.get(header_refused);
    if (!refused.empty()) {
        m_state.finish(grant, attempt_result::refused, latency);
        return {make_refused(503, "target_refused", absl::StrCat("the target refused: ", refused),
                             default_retry_after),
                true};
    }
    const bool is_fault = exchange.response.status >= 500;
    m_state.finish(grant, is_fault ? attempt_result::failed : attempt_result::answered, latency);
    call_result result;
    result.outcome = call_outcome::done;
    result.response.status = exchange.response.status;
    result.response.content_type = exchange.response.content_type;
    result.response.body = std::move(exchange.response.body);
    copy_application_headers(exchange.response.headers, result.response.headers);
    return {std::move(result), is_fault && call.is_idempotent};
}

call_result call_handler::forward(const call_info& call, const http_request& request,
                                  const forward_decision& decision, int lost_attempts) {
    http_request outgoing;
    outgoing.method = request.method;
    outgoing.target = request.target;
    outgoing.body = request.body;
    copy_application_headers(request.headers, outgoing.headers);
    const auto now = m_clock.now();
    const auto remaining_ms = std::max<std::int64_t>(to_milliseconds(call.deadline - now), 1);
    outgoing.headers.add(header_request_id, call.request_id);
    outgoing.headers.add(header_tenant, call.tenant == "default" ? "" : call.tenant);
    outgoing.headers.add(header_deadline, absl::StrCat(remaining_ms));
    outgoing.headers.add(header_idempotent, call.is_idempotent ? "true" : "false");
    outgoing.headers.add(header_forwarded, m_entry_id);
    outgoing.headers.add(header_lost_attempts, absl::StrCat(lost_attempts));
    const auto choice = call.is_idempotent ? connection_choice::pooled : connection_choice::known_alive;
    // The other entry answers by the deadline; the margin leaves time for that answer to arrive.
    auto exchange = m_targets.send(decision.address, outgoing, call.deadline + milliseconds{50}, choice);
    if (exchange.progress == exchange_progress::not_sent) {
        return make_refused(503, "entry_unreachable",
                            "the entry that the request was forwarded to could not be reached",
                            default_retry_after);
    }
    const bool is_own_answer = exchange.progress == exchange_progress::answered &&
                               exchange.response.headers.get(header_request_id) == call.request_id;
    if (!is_own_answer) {
        m_targets.drop(decision.address);
        return make_unknown("no_answer",
                            "the entry that the request was forwarded to did not answer in time");
    }
    call_result result;
    const auto outcome = exchange.response.headers.get(header_outcome);
    result.outcome = outcome == outcome_done      ? call_outcome::done
                     : outcome == outcome_not_run ? call_outcome::not_run
                                                  : call_outcome::unknown;
    result.response.status = exchange.response.status;
    result.response.content_type = exchange.response.content_type;
    result.response.body = std::move(exchange.response.body);
    copy_application_headers(exchange.response.headers, result.response.headers);
    return result;
}

// ---- answers

call_result call_handler::make_refused(int status, const std::string& code, const std::string& message,
                                       duration retry_after) {
    call_result result;
    result.outcome = call_outcome::not_run;
    result.response = make_error_response(status, code, message);
    if (retry_after.count() > 0) {
        const auto whole = std::chrono::ceil<seconds>(retry_after).count();
        result.response.headers.add("Retry-After", absl::StrCat(std::max<std::int64_t>(whole, 1)));
        result.response.headers.add("Poplarpitch-Retry-After-Ms", absl::StrCat(to_milliseconds(retry_after)));
    }
    return result;
}

call_result call_handler::make_unknown(const std::string& code, const std::string& message) {
    call_result result;
    result.outcome = call_outcome::unknown;
    result.response = make_error_response(504, code, message);
    return result;
}

void call_handler::observe(const call_info& call, const call_result& result, const call_record& record,
                           duration total) {
    const auto* outcome = get_outcome_name(result.outcome);
    m_metrics.count("poplarpitch_requests_total", {call.tenant, call.service, outcome});
    m_metrics.observe("poplarpitch_request_seconds", {call.tenant, call.service, outcome}, total);
    m_metrics.observe("poplarpitch_queue_wait_seconds", {call.tenant, call.service, ""}, record.queue_wait);
    if (record.attempts > 1) {
        m_metrics.count("poplarpitch_retries_total", {call.tenant, call.service, ""}, record.attempts - 1);
    }
}

} // namespace poplarpitch
