#include "poplarpitch/core/malloc_settings.h"

#include <malloc.h>

namespace poplarpitch {

void limit_malloc_arenas(int count) {
    mallopt(M_ARENA_MAX, count);
}

} // namespace poplarpitch
