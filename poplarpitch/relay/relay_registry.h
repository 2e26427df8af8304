#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/relay/relay_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// A control instance that relays, and its data centre.
struct relay_instance {
    std::uint32_t ip = 0; ///< in host order
    std::string data_centre;

    friend auto operator<=>(const relay_instance&, const relay_instance&) = default;
};

/// Keeps the instances that relay at present, and assigns one of them to each worker.
///
/// A relay in the worker's data centre is preferred, so that most traffic stays there. Where there is none,
/// or several, rendezvous hashing by the worker's hash decides: the workers of a lost relay spread over the
/// others, and no other worker moves. Thread safety: none, as for all methods.
class relay_registry {
public:
    explicit relay_registry(const relay_settings& settings) : m_settings(settings) {}

    /// Removes all relays.
    void clear();
    /// Records that a frame of a relay arrived. Returns true when the relay is new.
    bool record_contact(const relay_instance& relay, time_point now);
    /// Does not count the last `pause` as silence, since this process read no frames during it.
    void ignore_silence(duration pause);
    /// Removes the relays that sent nothing within the timeout, and returns their addresses.
    std::vector<std::uint32_t> remove_timed_out(time_point now);
    /// Returns the relay for a worker, or nothing where there is none.
    [[nodiscard]] std::optional<std::uint32_t> pick(const std::string& data_centre,
                                                    std::uint64_t worker_hash) const;
    /// Returns all relays, sorted by address.
    [[nodiscard]] const std::vector<relay_instance>& get_relays() const { return m_relays; }

private:
    relay_settings m_settings;
    std::vector<relay_instance> m_relays;
    std::map<std::uint32_t, time_point> m_last_contact; ///< time of the last frame of each relay, by address
};

/// Returns the relay out of `relays` for a worker, as `relay_registry` assigns it. Thread safety: any thread.
[[nodiscard]] std::optional<std::uint32_t> pick_relay(const std::vector<relay_instance>& relays,
                                                      const std::string& data_centre,
                                                      std::uint64_t worker_hash);

} // namespace poplarpitch
