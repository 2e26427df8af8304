#include "poplarpitch/core/hash.h"

#include <xxhash.h>

namespace poplarpitch {

std::uint64_t hash_bytes(std::string_view bytes) noexcept {
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace poplarpitch
