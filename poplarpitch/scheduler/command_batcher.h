#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/book_event.h"
#include "poplarpitch/scheduling/command_outcome.h"

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
class job_book;
class replica;
struct log_entry;

/// What became of a command.
enum class commit_result : std::uint8_t {
    applied,      ///< committed now or before
    refused,      ///< committed, but it did not fit what came before it
    not_proposed, ///< this instance does not lead; the command is nowhere
    unknown,      ///< leadership was lost on the way: it may still be committed
};

/// Gathers commands and commits them in batches: one log entry, one sync and one message to each follower for
/// all that came while the last batch was on its way.
///
/// Load pattern: 200 to 1,500 task starts a second, each with two commands, at 6 ms a sync. Thread safety:
/// the loop's thread, for all methods.
class command_batcher {
public:
    using result_handler = std::function<void(commit_result)>;

    /// The log refuses a proposal beyond what it keeps uncommitted, and what is refused is lost. While a disk
    /// hangs for seconds more than that may be gathered.
    static constexpr std::size_t max_batch_bytes = 1U << 20;

    /// Precondition: loop, log and book outlive the batcher; the log takes twice `max_bytes` uncommitted.
    command_batcher(event_loop& loop, replica& log, job_book& book, std::size_t max_bytes = max_batch_bytes);
    ~command_batcher();
    command_batcher(const command_batcher&) = delete;
    command_batcher& operator=(const command_batcher&) = delete;

    /// Adds a command to the next batch; `on_result`, which may be empty, is called once.
    void add(job_wire::job_command command, result_handler on_result);
    /// Returns true when the next flush proposes what is gathered until then.
    [[nodiscard]] bool can_flush() const { return m_in_flight == 0; }
    /// Proposes what was gathered, as much as one entry of the log may hold, unless a batch is on its way.
    void flush();
    /// Applies a committed batch to the book and appends what it changed to `events`.
    void apply(const log_entry& entry, std::vector<book_event>& events);
    /// Gives up what was gathered and not proposed.
    void drop_pending();

    /// Returns how many batches were committed, and how many commands in them.
    [[nodiscard]] std::uint64_t get_batches() const { return m_batches; }
    [[nodiscard]] std::uint64_t get_commands() const { return m_commands; }

private:
    /// Returns how many of the gathered commands the next batch holds, at least one of some.
    [[nodiscard]] std::size_t count_next_batch() const;
    void on_batch_result(const std::vector<result_handler>& handlers, bool is_applied, bool is_refused);

    event_loop& m_loop;
    replica& m_log;
    job_book& m_book;
    std::size_t m_max_bytes;
    std::unique_ptr<job_wire::job_command_batch> m_pending;
    std::vector<result_handler> m_handlers;  ///< one for each gathered command
    std::vector<command_outcome> m_outcomes; ///< of the batch applied last
    int m_in_flight = 0;
    std::uint64_t m_batches = 0;
    std::uint64_t m_commands = 0;
};

} // namespace poplarpitch
