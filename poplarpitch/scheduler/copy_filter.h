#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduler/recent_refusals.h"

#include <cstdint>

namespace poplarpitch::job_wire {
class relay_request;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// Recognises callers' requests that came too late to be handled: those that were on their way for longer
/// than their callers wait, and copies of a submission that this leader has refused meanwhile.
///
/// Entry instances tell when they received a request, on the leader's steady clock. Requests of a release
/// that does not tell it are never recognised. Thread safety: none, as for all methods.
class copy_filter {
public:
    /// Returns true when a request was on its way for longer than its caller waits. The network held it up,
    /// or this process was suspended, and another copy of it may have been answered meanwhile.
    [[nodiscard]] static bool is_expired(const job_wire::relay_request& request, time_point now);
    /// Returns for how long a request was on its way, in milliseconds.
    [[nodiscard]] static std::int64_t get_age_ms(const job_wire::relay_request& request, time_point now);
    /// Returns what names a submission, whichever instance it comes through.
    [[nodiscard]] static std::uint64_t get_key(const job_wire::relay_request& request);

    /// Records the answer to a submission.
    void record_answer(std::uint64_t key, int status, time_point now);
    /// Returns true when another copy of this submission was refused after an entry instance had received
    /// this one: the caller was told that its job never runs. A caller that returns after a refusal is
    /// served.
    [[nodiscard]] bool was_copy_refused(const job_wire::relay_request& request, time_point now);
    /// Forgets all refusals.
    void clear() { m_refusals.clear(); }

private:
    recent_refusals m_refusals;
};

} // namespace poplarpitch
