#include "poplarpitch/relay/relay_hub.h"

#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

/// Returns the outcome of an order without an answer.
order_outcome make_lost_outcome(const relay_order_key& key) {
    const bool is_hold = key.type == relay_order_key::kind::hold;
    return {is_hold ? order_failure::not_sent : order_failure::unanswered, {}};
}

} // namespace

relay_hub::relay_hub(const relay_settings& settings) : m_settings(settings), m_registry(settings) {}

relay_hub::~relay_hub() = default;

void relay_hub::start_leading(log_term term, const std::vector<std::uint32_t>& former_relays,
                              time_point now) {
    stop_leading();
    m_term = term;
    m_former_relays = former_relays;
    m_former_relays_until = now + m_settings.announcement_limit;
}

void relay_hub::stop_leading() {
    m_term = 0;
    m_registry.clear();
    m_open.clear();
    m_deadlines = {};
    m_outboxes.clear();
    m_requested_reports.clear();
    m_former_relays.clear();
    m_last_expiry = {};
    m_caught_up_after = {};
}

bool relay_hub::add(const worker_order& order, const std::string& data_centre, std::uint64_t worker_hash,
                    time_point now) {
    const auto relay = m_registry.pick(data_centre, worker_hash);
    auto key = get_order_key(order);
    if (!relay.has_value() || !key.has_value()) {
        return false;
    }
    const auto number = m_next_number++;
    append_order(order, number, open_frame(*relay));
    m_open.emplace(number, open_order{std::move(*key), *relay});
    m_deadlines.push({now + get_order_target(order)->timeout + m_settings.answer_slack, number});
    ++m_counts.orders;
    return true;
}

job_wire::relay_orders& relay_hub::open_frame(std::uint32_t ip) {
    auto& box = m_outboxes[ip];
    if (box.frame == nullptr) {
        box.frame = std::make_shared<job_wire::relay_orders>();
        box.frame->set_term(m_term);
    }
    return *box.frame;
}

void relay_hub::request_report(const std::string& worker) {
    m_requested_reports.push_back(worker);
}

std::vector<relayed_outcome> relay_hub::on_answers(const job_wire::relay_answers& frame, time_point now) {
    std::vector<relayed_outcome> outcomes;
    // A relay of an older version would send orders with fences that workers refuse, and would not say which
    // incarnation of a worker its lists belong to.
    if (m_term == 0 || frame.term() != m_term || frame.version() < relay_version) {
        return outcomes;
    }
    if (m_registry.record_contact({frame.ip(), frame.data_centre()}, now)) {
        on_relays_changed();
        log_event(log_level::info, "relay_found")
            .add("relay", format_ip(frame.ip()))
            .add("data_centre", frame.data_centre())
            .add("relays", static_cast<std::uint64_t>(count_relays()));
    }
    count_received(frame);
    outcomes.reserve(static_cast<std::size_t>(frame.answers_size()));
    for (const auto& answer : frame.answers()) {
        if (auto outcome = complete_order(answer.number(), decode(answer)); outcome.has_value()) {
            outcomes.push_back(std::move(*outcome));
        }
    }
    return outcomes;
}

void relay_hub::count_received(const job_wire::relay_answers& frame) {
    const auto whole =
        std::count_if(frame.reports().begin(), frame.reports().end(),
                      [](const job_wire::relayed_report& report) { return report.is_whole(); });
    ++m_counts.frames_received;
    m_counts.answers += static_cast<std::uint64_t>(frame.answers_size());
    m_counts.whole_reports += static_cast<std::uint64_t>(whole);
    m_counts.unchanged_reports += static_cast<std::uint64_t>(frame.reports_size() - whole);
}

std::optional<relayed_outcome> relay_hub::complete_order(std::uint64_t number, order_outcome outcome) {
    const auto found = m_open.find(number);
    if (found == m_open.end()) {
        return std::nullopt; // it has its outcome already
    }
    relayed_outcome closed{std::move(found->second.key), std::move(outcome)};
    m_open.erase(found);
    return closed;
}

