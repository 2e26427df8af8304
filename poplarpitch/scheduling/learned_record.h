#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// What one part of a leader has learned, as that part wrote it. Nothing but that part interprets the body.
struct learned_record {
    std::string part;            ///< name of the part
    std::uint32_t version = 0;   ///< of the format of `body`
    std::string body;            ///< bytes
    std::int64_t written_ms = 0; ///< wall time of the leader that wrote it, milliseconds since 1970

    friend auto operator<=>(const learned_record&, const learned_record&) = default;
};

} // namespace poplarpitch
