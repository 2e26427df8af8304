#pragma once

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <string>
#include <vector>

namespace poplarpitch {

struct configuration;

/// The services that each service depends on, directly or indirectly. A request to a service with a
/// dependency that has no target is refused at once as not run: it would only hold a slot until its deadline.
/// Thread safety: any thread, for all methods, since the object is immutable.
class dependency_graph {
public:
    /// Reads the dependencies. Precondition: they have no cycle, which the parser guarantees.
    explicit dependency_graph(const configuration& settings);

    /// Returns the first dependency of `service` for which `can_serve(name)` is false, or an empty string
    /// when there is none.
    template <std::predicate<const std::string&> Predicate>
    [[nodiscard]] std::string find_unavailable(const std::string& service, Predicate can_serve) const {
        for (const auto& dependency : get_dependencies(service)) {
            if (!can_serve(dependency)) {
                return dependency;
            }
        }
        return {};
    }
    /// Returns all direct and indirect dependencies of `service`; empty when it is not known.
    [[nodiscard]] const std::vector<std::string>& get_dependencies(const std::string& service) const;

private:
    absl::flat_hash_map<std::string, std::vector<std::string>> m_dependencies;
};

} // namespace poplarpitch
