#pragma once

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {

/// The interface of the replicated log that the queue uses.
template <class T>
concept proposal_log = requires(T& log, std::string payload, time_point now) {
    { log.propose(std::move(payload), now) } -> std::same_as<result<log_index>>;
    { log.get_term() } -> std::convertible_to<log_term>;
    { log.get_leader() } -> std::convertible_to<node_id>;
};

/// How soon a command must be appended to the log.
enum class proposal_urgency : std::uint8_t {
    immediate,  ///< a request or a lease waits for it
    deferrable, ///< a job command: may be delayed to share an append, a sync and the messages with others
};

/// Returns the urgency of a command: those of jobs are deferrable. Thread safety: any thread.
[[nodiscard]] proposal_urgency get_urgency(const wire::command& command);

/// Commands that are not applied yet, with the callbacks for their answers. A deferrable command is appended
/// at once when the last append is at least `interval` ago. Otherwise it waits for the rest of the interval
/// or for an immediate command. An idle log thus adds no latency to a command, and a busy log appends
/// deferrable commands at most once per interval. Thread safety: none, as for all methods; the control thread
/// owns it.
class proposal_queue {
public:
    using callback = std::function<void(const wire::propose_answer&)>;

    /// `interval`: least time between two appends of deferrable commands.
    explicit proposal_queue(duration interval) : m_interval(interval) {}

    /// Queues a serialized command. `answer` is called once, by a later call of one of the methods below.
    void add(std::string payload, proposal_urgency urgency, callback answer);
    /// Appends the queued commands to the log when they are due. A command that the log refuses is answered
    /// with the log's error.
    template <proposal_log Log>
    void propose_due(Log& log, time_point now);
    /// Returns when the queued commands are due, or nothing while none is queued.
    [[nodiscard]] std::optional<time_point> get_next_due() const;

    /// Answers the command that was proposed at the entry's index, if any. `outcome` is the result of
    /// applying the entry. A command whose index holds an entry of another term is answered as unknown.
    void on_applied(const log_entry& entry, wire::command_result&& outcome, node_id leader);
    /// Answers all commands after a loss of leadership or at a stop. Those in the log are answered as
    /// unknown, since they may still be committed; those still queued are answered as not committed.
    void fail_all(node_id leader);

private:
    struct queued_command {
        std::string payload;
        callback answer;
    };
    struct proposed_command {
        log_term term = 0; ///< in which it was appended
        callback answer;
    };

    duration m_interval;
    std::vector<queued_command> m_waiting;
    bool m_has_immediate = false; ///< an immediate command is among `m_waiting`
    time_point m_next_append{};
    std::map<log_index, proposed_command> m_proposed;
};

template <proposal_log Log>
void proposal_queue::propose_due(Log& log, time_point now) {
    const bool is_due = !m_waiting.empty() && (m_has_immediate || now >= m_next_append);
    if (!is_due) {
        return;
    }
    m_next_append = now + m_interval;
    m_has_immediate = false;
    for (auto& waiting : std::exchange(m_waiting, {})) {
        const auto index = log.propose(std::move(waiting.payload), now);
        if (index) {
            m_proposed[index.value()] = {log.get_term(), std::move(waiting.answer)};
            continue;
        }
        wire::propose_answer refusal;
        refusal.set_leader(log.get_leader());
        refusal.set_refusal(index.error().message());
        waiting.answer(refusal);
    }
}

} // namespace poplarpitch
