#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <vector>

namespace poplarpitch {

/// Queue of tasks for the control thread. Other threads post tasks; the control thread runs them. It takes
/// all tasks that arrived during its last iteration at once, so that one sync commits them as a group. Thread
/// safety: any thread for `post` and `stop`; only the control thread may call `take`.
class control_task_queue {
public:
    using task = std::function<void()>;

    /// Queues a task. Returns false and drops the task when the queue was stopped.
    bool post(task work);
    /// Waits until a task is queued, for `limit` at most, and takes all queued tasks.
    std::vector<task> take(duration limit);
    /// Rejects further tasks and makes `take` return without waiting.
    void stop();
    [[nodiscard]] bool is_stopped();

private:
    absl::Mutex m_mutex;
    std::vector<task> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
