// Measures admission around and above full load: the share of accepted requests that miss their deadline and
// the share of refused requests. Runs the production dispatcher on 16 fake workers of one service with a
// manual clock. Prints the same table on every run.
#include "performance_test/fake_workers.h"
#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/core/manual_clock.h"
#include "poplarpitch/entry/owned_fleet.h"
#include "poplarpitch/entry/request_dispatcher.h"

#include <cstdio>
#include <map>
#include <queue>

namespace poplarpitch {
namespace {

constexpr int worker_count = 16;
constexpr int slots = 8;
constexpr double base_ms = 20;
constexpr duration request_timeout = milliseconds{200};

struct admission_outcome {
    double missed = 0;  ///< share of accepted requests that ended after their deadline
    double refused = 0; ///< share of all requests
    double used = 0;    ///< share of slot time in use
};

class admission_run {
public:
    admission_run(double load, bool waits_until_deadline, std::uint64_t seed)
        : m_load(load), m_waits_until_deadline(waits_until_deadline), m_random(seed), m_fleet("e"),
          m_dispatcher(m_fleet, 1) {
        const auto text = std::string("[tenant t]\n[service s]\nidempotent = true\nmax_queue = 100000\n");
        const auto settings = std::make_shared<const configuration>(parse_configuration(text).value);
        m_fleet.set_configuration(settings);
        m_dispatcher.set_configuration(settings);
        std::vector<wire::worker> records;
        for (int number = 0; number < worker_count; ++number) {
            wire::worker record;
            record.set_id("w" + std::to_string(number));
            record.set_epoch(1);
            record.add_services("s");
            record.mutable_capacity()->set_slots(slots);
            records.push_back(record);
        }
        m_fleet.set_owned_workers(records, m_clock.now());
        for (const auto& record : records) {
            announcement message;
            message.id = record.id();
            message.capacity = {slots, 0, 0, 0};
            message.epoch = 1;
            message.is_complete = true;
            m_fleet.apply_announcement(message, m_clock.now());
        }
        m_dispatcher.set_entries({});
    }

    admission_outcome run() {
        const double rate = m_load * worker_count * slots / base_ms;
        for (int number = 0; number < 12'000; ++number) {
            advance(std::exponential_distribution<double>(rate)(m_random));
            arrive(number);
        }
        admission_outcome result;
        result.missed = static_cast<double>(m_missed) / std::max(m_accepted, 1);
        result.refused = static_cast<double>(m_refused) / std::max(m_accepted + m_refused, 1);
        result.used = m_busy_ms / (m_now_ms * worker_count * slots);
        return result;
    }

private:
    struct running_item {
        double end_ms = 0;
        double time_ms = 0;
        request_grant grant;
        time_point deadline{};
        bool operator<(const running_item& other) const { return end_ms > other.end_ms; }
    };
    struct waiting_item {
        admission_ticket ticket;
        time_point give_up_at{};
    };

    void advance(double step_ms) {
        const double goal = m_now_ms + step_ms;
        while (!m_running.empty() && m_running.top().end_ms <= goal) {
            const auto item = m_running.top();
            m_running.pop();
            set_time(item.end_ms);
            m_missed += m_clock.now() > item.deadline ? 1 : 0;
            m_busy_ms += item.time_ms;
            m_dispatcher.finish(item.grant, attempt_result::answered,
                                duration{static_cast<std::int64_t>(item.time_ms * 1e6)}, m_clock.now());
            give_up();
            for (auto& served : m_dispatcher.grant_waiting(m_clock.now())) {
                const auto found = m_waiting.find(served.ticket);
                start(served.grant, found->second.ticket.deadline);
                m_waiting.erase(found);
            }
        }
        set_time(goal);
        give_up();
    }

    void give_up() {
        for (auto item = m_waiting.begin(); item != m_waiting.end();) {
            const auto end = m_waits_until_deadline ? item->second.ticket.deadline : item->second.give_up_at;
            if (m_clock.now() >= end) {
                m_dispatcher.cancel_wait("s", item->second.ticket);
                item = m_waiting.erase(item);
                ++m_refused;
            } else {
                ++item;
            }
        }
    }

    void set_time(double now_ms) {
        m_clock.advance(duration{static_cast<std::int64_t>((now_ms - m_now_ms) * 1e6)});
        m_now_ms = now_ms;
    }

    void start(const request_grant& grant, time_point deadline) {
        std::lognormal_distribution<double> time_factor(0, 0.35);
        const double time = base_ms * time_factor(m_random);
        m_running.push({m_now_ms + time, time, grant, deadline});
        ++m_accepted;
    }

    void arrive(int number) {
        call_info call;
        call.request_id = std::to_string(number);
        call.service = "s";
        call.tenant = "t";
        call.deadline = m_clock.now() + request_timeout;
        auto decision = m_dispatcher.admit(call, m_clock.now());
        if (auto* grant = std::get_if<request_grant>(&decision)) {
            start(*grant, call.deadline);
        } else if (auto* wait = std::get_if<wait_decision>(&decision)) {
            m_waiting[wait->ticket.id] = {wait->ticket, wait->give_up_at};
        } else {
            ++m_refused;
        }
    }

    double m_load;
    bool m_waits_until_deadline; ///< baseline: requests wait until their deadline instead of the earlier
                                 ///< give-up time
    std::mt19937_64 m_random;
    manual_clock m_clock;
    owned_fleet m_fleet;
    request_dispatcher m_dispatcher;
    std::priority_queue<running_item> m_running;
    std::map<std::uint64_t, waiting_item> m_waiting;
    double m_now_ms = 0;
    double m_busy_ms = 0;
    int m_missed = 0;
    int m_accepted = 0;
    int m_refused = 0;
};

void print_row(double load, bool is_baseline) {
    std::vector<double> missed;
    std::vector<double> refused;
    std::vector<double> used;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto result = admission_run(load, is_baseline, seed).run();
        missed.push_back(result.missed * 100);
        refused.push_back(result.refused * 100);
        used.push_back(result.used * 100);
    }
    std::printf("%5.0f%%  %-22s missed %6.3f%% (%.3f to %.3f)  refused %6.2f%%  slots in use %5.1f%%\n",
                load * 100, is_baseline ? "waits to the deadline" : "poplarpitch", get_quantile(missed, 0.5),
                get_quantile(missed, 0), get_quantile(missed, 1), get_quantile(refused, 0.5),
                get_quantile(used, 0.5));
}

} // namespace
} // namespace poplarpitch

int main() {
    std::printf(
        "admission decisions: 16 workers of 8 slots, 20 ms median time, 200 ms allowed, 10 seeds, medians\n");
    for (const double load : {0.7, 0.85, 0.9, 1.0, 1.3, 2.0}) {
        poplarpitch::print_row(load, true);
        poplarpitch::print_row(load, false);
    }
    return 0;
}
