#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarpitch::job_wire {
class load_digest;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// A leader's statement of its load, as an entry instance uses it.
struct load_statement {
    std::uint64_t term = 0;
    std::uint64_t version = 0;   ///< rises within the term
    duration validity{};         ///< from its arrival
    duration return_spread{};    ///< time over which refused callers are to return; zero while no work waits
    std::uint64_t open_jobs = 0; ///< accepted jobs that have not ended

    friend auto operator<=>(const load_statement&, const load_statement&) = default;
};

/// Converts a digest from the wire. Durations out of range are brought to their nearest bound. Thread safety:
/// any thread.
[[nodiscard]] load_statement read_load_digest(const job_wire::load_digest& message);

/// Keeps the newest load digest of the leaders, and spreads the return of callers that are refused for want
/// of a leader.
///
/// It decides only when a refused caller is asked to come back, never whether a request is refused: an entry
/// instance cannot tell a repeated submission of an accepted job from a new one, so only the leader may
/// refuse for load. Thread safety: none, as for all methods.
class admission_digest {
public:
    /// Upper bounds for what a leader may state.
    static constexpr duration max_validity = seconds{60};
    static constexpr duration max_return_spread = seconds{10};

    /// What became of a digest that arrived.
    enum class update_result : std::uint8_t {
        ignored,  ///< it is not newer than the one kept, or is not valid for any time
        updated,  ///< a newer version of the term that is kept
        new_term, ///< the first one kept of its term
    };

    /// Keeps `statement` if it is newer than the one kept, by term and then by version. One whose validity
    /// has passed is dropped first and no longer compared, so that a cluster that was founded again, with
    /// lower terms, is followed.
    update_result update(const load_statement& statement, time_point now);
    /// Returns the digest kept, or nothing when there is none or its validity has passed.
    [[nodiscard]] std::optional<load_statement> find(time_point now) const;
    /// Returns the time since the digest kept arrived, or nothing when there is none or its validity has
    /// passed.
    [[nodiscard]] std::optional<duration> get_age(time_point now) const;
    /// Returns by how much later than others the sender of a request for `target` is asked to come back:
    /// between zero and the spread, the same at all entry instances. Zero without a valid digest.
    [[nodiscard]] duration get_return_delay(std::string_view target, time_point now) const;

private:
    std::optional<load_statement> m_kept;
    time_point m_arrived_at{};
};

} // namespace poplarpitch
