#pragma once

#include "poplarpitch/core/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace poplarpitch {

/// Remembers which submissions this leader has refused, so that it does not accept another copy of one that
/// was on its way at that time: its caller was told that the job never runs.
///
/// A caller that returns after the refusal is served: its request reached an entry instance after the
/// refusal. Copies older than the lifetime of a request are refused by their age. When there are too many
/// refusals, the oldest are forgotten. Thread safety: none, as for all methods.
class recent_refusals {
public:
    static constexpr std::size_t max_refusals = 16'384; ///< about 1 MB
    static constexpr duration lifetime = seconds{30};   ///< no caller waits longer

    /// Records that a submission was refused. `key` is the hash of its host and path.
    void record(std::uint64_t key, time_point now);
    /// Returns true when the submission was refused after `received`, the time at which an entry instance
    /// read this copy of it.
    [[nodiscard]] bool was_refused_since(std::uint64_t key, time_point received, time_point now);
    void clear();
    [[nodiscard]] std::size_t get_size() const { return m_refused_at.size(); }

private:
    struct refusal {
        std::uint64_t key = 0;
        time_point at{};
    };

    /// Forgets refusals that are too old, and the oldest while there are more than `max_refusals`.
    void forget_old(time_point now);

    absl::flat_hash_map<std::uint64_t, time_point> m_refused_at; ///< the last refusal of each key
    std::deque<refusal> m_order;                                 ///< all refusals, the oldest first
};

} // namespace poplarpitch
