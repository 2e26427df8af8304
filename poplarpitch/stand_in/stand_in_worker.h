#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/announcement.h"
#include "poplarpitch/stand_in/stand_in_settings.h"
#include "poplarpitch/stand_in/task_simulator.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "poplarpitch/transport/http_server.h"

#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {

class run_record;

/// A simulated target and worker. It serves a request by sleeping, runs a task by counting time, and slows
/// requests down according to the tasks that run beside them. It announces itself, refuses commands with an
/// older epoch, observes leases and repeats each report until it is acknowledged. It follows the worker's
/// side of the protocol exactly, so that a promise that the system breaks shows in its record. Thread safety:
/// any thread, for all methods.
class stand_in_worker {
public:
    /// `number` determines the data centre, rack and hardware generation. Precondition: `record` outlives the
    /// worker.
    stand_in_worker(const stand_in_settings& settings, int number, run_record& record);
    ~stand_in_worker();
    stand_in_worker(const stand_in_worker&) = delete;
    stand_in_worker& operator=(const stand_in_worker&) = delete;

    /// Listens and starts to announce itself. Returns the port, or 0 when it cannot listen.
    int start();
    /// Announces from now on that it leaves. What it runs continues.
    void leave();
    /// Stops announcements and the server.
    void stop();

    [[nodiscard]] const std::string& get_id() const { return m_id; }
    /// Returns true when the worker can stop without losing work: its owner knows that it leaves, requests
    /// sent before that have had time to arrive, and nothing runs.
    [[nodiscard]] bool can_stop();

private:
    struct running_request {
        std::uint64_t epoch = 0;
    };

    http_response handle(const http_request& request);
    http_response serve(const http_request& request);
    http_response start_task(const http_request& request);
    http_response control_task(const std::string& attempt_id, const std::string& verb,
                               const http_request& request);
    http_response set_fault(const std::string& name, const http_request& request);
    duration sample_service_time(const std::string& service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool has_room(const resources& need) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    void announce_until_stopped();
    void announce_once();
    [[nodiscard]] announcement make_announcement();
    void handle_answer(const announcement& message, const announce_answer& answer, time_point sent);
    static http_response refuse(const std::string& reason);

    const stand_in_settings m_settings;
    const std::string m_id;
    const std::string m_data_centre;
    const std::string m_rack;
    const double m_time_factor; ///< how many times longer work takes on this worker
    const std::uint64_t m_incarnation;
    const system_clock m_clock{};
    run_record& m_record;
    http_client_pool m_entries;
    http_server m_server;
    std::string m_address;
    std::thread m_announcer;

    absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_epoch ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    std::map<std::string, running_request> m_requests ABSL_GUARDED_BY(m_mutex);
    task_simulator m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_wants_complete ABSL_GUARDED_BY(m_mutex) = true;
    bool m_is_leaving ABSL_GUARDED_BY(m_mutex) = false;
    /// When the owner first answered an announcement that the worker leaves.
    time_point m_leaving_acknowledged_time ABSL_GUARDED_BY(m_mutex){};
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    bool m_is_failing ABSL_GUARDED_BY(m_mutex) = false; ///< injected fault: every request and task fails
    bool m_is_mute ABSL_GUARDED_BY(m_mutex) = false;    ///< injected fault: no announcements
    /// Injected fault: slowdown factor by service.
    std::map<std::string, double> m_service_slowdown ABSL_GUARDED_BY(m_mutex);
    std::string m_owner_address ABSL_GUARDED_BY(m_mutex);
    std::size_t m_next_entry ABSL_GUARDED_BY(m_mutex) = 0;
    duration m_interval ABSL_GUARDED_BY(m_mutex) = milliseconds{200};
    duration m_task_lease ABSL_GUARDED_BY(m_mutex) = seconds{10};
};

} // namespace poplarpitch
