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

/// Guards the single-threaded components of an entry with one lock and blocks request threads that wait for a
/// slot. The components make the decisions; this class only serializes access to them and wakes each thread
/// whose request got a slot. Thread safety: any thread, for all methods.
class entry_state {
public:
    entry_state(const std::string& id, std::string data_centre);

    /// Applies the answer to a renewal: configuration, workers, jobs, other entries.
    void apply_renewal(const wire::renew_answer& answer, time_point now);
    /// Returns the configuration that this entry applies, and its version.
    [[nodiscard]] std::shared_ptr<const configuration> get_configuration() const;
    [[nodiscard]] std::uint64_t get_config_version() const;
    /// Returns true while control gives this entry no work. It is then not ready and serves requests through
    /// other entries.
    [[nodiscard]] bool is_draining() const { return m_is_draining; }
    /// Fills in what this entry reports to control with a renewal.
    void fill_renewal(wire::renew_request& request);
    /// Called when a renewal was not granted; its contents are reported again with the next one.
    void on_renewal_failed(const wire::renew_request& request);

    /// Decides how to handle a request. Blocks while the request waits for a slot, at most until it can no
    /// longer finish before its deadline.
    std::variant<request_grant, forward_decision, refusal> admit(const call_info& call);
    /// Called when an attempt has ended.
    void finish(const request_grant& grant, attempt_result ended, duration latency);
    /// Called when a forwarded request has ended.
    void finish_forwarded(const call_info& call);
    /// Takes one retry from the service's budget. Returns false when the budget is exhausted.
    bool try_retry(const std::string& service);
    /// Acquires a slot for the second copy of a request; see `request_dispatcher::try_hedge`.
    std::optional<request_grant> try_hedge(const call_info& call, const std::string& first_worker);

    /// Ownership and state, as known to this entry, of a worker that announces itself.
    enum class worker_status : std::uint8_t {
        not_owned,
        owned,
        owned_silent,    ///< owned, but it has not announced itself for too long
        changed_address, ///< another address uses the id of an owned worker that is not silent
        record_outdated  ///< owned, but its process, services or capacity differ from control's record
    };
    /// Returns the status of the worker that sent `message`.
    worker_status get_worker_status(const announcement& message) const;
    /// Processes the announcement of an owned worker. Returns events to commit to the log, each with the
    /// number of its report.
    std::vector<task_agent::reported_event> apply_announcement(const announcement& message,
                                                               std::int64_t wall_ms);
    /// Marks a silent worker as heard again, after control has done so.
    void end_silence(const std::string& worker);
    /// Fills in the answer to the announcement of an owned worker.
    void fill_answer(const announcement& message, bool is_session_valid, announce_answer& answer) const;

    /// The work that is due at a tick: calls to workers and events to commit to the log.
    struct due_work {
        std::vector<task_action> actions;
        std::vector<wire::command> events;
    };
    /// Advances the time-dependent state and returns the due work. Called periodically; `wall_ms` is the wall
    /// clock time for the events.
    due_work tick(std::int64_t wall_ms);
    /// Processes the worker's answer to a start. Returns the events to commit to the log.
    std::vector<wire::command> on_start_answered(const task_action& action, start_result answer,
                                                 std::int64_t wall_ms);
    /// Called when a worker has answered a stop.
    void on_stop_answered(const task_action& action);
    /// Called when control has committed an event of a job on `worker`, or has found it stale.
    void on_event_committed(const std::string& worker, const wire::job_event& event);

    /// Counters for /metrics and /v1/status.
    struct counts {
        std::size_t workers = 0;
        std::size_t ready_workers = 0;
        std::size_t waiting = 0;
        std::size_t tasks = 0;
        std::uint64_t evictions = 0;
    };
    [[nodiscard]] counts get_counts() const;
    /// Returns the owned workers as a JSON array for operators.
    [[nodiscard]] std::string describe_workers() const;

private:
    struct waiter {
        absl::CondVar ready;
        std::optional<request_grant> grant;
    };

    void grant_waiting(time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const system_clock m_clock{};
    const std::string m_id;
    const std::string m_data_centre;
    std::atomic<bool> m_is_draining{false};
    /// Acquired while holding m_mutex. It is a separate lock because every request reads the configuration.
    mutable absl::Mutex m_settings_mutex;
    mutable absl::Mutex m_mutex;
    owned_fleet m_fleet ABSL_GUARDED_BY(m_mutex);
    request_dispatcher m_dispatcher ABSL_GUARDED_BY(m_mutex);
    task_agent m_tasks ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const configuration> m_settings ABSL_GUARDED_BY(m_mutex);
    /// The same configuration as m_settings, for readers that do not hold m_mutex.
    std::shared_ptr<const configuration> m_published ABSL_GUARDED_BY(m_settings_mutex);
    std::uint64_t m_config_version ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
    std::map<std::uint64_t, waiter*> m_waiters ABSL_GUARDED_BY(m_mutex); ///< by ticket
    std::map<std::string, std::map<std::string, std::int64_t>> m_request_counts ABSL_GUARDED_BY(m_mutex);
    load_reporter m_load_reporter ABSL_GUARDED_BY(m_mutex);
    time_point m_last_report ABSL_GUARDED_BY(m_mutex){};
};

} // namespace poplarpitch
