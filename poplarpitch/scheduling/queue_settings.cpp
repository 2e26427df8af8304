#include "poplarpitch/scheduling/queue_settings.h"

#include "poplarpitch/core/hash.h"

namespace poplarpitch {

std::uint64_t queue_settings::get_hash() const {
    return hash_bytes(host + '\n' + prefix); // no host or path of a request has a line feed
}

} // namespace poplarpitch
