#include "poplarpitch/scheduling/queue_settings.h"

#include "poplarpitch/core/hash.h"

namespace poplarpitch {

std::uint64_t queue_settings::get_hash() const {
    return hash_bytes(host + '\n' + prefix); // neither contains a line feed
}

} // namespace poplarpitch
