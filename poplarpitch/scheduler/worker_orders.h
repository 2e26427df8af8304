#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/scheduler/scheduler_dialect.h"
#include "poplarpitch/scheduler/scheduler_parts.h"
#include "poplarpitch/scheduler/worker_link.h"
#include "poplarpitch/scheduling/report_checker.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <cstdint>
#include <set>
#include <utility>
#include <variant>

namespace poplarpitch {

/// Sends the dispatcher's orders to the workers, through a relay where there is one, and passes the answers
/// to the dispatcher. Thread safety: the loop's thread.
template <scheduler_dialect Dialect>
class worker_orders {
public:
    /// Precondition: `parts` and `link` outlive the object.
    worker_orders(scheduler_parts& parts, worker_link<Dialect>& link) : m_parts(parts), m_link(link) {}

    /// Sends the dispatcher's pending orders. Nothing is sent without the leader's lease, since another
    /// instance may lead by now. The orders wait until the lease is renewed, and are dropped when leadership
    /// is lost.
    void send_all() {
        if (!m_parts.may_answer()) {
            return;
        }
        for (const auto& lost : m_parts.relays.expire_orders(m_parts.loop.now())) {
            deliver(lost);
        }
        for (const auto& order : m_parts.dispatch.take_orders()) {
            send(order);
        }
        send_frames();
    }

    /// Processes a frame of answers and heartbeats from a relay. Precondition: this instance leads.
    void on_answers(const job_wire::relay_answers& frame) {
        const auto now = m_parts.loop.now();
        for (const auto& outcome : m_parts.relays.on_answers(frame, now)) {
            deliver(outcome);
        }
        for (const auto& report : frame.reports()) {
            if (report.is_whole()) {
                process_report(decode(report), frame.ip(), now);
            } else if (!m_parts.dispatch.on_unchanged_report(decode_unchanged_report(report), now)) {
                m_parts.relays.request_report(report.worker());
            }
        }
    }

private:
    void process_report(const worker_report& report, std::uint32_t relay_ip, time_point now) {
        if (const auto error = find_report_error(report); error.has_value()) {
            log_event(log_level::warn, "report_refused")
                .add("relay", format_ip(relay_ip))
                .add("reason", *error);
            return;
        }
        m_parts.dispatch.on_heartbeat(report, now);
    }

    void send(const worker_order& order) {
        if (const auto* advice = std::get_if<advice_request>(&order); advice != nullptr) {
            request_advice(*advice);
            return;
        }
        if (try_relay(order)) {
            return;
        }
        auto key = get_order_key(order);
        m_link.send(order,
                    [this, key = std::move(*key), term = m_parts.dispatch.get_term()](order_outcome outcome) {
                        if (term == m_parts.dispatch.get_term()) {
                            deliver({key, std::move(outcome)});
                        }
                    });
    }

    /// Queues an order for a relay. Returns false when the order has to be sent directly.
    bool try_relay(const worker_order& order) {
        const auto* worker = m_parts.dispatch.find_worker_state(get_order_target(order)->worker);
        return worker != nullptr &&
               m_parts.relays.add(order, worker->report.data_centre, worker->worker_hash, m_parts.loop.now());
    }

    void send_frames() {
        if (!m_parts.settings.relay.is_enabled) {
            return;
        }
        update_instances();
        for (const auto& frame : m_parts.relays.take_frames(m_instances, m_parts.loop.now())) {
            job_wire::cluster_frame message;
            message.mutable_orders()->Swap(frame.orders.get());
            if (m_parts.log.send_frame(frame.ip, message)) {
                continue;
            }
            for (const auto& outcome : m_parts.relays.on_frame_not_sent(frame.ip, message.orders())) {
                deliver(outcome);
            }
        }
    }

    /// Updates the list of instances that may relay. It changes seldom, and frames are sent in each
    /// iteration.
    void update_instances() {
        const auto now = m_parts.loop.now();
        const auto term = m_parts.dispatch.get_term();
        if (term == m_instances_term && now < m_next_instances) {
            return;
        }
        m_instances_term = term;
        m_next_instances = now + instances_interval;
        m_instances = m_parts.log.get_other_instances();
    }

    /// Passes an order's outcome to the dispatcher.
    void deliver(const relayed_outcome& item) {
        const auto now = m_parts.loop.now();
        const auto& order = item.order;
        const order_answer answer{item.outcome.failure, item.outcome.answer.clock_ms};
        switch (order.type) {
        case relay_order_key::kind::hold:
            m_parts.dispatch.on_hold(order.worker, item.outcome, now);
            return;
        case relay_order_key::kind::start:
            m_parts.dispatch.on_start(order.run, answer, now);
            return;
        case relay_order_key::kind::stop:
            m_parts.dispatch.on_stop(order.run, order.worker, answer, now);
            return;
        case relay_order_key::kind::pace:
            m_parts.dispatch.on_pace(order.run, order.percent, answer, now);
            return;
        }
    }

    void request_advice(const advice_request& order) {
        http_call call;
        call.address = m_parts.settings.advice_address;
        call.request = Dialect::write_order(order);
        call.timeout = order.timeout;
        m_parts.caller.send(std::move(call), [this, order](const result<http_response>& response) {
            if (order.fence == m_parts.dispatch.get_term()) {
                const auto outcome = response ? Dialect::read_advice(response.value()) : advice_outcome{};
                m_parts.dispatch.on_advice(order, outcome, m_parts.loop.now());
            }
        });
    }

    static constexpr duration instances_interval = milliseconds{50}; // between two updates of the list

    scheduler_parts& m_parts;
    worker_link<Dialect>& m_link;
    std::set<std::uint32_t> m_instances; ///< addresses of the instances that may relay
    log_term m_instances_term = 0;       ///< in which that list was made
    time_point m_next_instances{};       ///< when it is made again
};

} // namespace poplarpitch
