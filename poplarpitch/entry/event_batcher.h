#pragma once

#include "poplarpitch/core/answer_slot.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/event_batcher_settings.h"
#include "poplarpitch/transport/transport_error.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace poplarpitch {

/// A type that commits several commands with one call, like `control_client::propose_batch`.
template <class T>
concept batch_committer = requires(T& control, const std::vector<wire::command>& commands,
                                   time_point deadline) {
    { control.propose_batch(commands, deadline) } -> std::same_as<result<std::vector<wire::command_result>>>;
};

/// Whether posted events may wait to be sent in one batch with others.
enum class flush_mode : std::uint8_t {
    batched,   ///< wait until the interval is over
    immediate, ///< do not wait because a user waits for the result; events that are already queued are sent
               ///< too
};

/// Batches events of tasks and commits them to the log with few calls, on a thread of its own. A separate
/// call for each event costs the leader more than the commit itself. An event after an idle period is sent at
/// once; under load each event waits at most for the interval. Thread safety: any thread, for all methods.
template <batch_committer Control>
class event_batcher {
public:
    /// The results of the events of one `post`, in their order. After an error each event may still be
    /// committed.
    using outcome = result<std::vector<wire::command_result>>;
    using callback = std::function<void(const outcome&)>;

    /// Precondition: `control` outlives the batcher.
    explicit event_batcher(Control& control, const event_batcher_settings& settings = {})
        : m_control(control), m_settings(settings), m_sender([this] { run(); }) {}
    ~event_batcher() { finish(); }
    event_batcher(const event_batcher&) = delete;
    event_batcher& operator=(const event_batcher&) = delete;

    /// Queues a group of events. `done` is called once, on the batcher's thread, or on the calling thread
    /// when the queue refuses them. Precondition: `events` is not empty.
    void post(std::vector<wire::command>&& events, callback done, flush_mode mode = flush_mode::batched) {
        {
            const absl::MutexLock lock(&m_mutex);
            if (!m_is_finished && m_count + events.size() <= m_settings.max_queued) {
                m_count += events.size();
                m_is_flush_due = m_is_flush_due || mode == flush_mode::immediate;
                m_groups.push_back({std::move(events), std::move(done)});
                return;
            }
        }
        done(make_error_code(transport_errc::unreachable));
    }

    /// Queues events and waits for their results, at most for `commit_wait` of the settings. After that it
    /// returns `timed_out`, and the events may still be committed.
    outcome commit(std::vector<wire::command>&& events, flush_mode mode = flush_mode::batched) {
        const auto slot = std::make_shared<answer_slot<outcome>>();
        const auto store_outcome = [slot](const outcome& answer) {
            slot->set_value(answer);
        };
        post(std::move(events), store_outcome, mode);
        // While control is unreachable, earlier batches are in front, and each of them waits for its own
        // timeout.
        return slot->wait_for(m_settings.commit_wait).value_or(make_error_code(transport_errc::timed_out));
    }

    /// Sends the queued events, then stops the thread. Events posted later are refused.
    void finish() {
        {
            const absl::MutexLock lock(&m_mutex);
            m_is_finished = true;
        }
        if (m_sender.joinable()) {
            m_sender.join();
        }
    }

private:
    struct group {
        std::vector<wire::command> events;
        callback done;
    };

    void run() {
        time_point next_call{};
        for (auto batch = take_batch(next_call); !batch.empty(); batch = take_batch(next_call)) {
            next_call = m_clock.now() + m_settings.interval;
            send(batch);
        }
    }

    /// Waits until a batch is due and returns it; returns an empty batch once finished.
    std::vector<group> take_batch(time_point next_call) {
        const absl::MutexLock lock(&m_mutex);
        const auto has_events = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            return m_count > 0 || m_is_finished;
        };
        const auto is_batch_due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            return m_is_flush_due || m_count >= m_settings.max_batch || m_is_finished;
        };
        m_mutex.Await(absl::Condition(&has_events));
        const auto wait = std::max<std::int64_t>((next_call - m_clock.now()).count(), 0);
        m_mutex.AwaitWithTimeout(absl::Condition(&is_batch_due), absl::Nanoseconds(wait));
        std::vector<group> batch;
        std::size_t taken = 0;
        while (!m_groups.empty() && taken < m_settings.max_batch) {
            taken += m_groups.front().events.size();
            batch.push_back(std::move(m_groups.front()));
            m_groups.pop_front();
        }
        m_count -= taken;
        m_is_flush_due = m_is_flush_due && !m_groups.empty();
        return batch;
    }

    void send(std::vector<group>& batch) {
        std::vector<wire::command> events;
        for (auto& item : batch) { // keeps each group's size, which is needed below
            std::move(item.events.begin(), item.events.end(), std::back_inserter(events));
        }
        auto answer = m_control.propose_batch(events, m_clock.now() + m_settings.commit_timeout);
        std::size_t offset = 0;
        for (const auto& item : batch) {
            if (!answer) {
                item.done(answer.error());
                continue;
            }
            const auto first = answer.value().begin() + static_cast<std::ptrdiff_t>(offset);
            offset += item.events.size();
            const auto last = answer.value().begin() + static_cast<std::ptrdiff_t>(offset);
            item.done(std::vector<wire::command_result>(std::make_move_iterator(first),
                                                        std::make_move_iterator(last)));
        }
    }

    Control& m_control;
    const event_batcher_settings m_settings;
    const system_clock m_clock{};
    absl::Mutex m_mutex;
    std::deque<group> m_groups ABSL_GUARDED_BY(m_mutex);
    std::size_t m_count ABSL_GUARDED_BY(m_mutex) = 0;     ///< number of events in all groups
    bool m_is_flush_due ABSL_GUARDED_BY(m_mutex) = false; ///< a queued group must be sent immediately
    bool m_is_finished ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_sender; ///< declared last: it starts once all other members are initialized
};

} // namespace poplarpitch
