#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch::job_wire {
class load_digest;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// The leader's own figures of its load.
struct leader_figures {
    duration backlog_time{};     ///< in which the work that waits is done; zero while none waits
    std::uint64_t open_jobs = 0; ///< accepted jobs that have not ended

    friend auto operator<=>(const leader_figures&, const leader_figures&) = default;
};

/// Writes the load digests of a leader, and numbers them within its term. Thread safety: none.
class load_digest_writer {
public:
    /// Upper bound of the spread. With a longer backlog, the next leader refuses the jobs that would be too
    /// late and gives each caller its own time.
    static constexpr duration max_return_spread = seconds{10};
    /// How long a digest is used. All control instances may be without power for 5 to 10 s, and an election
    /// and the first attempts of callers take some seconds more.
    static constexpr duration validity = seconds{15};

    /// Fills `digest` with the next version in `term`.
    void write(log_term term, const leader_figures& figures, job_wire::load_digest& digest);

private:
    log_term m_term = 0;
    std::uint64_t m_version = 0;
};

} // namespace poplarpitch
