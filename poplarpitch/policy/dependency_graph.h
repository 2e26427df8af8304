#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace poplarpitch {

struct configuration;

/// Which services a service needs, directly or over others, and whether they can serve. A request whose
/// needed service has no target is refused at once as not run: letting it start would only hold a slot until
/// its deadline. Thread safety: none, as for all methods.
class dependency_graph {
public:
    /// Reads the dependencies. Precondition: they have no cycle, which the parser guarantees.
    explicit dependency_graph(const configuration& settings);

    /// Notes whether a service has any target with room to serve it.
    void set_available(const std::string& service, bool is_available);
    /// Returns the needed service that cannot serve, or an empty text when all can.
    [[nodiscard]] std::string find_unavailable(const std::string& service) const;
    /// Returns all services that `service` needs, over any number of steps.
    [[nodiscard]] const std::vector<std::string>& get_needs(const std::string& service) const;

private:
    absl::flat_hash_map<std::string, std::vector<std::string>> m_needs;
    absl::flat_hash_map<std::string, bool> m_available;
};

} // namespace poplarpitch
