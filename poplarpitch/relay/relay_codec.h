#pragma once

#include "poplarpitch/relay/relay_order_key.h"
#include "poplarpitch/scheduling/worker_order.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstdint>
#include <optional>
#include <string>

namespace poplarpitch::job_wire {
class relay_orders;
class relayed_answer;
class relayed_order;
class relayed_report;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// Version of the relay protocol that an instance announces. Since version 1 each order has its own fence and
/// workers have start times. Since version 2 no order that may have been carried out is reported as not sent
/// or refused.
inline constexpr std::uint32_t relay_version = 2;

/// Conversions between orders to workers and the frames that relay them. Thread safety: any thread, for all.

/// Returns the identity of an order. Returns nothing for a call to the advice service, which is not relayed.
[[nodiscard]] std::optional<relay_order_key> get_order_key(const worker_order& order);
/// Returns the worker that an order is addressed to, or null for a call to the advice service.
[[nodiscard]] const order_target* get_order_target(const worker_order& order);
/// Appends an order to a frame. The payload of a start order is shared with the frame's previous start order
/// where both are equal. Precondition: `get_order_key` returns a value for the order.
void append_order(const worker_order& order, std::uint64_t number, job_wire::relay_orders& frame);
/// Reads an order from a frame. Returns nothing when this version does not know it.
[[nodiscard]] std::optional<worker_order> read_order(const job_wire::relayed_order& message,
                                                     const job_wire::relay_orders& frame);
/// Writes the outcome of an order.
void encode(const order_outcome& outcome, job_wire::relayed_answer& message);
/// Reads the outcome of an order.
[[nodiscard]] order_outcome decode(const job_wire::relayed_answer& message);
/// Writes a full worker report.
void encode(const worker_report& report, job_wire::relayed_report& message);
/// Reads a full worker report.
[[nodiscard]] worker_report decode(const job_wire::relayed_report& message);
/// Reads a report that only repeats an earlier full one. Thread safety: any thread.
[[nodiscard]] unchanged_report decode_unchanged_report(const job_wire::relayed_report& message);

} // namespace poplarpitch
