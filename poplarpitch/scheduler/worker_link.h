#pragma once

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/net_error.h"
#include "poplarpitch/scheduler/scheduler_dialect.h"
#include "poplarpitch/scheduling/worker_order.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace poplarpitch {

/// Sends orders to workers with the deployment's HTTP requests.
///
/// An acknowledgement of ended runs carries a worker's id on the wire, but not which incarnation (process) of
/// the worker it is for. Received by the next incarnation, it would make that incarnation drop ends that it
/// has not listed yet. So an acknowledgement is sent only over a connection that was open before the intended
/// incarnation answered a request for its list: the incarnations of a worker follow one another, and a
/// connection ends with the incarnation that accepted it. Where there is no such connection, the list is
/// requested without an acknowledgement, and the incarnation that answers gets it later. Thread safety: the
/// loop's thread.
template <scheduler_dialect Dialect>
class worker_link {
public:
    using outcome_handler = std::function<void(order_outcome)>;

    /// Precondition: `loop` and `caller` outlive the object.
    worker_link(event_loop& loop, http_caller& caller) : m_loop(loop), m_caller(caller) {}

    /// Sends an order; `on_outcome` is called once, in a later iteration. Only the answer to a hold has
    /// lists. Precondition: the order is not for the advice service.
    void send(const worker_order& order, outcome_handler on_outcome) {
        std::visit(
            [&](const auto& item) {
                using order_type = std::decay_t<decltype(item)>;
                if constexpr (std::is_same_v<order_type, hold_order>) {
                    send_hold(item, std::move(on_outcome));
                } else if constexpr (!std::is_same_v<order_type, advice_request>) {
                    call<order_type>(make_call(item), std::move(on_outcome));
                }
            },
            order);
    }

private:
    static order_failure get_failure(const std::error_code& error) {
        if (error == make_error_code(net_errc::not_sent)) {
            return order_failure::not_sent;
        }
        return error == make_error_code(net_errc::unreachable) ? order_failure::unreachable
                                                               : order_failure::unanswered;
    }

    /// Orders that end runs or renew leases go first; orders that only tune a run go last.
    static call_priority get_priority(const hold_order& /*order*/) { return call_priority::high; }
    static call_priority get_priority(const start_order& /*order*/) { return call_priority::normal; }
    static call_priority get_priority(const stop_order& /*order*/) { return call_priority::high; }
    static call_priority get_priority(const pace_order& /*order*/) { return call_priority::low; }

    /// Returns true when the refusal of a repeated start does not tell whether the earlier attempt succeeded.
    /// A refusal because the run is old, or because another incarnation of the worker answered, does tell.
    static bool is_inconclusive(const http_response& response, const std::optional<order_failure>& failure) {
        const bool is_refused = failure.has_value() && failure != order_failure::stale_run &&
                                failure != order_failure::other_incarnation;
        return response.was_retried && is_refused;
    }

    template <class Order>
    static order_outcome read(const result<http_response>& response) {
        if (!response) {
            return {get_failure(response.error()), {}};
        }
        if constexpr (std::is_same_v<Order, hold_order>) {
            return Dialect::read_hold_answer(response.value());
        } else {
            const auto answer = Dialect::read_order_answer(response.value());
            order_outcome outcome;
            outcome.failure = answer.failure;
            if (std::is_same_v<Order, start_order> && is_inconclusive(response.value(), answer.failure)) {
                outcome.failure = order_failure::unanswered;
            }
            outcome.answer.clock_ms = answer.clock_ms;
            return outcome;
        }
    }

    /// The incarnation of a worker that answered a request for its list, and when the request was sent.
    struct answered_list {
        worker_incarnation incarnation;
        time_point requested_at{};
    };

    void send_hold(const hold_order& order, outcome_handler on_outcome) {
        const bool has_one_incarnation =
            order.target.worker.process_start_ms == 0; // the id alone identifies it
        if (order.acknowledged_up_to == 0 || has_one_incarnation) {
            request_list(order, make_call(order), std::move(on_outcome));
            return;
        }
        const auto last = m_lists.find(order.target.address);
        if (last == m_lists.end() || last->second.incarnation != order.target.worker) {
            request_without_acknowledgement(order, std::move(on_outcome));
            return;
        }
        auto pinned = make_call(order);
        pinned.use_new_connection = false;
        pinned.connection_opened_before = last->second.requested_at;
        request_list(order, std::move(pinned),
                     [this, order, on_outcome = std::move(on_outcome)](order_outcome outcome) {
                         if (outcome.failure == order_failure::not_sent) {
                             request_without_acknowledgement(order, on_outcome);
                             return;
                         }
                         on_outcome(std::move(outcome));
                     });
    }

    void request_without_acknowledgement(hold_order order, outcome_handler on_outcome) {
        order.acknowledged_up_to = 0;
        order.wait = duration{0};
        request_list(order, make_call(order), std::move(on_outcome));
    }

    void request_list(const hold_order& order, http_call request, outcome_handler on_outcome) {
        call<hold_order>(std::move(request), [this, target = order.target, requested_at = m_loop.now(),
                                              on_outcome = std::move(on_outcome)](order_outcome outcome) {
            if (!outcome.failure.has_value()) {
                record_list(target, outcome.answer.process_start_ms, requested_at);
            }
            on_outcome(std::move(outcome));
        });
    }

    void record_list(const order_target& target, std::int64_t process_start_ms, time_point requested_at) {
        if (m_lists.size() >= max_lists) {
            m_lists.clear(); // acknowledgements are delayed until the next list
        }
        m_lists[target.address] = {{target.worker.id, process_start_ms}, requested_at};
    }

    template <class Order>
    static http_call make_call(const Order& order) {
        http_call call;
        call.address = order.target.address;
        call.request = Dialect::write_order(order);
        call.timeout = order.target.timeout;
        call.use_new_connection = order.target.use_new_connection;
        call.priority = get_priority(order);
        call.is_long_poll = std::is_same_v<Order, hold_order>;
        return call;
    }

    template <class Order>
    void call(http_call&& request, outcome_handler on_outcome) {
        m_caller.send(std::move(request),
                      [on_outcome = std::move(on_outcome)](const result<http_response>& response) {
                          on_outcome(read<Order>(response));
                      });
    }

    static constexpr std::size_t max_lists = 20'000; // addresses; twice the planned number of workers

    event_loop& m_loop;
    http_caller& m_caller;
    absl::flat_hash_map<std::string, answered_list> m_lists; ///< the last answer from each address
};

} // namespace poplarpitch
