#include "poplarpitch/scheduling/configuration_checker.h"

#include "poplarpitch/scheduling/job_configuration.h"

#include <set>
#include <utility>

namespace poplarpitch {

std::optional<std::string> find_configuration_error(const job_configuration& configuration) {
    if (configuration.version == 0) {
        return "the version is 0";
    }
    if (configuration.has_invalid_version()) {
        return "the version is too large";
    }
    std::set<std::pair<std::string, std::string>> host_prefixes;
    for (const auto& queue : configuration.queues) {
        if (configuration.find_pool(queue.pool) == nullptr) {
            return "queue " + queue.name + " names the unknown pool " + queue.pool;
        }
        if (queue.timeout <= duration{0}) {
            return "queue " + queue.name + " has no timeout";
        }
        if (!host_prefixes.emplace(queue.host, queue.prefix).second) {
            return "queue " + queue.name + " shares host and prefix with another";
        }
    }
    return std::nullopt;
}

} // namespace poplarpitch
