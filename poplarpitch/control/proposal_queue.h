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

/// What the queue needs of the replicated log.
template <class T>
concept proposal_log = requires(T& log, std::string payload, time_point now) {
    { log.propose(std::move(payload), now) } -> std::same_as<result<log_index>>;
    { log.get_term() } -> std::convertible_to<log_term>;
    { log.get_leader() } -> std::convertible_to<node_id>;
};

/// How soon a command must get into the log.
enum class proposal_urgency : std::uint8_t {
    immediate,  ///< a request or a lease waits for it
    deferrable, ///< of jobs: it may wait for others, so that they share an append, a sync and its messages
};

/// Returns how soon a command must get into the log. Thread safety: any thread.
[[nodiscard]] proposal_urgency get_urgency(const wire::command& command);

/// Commands on their way through the log, and who waits for them. A command that may wait goes in at once
/// when the last append is old enough; else it waits for the rest of `interval`, or for one that is urgent.
/// So an idle log adds nothing to a command's time, and a busy one appends at most once an interval for all
/// jobs. Thread safety: none, as for all methods; the control thread owns it.
class proposal_queue {
public:
    using callback = std::function<void(const wire::propose_answer&)>;

    /// `interval`: least time between two appends of commands that may wait.
    explicit proposal_queue(duration interval) : m_interval(interval) {}

    /// Takes a command's bytes; `answer` is called once, now or later.
    void add(std::string payload, proposal_urgency urgency, callback answer);
    /// Puts into the log what is due. What the log refuses is answered with its refusal.
    template <proposal_log Log>
    void propose_due(Log& log, time_point now);
    /// Returns when `propose_due` has something to do, or nothing while nothing waits.
    [[nodiscard]] std::optional<time_point> get_next_due() const;

    /// Answers whoever waits for a log entry. `outcome` is what applying it did.
    void on_applied(const log_entry& entry, wire::command_result&& outcome, node_id leader);
    /// Answers everybody: what is in the log may or may not be committed, what was not put there is not.
    void fail_all(node_id leader);

private:
    struct queued_command {
        std::string payload;
        callback answer;
    };
    struct proposed_command {
        log_term term = 0; ///< under which it was put into the log
        callback answer;
    };

    duration m_interval;
    std::vector<queued_command> m_waiting;
    bool m_has_immediate = false; ///< one of the waiting cannot wait
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
