#include "poplarpitch/core/process_settings.h"

#include <cstdio>
#include <cstdlib>

#include <absl/synchronization/mutex.h>
#include <malloc.h>

namespace poplarpitch {

void limit_malloc_arenas(int count) {
    mallopt(M_ARENA_MAX, count);
}

void disable_deadlock_detection() {
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

void exit_without_cleanup(int code) {
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace poplarpitch
