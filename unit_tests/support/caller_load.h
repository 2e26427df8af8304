#pragma once

#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/stand_in/record_checker.h"
#include "unit_tests/support/test_cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace poplarpitch {

/// Callers that send requests until `stop`, and record how each request ended.
class caller_load {
public:
    caller_load(test_cluster& cluster, std::vector<int> entries, int callers)
        : m_cluster(cluster), m_entries(std::move(entries)) {
        for (int caller = 0; caller < callers; ++caller) {
            m_threads.emplace_back([this, caller] { run(caller); });
        }
    }

    /// Stops the callers and returns all calls.
    std::vector<observed_call> stop() {
        m_is_stopped = true;
        for (auto& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        const absl::MutexLock lock(&m_mutex);
        return m_calls;
    }

    /// Returns the number of calls that have ended.
    std::size_t count() {
        const absl::MutexLock lock(&m_mutex);
        return m_calls.size();
    }

private:
    void run(int caller) {
        for (int number = 0; !m_is_stopped; ++number) {
            observed_call call;
            call.check_id = absl::StrCat("c", caller, "-", number);
            call.is_idempotent = number % 2 == 0;
            call.service = call.is_idempotent ? "fast" : "pay";
            const auto entry = m_entries[static_cast<std::size_t>(number) % m_entries.size()];
            const auto body = "body of " + call.check_id;
            const auto exchange = m_cluster.send(entry, "POST", "/v1/call/" + call.service, body,
                                                 {{header_tenant, "t"}, {"X-Check-Id", call.check_id}});
            if (exchange.progress == exchange_progress::answered) {
                call.outcome = exchange.response.headers.get(header_outcome);
                call.is_body_intact = call.outcome != outcome_done || exchange.response.body == body;
            } else {
                call.outcome = exchange.progress == exchange_progress::not_sent ? "not-sent" : "cut";
            }
            const absl::MutexLock lock(&m_mutex);
            m_calls.push_back(std::move(call));
        }
    }

    test_cluster& m_cluster;
    std::vector<int> m_entries;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_is_stopped{false};
    absl::Mutex m_mutex;
    std::vector<observed_call> m_calls ABSL_GUARDED_BY(m_mutex);
};

} // namespace poplarpitch
