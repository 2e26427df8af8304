#include "poplarpitch/policy/dependency_graph.h"

#include "poplarpitch/config/configuration.h"

#include <algorithm>

namespace poplarpitch {
namespace {

/// Adds what `name` needs to `needs`, each once.
void collect(const configuration& settings, const std::string& name, std::vector<std::string>& needs) {
    const auto* service = settings.find_service(name);
    if (service == nullptr) {
        return;
    }
    for (const auto& next : service->depends) {
        if (std::find(needs.begin(), needs.end(), next) == needs.end()) {
            needs.push_back(next);
            collect(settings, next, needs);
        }
    }
}

} // namespace

dependency_graph::dependency_graph(const configuration& settings) {
    for (const auto& service : settings.services) {
        collect(settings, service.name, m_needs[service.name]);
    }
}

const std::vector<std::string>& dependency_graph::get_needs(const std::string& service) const {
    static const std::vector<std::string> none;
    const auto found = m_needs.find(service);
    return found == m_needs.end() ? none : found->second;
}

} // namespace poplarpitch
