#include "poplarpitch/relay/relay_codec.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <memory>
#include <type_traits>

namespace poplarpitch {
namespace {

template <class Message>
void encode_run(const run_key& key, Message& message) {
    encode(key.task, *message.mutable_task());
    message.set_run(key.run);
}

template <class Message>
run_key decode_run(const Message& message) {
    return {decode(message.task()), message.run()};
}

void encode_order(const hold_order& order, job_wire::relayed_order& message,
                  job_wire::relay_orders& /*frame*/) {
    auto& hold = *message.mutable_hold();
    hold.set_has_until(order.lease_end_ms.has_value());
    hold.set_until_ms(order.lease_end_ms.value_or(0));
    hold.set_acknowledged(order.acknowledged_up_to);
    hold.set_wait_ms(to_milliseconds(order.wait));
}

void encode_order(const start_order& order, job_wire::relayed_order& message, job_wire::relay_orders& frame) {
    auto& start = *message.mutable_start();
    encode_run(order.run, start);
    const auto& payloads = frame.payloads();
    if (payloads.empty() || payloads.Get(payloads.size() - 1) != order.job->payload) {
        frame.add_payloads(order.job->payload);
    }
    start.set_payload(static_cast<std::uint32_t>(frame.payloads_size()) - 1);
    start.set_until_ms(order.lease_end_ms);
    start.set_saved(order.checkpoint);
    start.set_ticket(order.ticket);
}

void encode_order(const stop_order& order, job_wire::relayed_order& message,
                  job_wire::relay_orders& /*frame*/) {
    encode_run(order.run, *message.mutable_stop());
}

void encode_order(const pace_order& order, job_wire::relayed_order& message,
                  job_wire::relay_orders& /*frame*/) {
    encode_run(order.run, *message.mutable_pace());
    message.mutable_pace()->set_percent(static_cast<std::uint32_t>(order.percent));
}

hold_order read_hold(const job_wire::relayed_hold& message) {
    hold_order order;
    if (message.has_until()) {
        order.lease_end_ms = message.until_ms();
    }
    order.acknowledged_up_to = message.acknowledged();
    order.wait = milliseconds{message.wait_ms()};
    return order;
}

std::optional<start_order> read_start(const job_wire::relayed_start& message,
                                      const job_wire::relay_orders& frame) {
    if (message.payload() >= static_cast<std::uint32_t>(frame.payloads_size())) {
        return std::nullopt;
    }
    auto job = std::make_shared<step_job>(); // a worker gets only the payload of its job
    job->payload = frame.payloads(static_cast<int>(message.payload()));
    start_order order;
    order.run = decode_run(message);
    order.job = std::move(job);
    order.lease_end_ms = message.until_ms();
    order.checkpoint = message.saved();
    order.ticket = message.ticket();
    return order;
}

order_target read_target(const job_wire::relayed_order& message, const job_wire::relay_orders& frame) {
    const auto fence =
        message.fence() == 0 ? frame.term() : message.fence(); // older versions have no fence per order
    return {{message.worker(), message.born_ms()},
            message.address(),
            fence,
            message.is_fresh(),
            milliseconds{message.timeout_ms()}};
}

} // namespace

std::optional<relay_order_key> get_order_key(const worker_order& order) {
    if (const auto* hold = std::get_if<hold_order>(&order); hold != nullptr) {
        return relay_order_key{relay_order_key::kind::hold, hold->target.worker, {}, 0};
    }
    if (const auto* start = std::get_if<start_order>(&order); start != nullptr) {
        return relay_order_key{relay_order_key::kind::start, start->target.worker, start->run, 0};
    }
    if (const auto* stop = std::get_if<stop_order>(&order); stop != nullptr) {
        return relay_order_key{relay_order_key::kind::stop, stop->target.worker, stop->run, 0};
    }
    if (const auto* pace = std::get_if<pace_order>(&order); pace != nullptr) {
        return relay_order_key{relay_order_key::kind::pace, pace->target.worker, pace->run, pace->percent};
    }
    return std::nullopt;
}

const order_target* get_order_target(const worker_order& order) {
    return std::visit(
        [](const auto& item) -> const order_target* {
            if constexpr (std::is_same_v<std::decay_t<decltype(item)>, advice_request>) {
                return nullptr;
            } else {
                return &item.target;
            }
        },
        order);
}

void append_order(const worker_order& order, std::uint64_t number, job_wire::relay_orders& frame) {
    auto& message = *frame.add_orders();
    const auto& target = *get_order_target(order);
    message.set_number(number);
    message.set_worker(target.worker.id);
    message.set_born_ms(target.worker.process_start_ms);
    message.set_fence(target.fence);
    message.set_address(target.address);
    message.set_timeout_ms(to_milliseconds(target.timeout));
    message.set_is_fresh(target.use_new_connection);
    std::visit(
        [&](const auto& item) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(item)>, advice_request>) {
                encode_order(item, message, frame);
            }
        },
        order);
}

