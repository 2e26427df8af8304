#pragma once

#include <functional>
#include <memory>

namespace poplarpitch {

class event_loop;

/// A thread of its own for work that waits, such as syncing a file: one piece at a time, whose end is told on
/// the loop's thread.
///
/// A loop that waited for the disk itself would answer nobody meanwhile: with a sync of 6 ms for each batch
/// of commands a third of a busy leader's time. Thread safety: the loop's thread, for all methods.
class background_task {
public:
    /// Precondition: `loop` outlives the object and runs no handler of it after it is gone.
    explicit background_task(event_loop& loop);
    /// Waits for the work under way.
    ~background_task();
    background_task(const background_task&) = delete;
    background_task& operator=(const background_task&) = delete;

    /// Runs `work` on the other thread, then `on_done` on the loop's. What `work` touches belongs to it until
    /// then. Precondition: no work is under way.
    void run(std::function<void()> work, std::function<void()> on_done);
    /// Returns true from `run` until `on_done` is called.
    [[nodiscard]] bool is_running() const { return m_is_running; }

private:
    struct impl;

    std::unique_ptr<impl> m_impl;
    bool m_is_running = false;
};

} // namespace poplarpitch
