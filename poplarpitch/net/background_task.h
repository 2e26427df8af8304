#pragma once

#include <functional>
#include <memory>

namespace poplarpitch {

class event_loop;

/// Runs blocking work, such as syncing a file, on a separate thread. It runs one piece of work at a time and
/// reports completion on the loop's thread.
///
/// A loop that blocked on the disk itself could serve nothing else meanwhile. With a sync of 6 ms for each
/// batch of commands, that is a third of a busy leader's time. Thread safety: the loop's thread, for all
/// methods.
class background_task {
public:
    /// Precondition: `loop` outlives the object and runs none of its handlers after it is destroyed.
    explicit background_task(event_loop& loop);
    /// Waits for the work in progress.
    ~background_task();
    background_task(const background_task&) = delete;
    background_task& operator=(const background_task&) = delete;

    /// Runs `work` on the background thread, then `on_done` on the loop's thread. The caller must not use the
    /// data that `work` accesses until `on_done` is called. Precondition: no work is in progress.
    void run(std::function<void()> work, std::function<void()> on_done);
    /// Returns true from the call of `run` until `on_done` is called.
    [[nodiscard]] bool is_running() const { return m_is_running; }

private:
    struct impl;

    std::unique_ptr<impl> m_impl;
    bool m_is_running = false;
};

} // namespace poplarpitch
