#include "poplarpitch/relay/relay_agent.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

/// Returns true when only the time and the sequence number changed since the last report.
bool is_unchanged(worker_report before, const worker_report& now) {
    before.sequence = now.sequence;
    before.clock_ms = now.clock_ms;
    return before == now;
}

} // namespace

relay_agent::relay_agent(const relay_settings& settings, relay_instance self, order_executor execute)
    : m_settings(settings), m_self(std::move(self)), m_execute(std::move(execute)),
      m_is_alive(std::make_shared<bool>(true)) {}

relay_agent::~relay_agent() {
    *m_is_alive = false;
}

std::optional<job_wire::relay_answers> relay_agent::on_orders(const job_wire::relay_orders& frame,
                                                              time_point now) {
    const bool is_stale = frame.term() < m_term || (frame.term() == m_term && m_is_leader);
    if (is_stale) {
        job_wire::relay_answers refusal;
        refusal.set_term(frame.term());
        refusal.set_ip(m_self.ip);
        refusal.set_data_centre(m_self.data_centre);
        refusal.set_version(relay_version);
        for (const auto& order : frame.orders()) {
            auto& answer = *refusal.add_answers();
            answer.set_number(order.number());
            answer.set_failure(static_cast<std::uint32_t>(order_failure::not_sent));
        }
        if (frame.orders_size() > 0) {
            log_event(log_level::info, "relay_orders_refused")
                .add("term", frame.term())
                .add("known_term", m_term)
                .add("leads", m_is_leader ? "yes" : "no")
                .add("orders", frame.orders_size());
        }
        return refusal;
    }
    if (frame.term() > m_term) {
        begin_term(frame.term(), now);
    }
    m_last_frame_at = now;
    m_must_answer = true;
    if (frame.has_places()) {
        m_relays.clear();
        for (const auto& relay : frame.places()) {
            m_relays.push_back({relay.ip(), relay.data_centre()});
        }
    }
    for (const auto& worker : frame.unknown_workers()) {
        for (auto known = m_reports.lower_bound(worker_incarnation::first_key_of(worker));
             known != m_reports.end() && known->first.id == worker; ++known) {
            add_full_report(known->second);
        }
    }
    execute_orders(frame, m_frame_age.estimate(frame.sent_ms(), now));
    return std::nullopt;
}

void relay_agent::begin_term(log_term term, time_point now) {
    m_term = term;
    m_is_leader = false;
    m_frame = nullptr;
    m_frame_age.clear();
    m_relays.clear();
    remove_expired_reports(now);
    for (auto& [worker, known] : m_reports) {
        add_full_report(known);
    }
    log_event(log_level::info, "relay_term")
        .add("term", term)
        .add("workers", static_cast<std::uint64_t>(m_reports.size()))
        .add("open", static_cast<std::uint64_t>(m_open));
}

void relay_agent::remove_expired_reports(time_point now) {
    absl::erase_if(m_reports, [&](const auto& item) {
        return now - item.second.received_at > m_settings.report_lifetime;
    });
}

void relay_agent::on_leading(log_term term) {
    m_term = std::max(m_term, term);
    m_is_leader = true;
    m_frame = nullptr;
    m_must_answer = false;
    m_last_frame_at = {};
}

void relay_agent::execute_orders(const job_wire::relay_orders& frame, duration delay) {
    for (const auto& message : frame.orders()) {
        ++m_received;
        const auto number = message.number();
        const auto answer = [this, alive = m_is_alive, number,
                             term = frame.term()](const order_outcome& outcome) {
            if (!*alive) {
                return;
            }
            --m_open;
            if (term != m_term || m_is_leader) {
                return; // the leader that sent it no longer waits for the answer
            }
            auto& reply = *open_frame().add_answers();
            reply.set_number(number);
            encode(outcome, reply);
        };
        ++m_open;
        // The leader no longer waits for the answer, and the worker may have restarted.
        if (delay > milliseconds{message.timeout_ms()}) {
            answer({order_failure::not_sent, {}});
            continue;
        }
        const auto order = read_order(message, frame);
        if (!order.has_value()) {
            answer({order_failure::malformed, {}});
            continue;
        }
        m_execute(*order, answer);
    }
}

job_wire::relay_answers& relay_agent::open_frame() {
    if (m_frame == nullptr) {
        m_frame = std::make_unique<job_wire::relay_answers>();
        m_frame->set_term(m_term);
        m_frame->set_ip(m_self.ip);
        m_frame->set_data_centre(m_self.data_centre);
        m_frame->set_version(relay_version);
    }
    return *m_frame;
}

void relay_agent::on_report(const worker_report& report, time_point now) {
    if (now >= m_next_sweep) {
        m_next_sweep = now + m_settings.report_lifetime;
        remove_expired_reports(now);
    }
    auto& known = m_reports[report.incarnation];
    known.is_reported = known.is_reported && is_unchanged(known.report, report);
    known.report = report;
    known.received_at = now;
    if (known.is_reported) {
        auto& message = *open_frame().add_reports();
        message.set_worker(report.incarnation.id);
        message.set_sequence(report.sequence);
        message.set_clock_ms(report.clock_ms);
        message.set_told(known.reported_sequence);
        message.set_born_ms(report.incarnation.process_start_ms);
        return;
    }
    add_full_report(known);
}

void relay_agent::add_full_report(known_report& known) {
    known.is_reported = true;
    known.reported_sequence = known.report.sequence;
    encode(known.report, *open_frame().add_reports());
}

std::optional<job_wire::relay_answers> relay_agent::take_answers(time_point now) {
    const auto due = get_due();
    if (!due.has_value() || now < *due) {
        return std::nullopt;
    }
    open_frame();
    m_last_answer_at = now;
    m_must_answer = false;
    auto frame = std::move(*m_frame);
    m_frame = nullptr;
    return frame;
}

/// Answers are sent after the minimum interval between frames. Heartbeats alone wait for the next answers or
/// for the leader's next frame.
std::optional<time_point> relay_agent::get_due() const {
    const bool has_answers = m_frame != nullptr && m_frame->answers_size() > 0;
    if (m_term == 0 || m_is_leader || (!has_answers && !m_must_answer)) {
        return std::nullopt;
    }
    return m_last_answer_at + m_settings.min_frame_interval;
}

bool relay_agent::can_relay(time_point now) const {
    return m_settings.is_enabled && !m_is_leader && m_term != 0 &&
           now - m_last_frame_at <= m_settings.peer_timeout;
}

std::vector<std::uint32_t> relay_agent::get_other_relays() const {
    std::vector<std::uint32_t> others;
    for (const auto& relay : m_relays) {
        if (relay.ip != m_self.ip) {
            others.push_back(relay.ip);
        }
    }
    return others;
}

std::uint32_t relay_agent::pick(const worker_report& report) const {
    return pick_relay(m_relays, report.data_centre, hash_bytes(report.incarnation.id)).value_or(m_self.ip);
}

} // namespace poplarpitch
