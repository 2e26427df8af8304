#include "poplarpitch/core/process_settings.h"

#include <cstdio>
#include <cstdlib>

#include <absl/synchronization/mutex.h>
#include <malloc.h>

namespace poplarpitch {

void limit_malloc_arenas(int count) {
    mallopt(M_ARENA_MAX, count);
}

void skip_mutex_checks() {
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

void leave_process(int code) {
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace poplarpitch
