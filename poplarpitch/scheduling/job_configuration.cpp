#include "poplarpitch/scheduling/job_configuration.h"

namespace poplarpitch {

const queue_settings* job_configuration::find_queue(std::string_view host, std::string_view path) const {
    const queue_settings* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.prefix)) {
            continue;
        }
        if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
            best = &queue;
        }
    }
    return best;
}

const pool_settings* job_configuration::find_pool(std::string_view name) const {
    for (const auto& pool : pools) {
        if (pool.name == name) {
            return &pool;
        }
    }
    return nullptr;
}

} // namespace poplarpitch
