#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// What all workers of a deployment have in common. The bounds are those of the users' pages.
struct worker_terms {
    std::string service;
    std::vector<endpoint> control; ///< addresses that serve workers
    std::int64_t hold_max_ms = 10'000;
    std::int64_t stop_ms = 100; ///< how long a stop takes; at most `stopMs`, 900
    std::int64_t checkpoint_ms = 1'000;
    std::int64_t restore_ms = 250;
    std::int64_t gang_timeout_ms = 3'000;
    std::int64_t heartbeat_ms = 1'100;
    std::int64_t drain_ms = 2'000;
    std::int64_t millicores = 4'000;
    std::int64_t memory_mb = 8'000;
};

/// A task that a worker runs or has run.
struct task_run {
    std::string task;
    std::uint32_t run = 0;
    std::int64_t work_ms = 0; ///< work of the whole task
    bool is_gang = false;
    std::size_t members = 1;         ///< of the gang
    bool saves = false;              ///< it checkpoints
    std::int64_t from_ms = 0;        ///< work that the checkpoint holds which it resumed from
    std::int64_t began_ms = 0;       ///< when it was started
    std::int64_t works_since_ms = 0; ///< when it began to work; 0 while its gang isn't complete
    std::int64_t stops_at_ms = 0;    ///< when a stop that was ordered is done; 0 for none
    std::string saved;               ///< newest checkpoint
};

class worker;

/// The workers of a deployment. They follow the users' page PROTOCOL.md. The `spec` of a job says what its
/// tasks do: `work=MS`, `gang=COUNT`, `saves`. Thread safety: any thread.
class worker_fleet {
public:
    worker_fleet(worker_terms terms, record& log);
    ~worker_fleet();
    worker_fleet(const worker_fleet&) = delete;
    worker_fleet& operator=(const worker_fleet&) = delete;

    /// Starts a worker on a machine at this address.
    void add(const std::string& machine, const endpoint& address, const std::string& zone,
             const std::string& rack);
    /// Ends a worker and all that it runs at once. It starts again with a new id after `down_ms`.
    void crash(const std::string& machine, std::int64_t down_ms);
    /// Lets a worker say that it leaves; it ends `drain_ms` and a little more after that was acknowledged.
    void drain(const std::string& machine);
    /// Lets a worker fail all that it starts, or ends that.
    void set_failing(const std::string& machine, bool is_failing);

    /// Returns the machine where a task runs, or an empty string.
    [[nodiscard]] std::string find_machine_of(const std::string& task);
    /// Returns the runs of this task that were started so far.
    [[nodiscard]] std::vector<std::uint32_t> get_starts(const std::string& task);
    /// Returns how the runs of tasks whose names begin so have ended, counted by the kind of end.
    [[nodiscard]] std::map<std::string, int> count_ends(const std::string& job);
    /// Returns the checkpoints that the starts of a run carried, by task, for tasks whose names begin so.
    [[nodiscard]] std::map<std::string, std::string> get_checkpoints(const std::string& step,
                                                                     std::uint32_t run);
    /// Returns for how long a task has worked, without a break, on the worker where it runs.
    [[nodiscard]] std::int64_t get_working_ms(const std::string& task);
    /// Returns the milliseconds since the fleet was made.
    [[nodiscard]] std::int64_t get_time_ms() const;

private:
    friend class worker;

    struct started_run {
        std::string task;
        std::uint32_t run = 0;
        std::string checkpoint;
    };

    void tick_all();
    void beat_all();
    void note_start(const task_run& item, const std::string& machine, const std::string& checkpoint);
    void note_end(const task_run& item, const std::string& machine, const std::string& how);

    worker_terms m_terms;
    record& m_record;
    std::chrono::steady_clock::time_point m_start;
    std::recursive_mutex m_mutex; ///< guards all state of all workers
    std::condition_variable_any m_changed;
    std::map<std::string, std::unique_ptr<worker>> m_workers; ///< by machine
    std::vector<started_run> m_starts;
    std::map<std::string, std::map<std::string, int>> m_ends; ///< kinds of ends, by job
    std::map<std::string, std::set<std::string>> m_present;   ///< members of each run of a gang
    std::set<std::string> m_broken;                           ///< runs of gangs of which a member ended
    std::atomic<bool> m_is_ending{false};
    std::thread m_ticks;
    std::vector<std::thread> m_beats;
    int m_next_id = 1;
};

} // namespace review
