#pragma once

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <string>
#include <vector>

namespace poplarpitch {

struct configuration;

/// Which services a service needs, directly or over others. A request whose needed service has no target is
/// refused at once as not run: letting it start would only hold a slot until its deadline. Thread safety: any
/// thread, for all methods: it never changes.
class dependency_graph {
public:
    /// Reads the dependencies. Precondition: they have no cycle, which the parser guarantees.
    explicit dependency_graph(const configuration& settings);

    /// Returns the first needed service for which `can_serve(name)` is false, or an empty text when there is
    /// none.
    template <std::predicate<const std::string&> Predicate>
    [[nodiscard]] std::string find_unavailable(const std::string& service, Predicate can_serve) const {
        for (const auto& dependency : get_dependencies(service)) {
            if (!can_serve(dependency)) {
                return dependency;
            }
        }
        return {};
    }
    /// Returns all services that `service` needs, over any number of steps.
    [[nodiscard]] const std::vector<std::string>& get_dependencies(const std::string& service) const;

private:
    absl::flat_hash_map<std::string, std::vector<std::string>> m_dependencies;
};

} // namespace poplarpitch
