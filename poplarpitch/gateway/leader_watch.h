#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <set>

namespace poplarpitch {

/// Decides which control instances an entry instance asks about the leader, and how often.
///
/// By default it asks the leader itself, three times a second. That load grows with the number of entry
/// instances, so a leader with many of them asks them to follow it through another instance, the observer.
/// The observer hears the leader ten times a second anyway, tells how long ago that was, and reports a new
/// leader at once. The leader itself is then asked seldom, which shows whether the path to it still works.
/// The entry instances spread over the observers by hash. Weighed against a leader that sends its status
/// unasked: that halves the leader's work, but it still grows with the number of entry instances.
///
/// The observer only tells that the leader lives. Whether a change may be sent to the leader is decided by
/// what the leader itself answers. Thread safety: none, as for all methods.
class leader_watch {
public:
    /// `own_hash` differs between entry instances.
    explicit leader_watch(std::uint64_t own_hash) : m_own_hash(own_hash) {}

    /// Called with each status of the leader at `leader`. `wants_followers_asked`: it asks to be followed
    /// through another one of `instances`, which are all known control instances.
    void on_leader_status(std::uint32_t leader, bool wants_followers_asked,
                          const std::set<std::uint32_t>& instances);
    /// Called with each status of the observer, which heard the leader at `told_leader` this long ago. 0: it
    /// knows none.
    void on_observer_status(std::uint32_t told_leader, duration age, time_point now);
    /// Called when the connection to the observer ended. Another one is chosen at the leader's next status.
    void on_observer_lost();
    /// Called when the leader at `leader` is asked.
    void on_leader_asked(time_point now) { m_leader_asked_at = now; }

    /// Returns the observer, or 0 while there is none.
    [[nodiscard]] std::uint32_t get_observer() const { return m_observer; }
    /// Returns the last time at which the observer is known to have heard the leader at `leader`.
    [[nodiscard]] time_point get_heard_at(std::uint32_t leader) const;
    /// Returns true when the leader at `leader` should be asked itself, because the observer has not heard it
    /// lately or the path to it was not used for some time.
    [[nodiscard]] bool must_ask_leader(std::uint32_t leader, time_point now) const;
    /// Returns true when all instances should be asked for a leader, `searched` after it was lost. The
    /// observer reports a new one first.
    [[nodiscard]] bool must_ask_all(duration searched) const;

private:
    std::uint64_t m_own_hash;
    std::uint32_t m_observer = 0;
    std::uint32_t m_lost_observer = 0; ///< the last one whose connection ended; not chosen again at once
    std::uint32_t m_told_leader = 0;   ///< by the observer
    time_point m_told_heard_at{};      ///< when the observer had heard it
    time_point m_leader_asked_at{};
};

} // namespace poplarpitch
