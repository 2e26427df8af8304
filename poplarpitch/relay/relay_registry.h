#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/relay/relay_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// An instance that relays.
struct relay_place {
    std::uint32_t ip = 0; ///< in host order
    std::string data_centre;

    friend auto operator<=>(const relay_place&, const relay_place&) = default;
};

/// Which instances relay at present, and which one is for a worker: one in its data centre where there is
/// one, so that most bytes stay there. Where there is none, or several, the worker's hash decides, so that a
/// lost relay's share spreads over the others and no other worker moves. Thread safety: none, as for all
/// methods.
class relay_registry {
public:
    explicit relay_registry(const relay_settings& settings) : m_settings(settings) {}

    /// Forgets all relays.
    void clear();
    /// Notes that a relay was heard. Returns true when it was not there before.
    bool record_contact(const relay_place& place, time_point now);
    /// Takes out the relays that fell silent, and returns their addresses.
    std::vector<std::uint32_t> remove_timed_out(time_point now);
    /// Returns the relay for a worker, or nothing where there is none at all.
    [[nodiscard]] std::optional<std::uint32_t> pick(const std::string& data_centre,
                                                    std::uint64_t worker_hash) const;
    /// Returns all relays, by address.
    [[nodiscard]] const std::vector<relay_place>& get_places() const { return m_places; }

private:
    relay_settings m_settings;
    std::vector<relay_place> m_places;
    std::map<std::uint32_t, time_point> m_last_contact; ///< when each was heard last, by address
};

/// Returns the one of `places` for a worker, by the rule above. Thread safety: any thread.
[[nodiscard]] std::optional<std::uint32_t>
pick_relay(const std::vector<relay_place>& places, const std::string& data_centre, std::uint64_t worker_hash);

} // namespace poplarpitch
