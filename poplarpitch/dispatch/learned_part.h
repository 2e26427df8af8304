#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpitch {

/// A part of the leader whose learned values outlive it. A new leader loads what the former one saved.
///
/// `save` returns at most `max_bytes`; a part with more to say drops its least important entries. The same
/// state gives the same bytes, so that only changes are written. `load` replaces the part's values; it
/// returns false and changes nothing when the bytes cannot be read. `wall_ms` is the time of the call,
/// milliseconds since 1970: bodies hold no `time_point`, since the clocks of two instances differ.
template <class Part>
concept learned_part = requires(Part& part, const Part& saved, std::string_view body, std::int64_t wall_ms,
                                std::size_t max_bytes) {
    { Part::part_name } -> std::convertible_to<std::string_view>;
    { Part::format_version } -> std::convertible_to<std::uint32_t>;
    { saved.save(wall_ms, max_bytes) } -> std::same_as<std::string>;
    { part.load(body, wall_ms) } -> std::same_as<bool>;
};

} // namespace poplarpitch
