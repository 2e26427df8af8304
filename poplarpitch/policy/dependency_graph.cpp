#include "poplarpitch/policy/dependency_graph.h"

#include "poplarpitch/config/configuration.h"

#include <algorithm>

namespace poplarpitch {
namespace {

/// Appends the direct and indirect dependencies of `name` to `dependencies`, each once.
void collect_dependencies(const configuration& settings, const std::string& name,
                          std::vector<std::string>& dependencies) {
    const auto* service = settings.find_service(name);
    if (service == nullptr) {
        return;
    }
    for (const auto& next : service->dependencies) {
        if (std::find(dependencies.begin(), dependencies.end(), next) == dependencies.end()) {
            dependencies.push_back(next);
            collect_dependencies(settings, next, dependencies);
        }
    }
}

} // namespace

dependency_graph::dependency_graph(const configuration& settings) {
    for (const auto& service : settings.services) {
        collect_dependencies(settings, service.name, m_dependencies[service.name]);
    }
}

const std::vector<std::string>& dependency_graph::get_dependencies(const std::string& service) const {
    static const std::vector<std::string> none;
    const auto found = m_dependencies.find(service);
    return found == m_dependencies.end() ? none : found->second;
}

} // namespace poplarpitch
