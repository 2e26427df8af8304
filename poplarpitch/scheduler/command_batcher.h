#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/command_outcome.h"
#include "poplarpitch/scheduling/job_state_event.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace poplarpitch::job_wire {
class job_command;
class job_command_batch;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class event_loop;
class job_state_machine;
class replica;
struct log_entry;

/// Result of committing a command.
enum class commit_result : std::uint8_t {
    applied,      ///< committed, by this proposal or an earlier one
    refused,      ///< committed, but refused by the state after the commands before it
    not_proposed, ///< this instance does not lead; the command is not in the log
    unknown,      ///< leadership was lost meanwhile; the command may still be committed
    unreadable,   ///< not in the log, because no instance could parse the command there
};

/// Commits commands in batches. All commands that arrive while a batch is being committed go into the next
/// one, which takes one log entry, one sync and one message to each follower.
///
/// Load pattern: 200 to 1,500 task starts a second, each with two commands, at 6 ms a sync. Thread safety:
/// the loop's thread, for all methods.
class command_batcher {
public:
    using result_handler = std::function<void(commit_result)>;

    /// Limits a batch, because the log refuses a proposal beyond its limit of uncommitted bytes and refused
    /// commands are lost. While a disk hangs for seconds, more than that limit may be pending.
    static constexpr std::size_t max_batch_bytes = 1U << 20;

    /// Preconditions: loop, log and job state outlive the batcher; the log accepts twice `max_bytes`
    /// uncommitted.
    command_batcher(event_loop& loop, replica& log, job_state_machine& job_state,
                    std::size_t max_bytes = max_batch_bytes);
    ~command_batcher();
    command_batcher(const command_batcher&) = delete;
    command_batcher& operator=(const command_batcher&) = delete;

    /// Adds a command to the next batch; `on_result`, which may be empty, is called once.
    void add(job_wire::job_command command, result_handler on_result);
    /// Returns true when the next flush will propose the pending commands.
    [[nodiscard]] bool can_flush() const { return m_in_flight == 0; }
    /// Proposes the pending commands, up to the limit of a batch. Does nothing while a batch is in flight. A
    /// command that could not be parsed in the log is left out; its result is `unreadable`.
    void flush();
    /// Applies a committed batch to the replicated job state and appends the changes to `events`. Returns
    /// false when the batch cannot be parsed; every instance then skips all of its commands.
    bool apply(const log_entry& entry, std::vector<job_state_event>& events);
    /// Drops the commands that were not proposed. Their result is `not_proposed`.
    void drop_pending();

    /// Returns the number of committed batches.
    [[nodiscard]] std::uint64_t get_batches() const { return m_batches; }
    /// Returns the number of commands in all committed batches.
    [[nodiscard]] std::uint64_t get_commands() const { return m_commands; }

private:
    struct pending_batch;

    /// Returns how many pending commands go into the next batch: at least one when there are any.
    [[nodiscard]] std::size_t count_next_batch() const;
    /// Moves the next commands and their handlers from the pending ones to a new batch.
    [[nodiscard]] pending_batch take_next_batch();
    /// Removes the commands of a batch that cannot be parsed once they are serialised, and reports them.
    static void remove_unreadable(pending_batch& batch);
    /// Calls the handlers of a batch with the result of each command.
    void on_batch_result(const std::vector<result_handler>& handlers, bool is_applied, bool is_refused);

    event_loop& m_loop;
    replica& m_log;
    job_state_machine& m_job_state;
    std::size_t m_max_bytes;
    std::unique_ptr<job_wire::job_command_batch> m_pending;
    std::vector<result_handler> m_handlers;  ///< one for each pending command
    std::vector<command_outcome> m_outcomes; ///< of the last applied batch
    int m_in_flight = 0;
    std::uint64_t m_batches = 0;
    std::uint64_t m_commands = 0;
};

} // namespace poplarpitch
