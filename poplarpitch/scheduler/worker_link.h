#pragma once

#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/net_error.h"
#include "poplarpitch/scheduler/scheduler_dialect.h"
#include "poplarpitch/scheduling/worker_order.h"

#include <functional>
#include <type_traits>
#include <utility>
#include <variant>

namespace poplarpitch {

/// Carries orders to workers by the deployment's calls. Thread safety: the loop's thread.
template <scheduler_dialect Dialect>
class worker_link {
public:
    using outcome_handler = std::function<void(hold_outcome)>;

    /// Precondition: the caller outlives the object.
    explicit worker_link(http_caller& caller) : m_caller(caller) {}

    /// Sends an order; `on_outcome` is called once, in a later turn. Only the answer to a hold has lists.
    /// Precondition: the order is none for the advice service.
    void send(const worker_order& order, outcome_handler on_outcome) {
        std::visit(
            [&](const auto& item) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(item)>, advise_order>) {
                    call(item, std::move(on_outcome));
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

    /// What ends runs and what keeps leases goes first, what only tunes goes last.
    static call_importance get_importance(const hold_order& /*order*/) { return call_importance::high; }
    static call_importance get_importance(const start_order& /*order*/) { return call_importance::normal; }
    static call_importance get_importance(const stop_order& /*order*/) { return call_importance::high; }
    static call_importance get_importance(const pace_order& /*order*/) { return call_importance::low; }

    template <class Order>
    static hold_outcome read(const result<http_response>& response) {
        if (!response) {
            return {get_failure(response.error()), {}};
        }
        if constexpr (std::is_same_v<Order, hold_order>) {
            return Dialect::read_hold_answer(response.value());
        } else {
            const auto answer = Dialect::read_order_answer(response.value());
            hold_outcome outcome;
            outcome.failure = answer.failure;
            outcome.answer.clock_ms = answer.clock_ms;
            return outcome;
        }
    }

    template <class Order>
    void call(const Order& order, outcome_handler on_outcome) {
        http_call call;
        call.address = order.target.address;
        call.request = Dialect::write_order(order);
        call.timeout = order.target.timeout;
        call.is_fresh = order.target.is_fresh;
        call.importance = get_importance(order);
        call.is_long = std::is_same_v<Order, hold_order>;
        m_caller.send(std::move(call),
                      [on_outcome = std::move(on_outcome)](const result<http_response>& response) {
                          on_outcome(read<Order>(response));
                      });
    }

    http_caller& m_caller;
};

} // namespace poplarpitch
