#pragma once

#include "poplarpitch/scheduling/command_outcome.h"
#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/scheduling/job_record.h"
#include "poplarpitch/scheduling/job_state_event.h"
#include "poplarpitch/scheduling/learned_record.h"
#include "poplarpitch/scheduling/pressure_factor.h"
#include "poplarpitch/scheduling/refused_job.h"

#include <absl/container/node_hash_map.h>

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch::job_wire {
class job_command;
class put_config;
class step_job;
class task_name;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// The replicated state of jobs, configuration and maintenance, on which all control instances agree.
///
/// Commands are applied in the order of the log, with the same result on every instance; nothing depends on a
/// clock. A run is assigned here before it is started on a worker, and its end is recorded here before the
/// worker may forget it, so a new leader knows of every run that may exist. Thread safety: none, as for all
/// methods.
class job_state_machine {
public:
    /// Format of the newest commands that this version applies. 1 added `replace_config`; without it an
    /// instance skips that command and keeps another configuration.
    static constexpr std::uint32_t command_format = 1;
    /// Bounds the memory (64 bytes each) and the snapshot (20 bytes each).
    static constexpr std::size_t max_refused_jobs = 32'768;

    /// Applies a committed command and appends what it changed to `events`.
    command_outcome apply(const job_wire::job_command& command, std::vector<job_state_event>& events);

    /// Serialises the whole state.
    [[nodiscard]] std::string save() const;
    /// Replaces the whole state by one that `save` returned. Returns false and leaves the state empty when
    /// `bytes` is not a snapshot.
    bool load(std::string_view bytes);

    [[nodiscard]] const job_configuration& get_configuration() const { return m_configuration; }
    /// Returns the job, or null when the id is not known.
    [[nodiscard]] const job_record* find_job(job_id id) const;
    [[nodiscard]] const absl::node_hash_map<job_id, job_record>& get_jobs() const { return m_jobs; }
    /// Returns about how many bytes an instance holds for all jobs, ended ones included.
    [[nodiscard]] std::size_t get_job_bytes() const { return m_job_bytes; }
    /// Returns the task, or null when it is not known or no longer kept.
    [[nodiscard]] const task_record* find_task(const task_key& key) const;
    /// Returns how many attempts of the task have failed, or of its gang if it belongs to one; 0 when the
    /// task is not known or no longer kept.
    [[nodiscard]] std::uint32_t count_failed_attempts(const task_key& key) const;
    /// Returns true when the worker has announced that it leaves; nothing more is started on it.
    [[nodiscard]] bool is_retired(const worker_incarnation& worker) const {
        return m_retired.contains(worker);
    }
    /// Returns true when no task may start on the workers of a data centre, as an operator has ordered.
    [[nodiscard]] bool is_drained(const std::string& data_centre) const {
        return m_drained_data_centres.contains(data_centre);
    }
    [[nodiscard]] const std::set<std::string>& get_drained_data_centres() const {
        return m_drained_data_centres;
    }
    /// Returns true when the job was cancelled before it was submitted. It must not be submitted any more.
    [[nodiscard]] bool is_refused(const refused_job& job) const { return m_refused.contains(job); }
    /// Returns the jobs that were cancelled before they were submitted, at most `max_refused_jobs`.
    [[nodiscard]] const std::set<refused_job>& get_refused() const { return m_refused; }
    /// Returns how often the fence was raised within the terms of leaders. Added to the leader's term, it
    /// gives a fence that is higher than any that an earlier leader used, or that this leader used before the
    /// last raise.
    [[nodiscard]] std::uint64_t get_fence_raises() const { return m_fence_raises; }
    /// Returns the pressure factors that a leader has recorded; a new leader starts with them.
    [[nodiscard]] const std::vector<pressure_factor>& get_pressure() const { return m_pressure; }
    /// Returns what leaders have recorded of what they learned, one record a part, in no particular order.
    [[nodiscard]] const std::vector<learned_record>& get_learned() const { return m_learned; }
    /// Returns the runs that were assigned and have not ended, sorted by their keys.
    [[nodiscard]] std::vector<std::pair<run_key, assigned_run>> get_assigned_runs() const;

private:
    /// `whatever_version`: takes effect although its version is not higher than that in effect.
    command_outcome put_config(const job_wire::put_config& message, bool whatever_version,
                               std::vector<job_state_event>& events);
    command_outcome submit(const job_wire::step_job& message, std::vector<job_state_event>& events);
    command_outcome cancel(job_id id, std::vector<job_state_event>& events);
    /// Records that a job was cancelled before it was submitted. Refused when too many are recorded.
    command_outcome refuse(const refused_job& job, std::vector<job_state_event>& events);
    command_outcome assign(const run_key& key, assigned_run run, std::vector<job_state_event>& events);
    /// Records that no start of the run can reach a later incarnation of its worker.
    command_outcome confirm(const run_key& key, const worker_incarnation& worker);
    command_outcome retire(const worker_incarnation& worker, std::vector<job_state_event>& events);
    command_outcome drain(const std::string& data_centre, bool undo, std::vector<job_state_event>& events);
    command_outcome end(const job_state_event& ended, const std::string& checkpoint,
                        std::vector<job_state_event>& events);
    /// Records a crash that was detected after its run had been given up.
    command_outcome record_crash(const job_state_event& crashed, std::vector<job_state_event>& events);
    /// Counts a crash of a worker under a task. Returns true when the job fails because of it.
    bool count_crash(job_record& record, task_record& task, const job_state_event& crashed,
                     std::vector<job_state_event>& events);
    /// Counts a run that ended as failed against the queue's `max_attempts`, unless the command says that it
    /// does not count. Which members' ends count is decided by the leader that proposes them and not here, so
    /// that instances of different versions draw the same conclusion from a command. Returns true when the
    /// job fails because of it.
    bool count_failure(job_record& record, task_record& task, const job_state_event& ended,
                       std::vector<job_state_event>& events);
    void finish_gang(job_record& record, const step_key& key, std::vector<job_state_event>& events);
    void finish_task(job_record& record, const task_key& key, std::vector<job_state_event>& events);
    void end_job(job_record& record, job_phase phase, std::vector<job_state_event>& events);
    void drop_idle_tasks(job_record& record);
    command_outcome forget(job_id id);
    /// Replaces the records of the parts that are named, within the bounds on all records.
    void replace_learned(std::vector<learned_record> records);

    job_configuration m_configuration;
    absl::node_hash_map<job_id, job_record> m_jobs;
    std::size_t m_job_bytes = 0; ///< sum of `estimate_bytes` of all jobs
    std::set<worker_incarnation> m_retired;
    std::set<std::string> m_drained_data_centres;
    std::set<refused_job> m_refused;
    std::uint64_t m_fence_raises = 0;
    std::vector<pressure_factor> m_pressure;
    std::vector<learned_record> m_learned;
    std::uint64_t m_next_sequence = 1;
};

} // namespace poplarpitch
