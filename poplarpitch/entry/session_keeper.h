#pragma once

#include "poplarpitch/core/system_clock.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

class control_client;
class entry_state;
class session_lease;

/// Keeps the entry's session with control alive: renews it and applies the updates in each answer. Thread
/// safety: none; the entry's control thread owns it.
class session_keeper {
public:
    /// Precondition: all referenced objects outlive the keeper.
    session_keeper(entry_state& state, control_client& control, session_lease& lease, std::string entry_id,
                   std::string address, std::string data_centre);

    /// Sends one renewal. Returns true when it was granted.
    bool renew();
    /// Tells control that this entry is shutting down, so that its workers move to other entries.
    void drain();
    /// Ends the session at once.
    void close();

private:
    entry_state& m_state;
    control_client& m_control;
    session_lease& m_lease;
    const std::string m_entry_id;
    const std::string m_address;
    const std::string m_data_centre;
    const std::uint64_t m_incarnation; ///< start time of the process, which increases with restarts
    const system_clock m_clock{};
    bool m_was_granted = false;
};

} // namespace poplarpitch
