#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/announcement.h"
#include "poplarpitch/entry/load_reporter.h"
#include "poplarpitch/entry/owned_fleet.h"
#include "poplarpitch/entry/request_dispatcher.h"
#include "poplarpitch/entry/task_agent.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// The pure parts of an entry behind one lock, and the waiting of request threads. The parts decide; this
/// class only guards them and wakes who got a slot. Thread safety: any thread, for all methods.
class entry_state {
public:
    entry_state(const std::string& id, std::string data_centre);

    /// Takes a renewal's answer: configuration, workers, jobs, other entries.
    void apply_renewal(const wire::renew_answer& answer, time_point now);
    /// Returns the configuration in force here and its version.
    [[nodiscard]] std::shared_ptr<const configuration> get_configuration() const;
    [[nodiscard]] std::uint64_t get_config_version() const;
    /// Returns true while control gives this entry no work: it is no longer ready, and serves by others.
    [[nodiscard]] bool is_draining() const { return m_is_draining; }
    /// Fills in what this entry reports with a renewal.
    void fill_renewal(wire::renew_request& request);
    /// Notes that a renewal was not granted: what it reported is to be reported again.
    void on_renewal_failed(const wire::renew_request& request);

    /// Decides for a request; waits for a slot where that is the decision, at most until it can end in time
    /// no more.
    std::variant<request_grant, forward_decision, refusal> admit(const call_info& call);
    /// Takes the end of an attempt.
    void finish(const request_grant& grant, attempt_result ended, duration latency);
    void finish_forwarded(const call_info& call);
    bool try_retry(const std::string& service);
    std::optional<request_grant> try_hedge(const call_info& call, const std::string& first_worker);

    /// What an entry knows of a worker that announces itself.
    enum class worker_status : std::uint8_t {
        not_owned,
        owned,
        owned_silent,
        changed_address,
        record_outdated
    };
    worker_status get_worker_status(const announcement& message) const;
    /// Takes an announcement of an owned worker; returns events for the log with the numbers of their
    /// reports.
    std::vector<task_agent::reported_event> take_announcement(const announcement& message,
                                                              std::int64_t wall_ms);
    /// Takes a silent worker as heard again, after control has.
    void end_silence(const std::string& worker);
    /// Fills in the answer to an owned worker.
    void fill_answer(const announcement& message, bool is_session_valid, announce_answer& answer) const;

    /// Lets time pass; returns calls to workers and events for the log.
    struct due_work {
        std::vector<task_action> actions;
        std::vector<wire::command> events;
    };
    due_work tick(std::int64_t wall_ms);
    std::vector<wire::command> on_start_answered(const task_action& action, start_result answer,
                                                 std::int64_t wall_ms);
    void on_stop_answered(const task_action& action);
    void on_event_committed(const std::string& worker, const wire::job_event& event);

    /// Numbers for /metrics and /v1/status.
    struct counts {
        std::size_t workers = 0;
        std::size_t ready_workers = 0;
        std::size_t waiting = 0;
        std::size_t tasks = 0;
        std::uint64_t evictions = 0;
    };
    [[nodiscard]] counts get_counts() const;
    /// Returns the owned workers as JSON text for operators.
    [[nodiscard]] std::string describe_workers() const;

private:
    struct waiter {
        absl::CondVar ready;
        std::optional<request_grant> grant;
    };

    void serve_waiting(time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const system_clock m_clock{};
    const std::string m_id;
    const std::string m_data_centre;
    std::atomic<bool> m_is_draining{false};
    /// Taken inside m_mutex; apart from it, since every request reads the configuration.
    mutable absl::Mutex m_settings_mutex;
    mutable absl::Mutex m_mutex;
    owned_fleet m_fleet ABSL_GUARDED_BY(m_mutex);
    request_dispatcher m_dispatcher ABSL_GUARDED_BY(m_mutex);
    task_agent m_tasks ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const configuration> m_settings ABSL_GUARDED_BY(m_mutex);
    /// The same as m_settings, for readers.
    std::shared_ptr<const configuration> m_published ABSL_GUARDED_BY(m_settings_mutex);
    std::uint64_t m_config_version ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
    std::map<std::uint64_t, waiter*> m_waiters ABSL_GUARDED_BY(m_mutex); ///< by ticket
    std::map<std::string, std::map<std::string, std::int64_t>> m_request_counts ABSL_GUARDED_BY(m_mutex);
    load_reporter m_loads ABSL_GUARDED_BY(m_mutex);
    time_point m_last_report ABSL_GUARDED_BY(m_mutex){};
};

} // namespace poplarpitch