std::optional<worker_order> read_order(const job_wire::relayed_order& message,
                                       const job_wire::relay_orders& frame) {
    std::optional<worker_order> order;
    switch (message.what_case()) {
    case job_wire::relayed_order::kHold:
        order = read_hold(message.hold());
        break;
    case job_wire::relayed_order::kStart:
        if (auto start = read_start(message.start(), frame); start.has_value()) {
            order = std::move(*start);
        }
        break;
    case job_wire::relayed_order::kStop:
        order = stop_order{{}, decode_run(message.stop())};
        break;
    case job_wire::relayed_order::kPace:
        order = pace_order{{}, decode_run(message.pace()), static_cast<int>(message.pace().percent())};
        break;
    case job_wire::relayed_order::WHAT_NOT_SET:
        break;
    }
    if (order.has_value()) {
        std::visit(
            [&](auto& item) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(item)>, advice_request>) {
                    item.target = read_target(message, frame);
                }
            },
            *order);
    }
    return order;
}

void encode(const order_outcome& outcome, job_wire::relayed_answer& message) {
    message.set_failure(outcome.failure.has_value() ? static_cast<std::uint32_t>(*outcome.failure) : 0);
    message.set_clock_ms(outcome.answer.clock_ms);
    message.set_born_ms(outcome.answer.process_start_ms);
    for (const auto& row : outcome.answer.running) {
        auto& item = *message.add_running();
        encode_run(row.run, item);
        item.set_saved(row.checkpoint);
        item.set_percent(row.percent);
        item.set_level(row.level);
    }
    for (const auto& row : outcome.answer.ended) {
        auto& item = *message.add_ended();
        item.set_number(row.number);
        encode_run(row.run, item);
        item.set_end(static_cast<std::uint32_t>(row.end));
        item.set_saved(row.checkpoint);
    }
}

order_outcome decode(const job_wire::relayed_answer& message) {
    order_outcome outcome;
    if (message.failure() != 0) {
        outcome.failure = static_cast<order_failure>(message.failure());
    }
    outcome.answer.clock_ms = message.clock_ms();
    outcome.answer.process_start_ms = message.born_ms();
    outcome.answer.running.reserve(static_cast<std::size_t>(message.running_size()));
    for (const auto& item : message.running()) {
        outcome.answer.running.push_back({decode_run(item), item.saved(), item.percent(), item.level()});
    }
    outcome.answer.ended.reserve(static_cast<std::size_t>(message.ended_size()));
    for (const auto& item : message.ended()) {
        outcome.answer.ended.push_back(
            {item.number(), decode_run(item), static_cast<run_end>(item.end()), item.saved()});
    }
    return outcome;
}

void encode(const worker_report& report, job_wire::relayed_report& message) {
    message.set_worker(report.incarnation.id);
    message.set_born_ms(report.incarnation.process_start_ms);
    message.set_sequence(report.sequence);
    message.set_clock_ms(report.clock_ms);
    message.set_is_whole(true);
    message.set_address(report.address);
    message.set_pool(report.pool);
    message.set_data_centre(report.data_centre);
    message.set_machine(report.machine);
    for (const auto& label : report.labels) {
        message.add_labels(label);
    }
    message.set_rack(report.rack);
    message.set_millicores(report.capacity.millicores);
    message.set_memory_mb(report.capacity.memory_mb);
    message.set_accelerators(report.capacity.accelerators);
}

unchanged_report decode_unchanged_report(const job_wire::relayed_report& message) {
    return {{message.worker(), message.born_ms()}, message.sequence(), message.told(), message.clock_ms()};
}

worker_report decode(const job_wire::relayed_report& message) {
    worker_report report;
    report.incarnation = {message.worker(), message.born_ms()};
    report.sequence = message.sequence();
    report.clock_ms = message.clock_ms();
    report.address = message.address();
    report.pool = message.pool();
    report.data_centre = message.data_centre();
    report.machine = message.machine();
    report.labels = {message.labels().begin(), message.labels().end()};
    report.rack = message.rack();
    report.capacity = {message.millicores(), message.memory_mb(), message.accelerators()};
    return report;
}

} // namespace poplarpitch
