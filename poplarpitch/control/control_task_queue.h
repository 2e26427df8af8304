#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <vector>

namespace poplarpitch {

/// The mailbox of the control thread: other threads post work, one thread runs it. Everything that arrived
/// while the last batch ran is taken together, which is what makes group commit work. Thread safety: any
/// thread for `post` and `stop`; `take` is for the one control thread.
class control_task_queue {
public:
    using task = std::function<void()>;

    /// Queues work. Returns false when the loop was stopped; then the work is dropped.
    bool post(task work);
    /// Waits for work, at most for `limit`, and takes all of it.
    std::vector<task> take(duration limit);
    /// Makes `take` return at once from now on.
    void stop();
    [[nodiscard]] bool is_stopped();

private:
    absl::Mutex m_mutex;
    std::vector<task> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
