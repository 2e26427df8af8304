#pragma once

#include "poplarpitch/relay/order_name.h"
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

/// What an instance says that it does when it relays: since 1 it knows fences by order and start times of
/// workers, since 2 it tells no order as not sent or refused that may have been carried out.
inline constexpr std::uint32_t relay_version = 2;

/// Between orders to workers and the frames by which they are relayed. Thread safety: any thread, for all.

/// Returns which order it is; nothing for a call to the advice service, which is not relayed.
[[nodiscard]] std::optional<order_name> get_order_name(const worker_order& order);
/// Returns what the order names; null for a call to the advice service.
[[nodiscard]] const order_target* get_order_target(const worker_order& order);
/// Appends an order to a frame. A payload that the frame's last start had is not written again.
/// Precondition: `get_order_name` names it.
void append_order(const worker_order& order, std::uint64_t number, job_wire::relay_orders& frame);
/// Reads an order of a frame; nothing when it is not one of this version.
[[nodiscard]] std::optional<worker_order> read_order(const job_wire::relayed_order& message,
                                                     const job_wire::relay_orders& frame);
void encode(const hold_outcome& outcome, job_wire::relayed_answer& message);
[[nodiscard]] hold_outcome decode(const job_wire::relayed_answer& message);
/// Writes a whole report.
void encode(const worker_report& report, job_wire::relayed_report& message);
/// Reads a whole report.
[[nodiscard]] worker_report decode(const job_wire::relayed_report& message);
/// Returns what a report says that is not whole. Thread safety: any thread.
[[nodiscard]] sign_of_life decode_sign_of_life(const job_wire::relayed_report& message);

} // namespace poplarpitch
