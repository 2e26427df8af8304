#pragma once

#include <cstdint>
#include <string>

namespace poplarpitch {

/// Why a field of a JSON document cannot be read.
enum class field_problem : std::uint8_t {
    missing,
    null,
    wrong_type, ///< for example a text where a number is expected
    negative,
    fractional, ///< a number with a fraction where a whole one is expected
    too_small,
    too_large,
};

/// A field that cannot be read. `field` is its path from the top of the document, such as
/// `routes[2].timeoutMs`, and empty for the document itself.
struct field_error {
    std::string field;
    field_problem problem = field_problem::missing;

    friend bool operator==(const field_error&, const field_error&) = default;

    /// Returns a sentence for the sender of the document. Thread safety: any thread.
    [[nodiscard]] std::string describe() const;
};

} // namespace poplarpitch