std::vector<relayed_outcome> relay_hub::on_frame_not_sent(std::uint32_t ip,
                                                          const job_wire::relay_orders& frame) {
    m_outboxes[ip].sent_relays_version = 0;
    std::vector<relayed_outcome> outcomes;
    for (const auto& order : frame.orders()) {
        if (auto outcome = complete_order(order.number(), {order_failure::not_sent, {}});
            outcome.has_value()) {
            outcomes.push_back(std::move(*outcome));
        }
    }
    return outcomes;
}

void relay_hub::fail_order(std::uint64_t number, std::vector<relayed_outcome>& outcomes) {
    if (auto lost = complete_order(number, {}); lost.has_value()) {
        lost->outcome = make_lost_outcome(lost->order);
        outcomes.push_back(std::move(*lost));
    }
}

bool relay_hub::is_catching_up(time_point now) {
    const auto last_expiry = std::exchange(m_last_expiry, now);
    const auto passed = now - last_expiry;
    if (last_expiry == time_point{} || passed <= m_settings.max_frame_interval) {
        return now < m_caught_up_after;
    }
    m_registry.ignore_silence(passed);
    m_caught_up_after = now + m_settings.max_frame_interval;
    log_event(log_level::info, "relay_silence_ignored")
        .add("pause_ms", to_milliseconds(passed))
        .add("relays", static_cast<std::uint64_t>(count_relays()))
        .add("orders", static_cast<std::uint64_t>(count_open()));
    return true;
}

std::vector<relayed_outcome> relay_hub::expire_orders(time_point now) {
    std::vector<relayed_outcome> outcomes;
    if (is_catching_up(now)) {
        return outcomes;
    }
    for (const auto ip : m_registry.remove_timed_out(now)) {
        on_relays_changed();
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, order] : m_open) {
            if (order.relay == ip) {
                numbers.push_back(number);
            }
        }
        std::sort(numbers.begin(), numbers.end()); // the map's iteration order differs between processes
        for (const auto number : numbers) {
            fail_order(number, outcomes);
        }
        m_outboxes.erase(ip);
        log_event(log_level::warn, "relay_lost")
            .add("relay", format_ip(ip))
            .add("orders", static_cast<std::uint64_t>(numbers.size()))
            .add("relays", static_cast<std::uint64_t>(count_relays()));
    }
    while (!m_deadlines.empty() && m_deadlines.top().when <= now) {
        fail_order(m_deadlines.top().number, outcomes);
        m_deadlines.pop();
    }
    return outcomes;
}

std::vector<relay_frame> relay_hub::take_frames(const std::set<std::uint32_t>& instances, time_point now) {
    if (now >= m_former_relays_until) {
        return take_due_frames(instances, now);
    }
    auto recipients = instances;
    recipients.insert(m_former_relays.begin(), m_former_relays.end());
    return take_due_frames(recipients, now);
}

std::vector<relay_frame> relay_hub::take_due_frames(const std::set<std::uint32_t>& recipients,
                                                    time_point now) {
    std::vector<relay_frame> frames;
    const auto requested = std::exchange(m_requested_reports, {});
    for (const auto ip : recipients) {
        auto& box = m_outboxes[ip];
        for (const auto& worker : requested) {
            open_frame(ip).add_unknown_workers(worker);
        }
        const bool has_content = box.frame != nullptr;
        if (now - box.sent < (has_content ? m_settings.min_frame_interval : m_settings.max_frame_interval)) {
            continue;
        }
        auto& frame = open_frame(ip);
        if (box.sent_relays_version != m_relays_version) {
            box.sent_relays_version = m_relays_version;
            frame.set_has_places(true);
            for (const auto& relay : m_registry.get_relays()) {
                auto& item = *frame.add_places();
                item.set_ip(relay.ip);
                item.set_data_centre(relay.data_centre);
            }
        }
        box.sent = now;
        ++m_counts.frames_sent;
        frame.set_sent_ms(to_milliseconds(now.time_since_epoch()));
        frames.push_back({ip, std::exchange(box.frame, nullptr)});
    }
    return frames;
}

void relay_hub::on_relays_changed() {
    ++m_relays_version;
}

std::optional<std::uint32_t> relay_hub::pick(const std::string& data_centre,
                                             std::uint64_t worker_hash) const {
    return m_registry.pick(data_centre, worker_hash);
}

} // namespace poplarpitch
