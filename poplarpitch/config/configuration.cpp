#include "poplarpitch/config/configuration.h"

#include <algorithm>

namespace poplarpitch {
namespace {

template <class T>
const T* find_by_name(const std::vector<T>& items, std::string_view name) {
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const tenant_settings* configuration::find_tenant(std::string_view name) const {
    return find_by_name(tenants, name);
}

const service_settings* configuration::find_service(std::string_view name) const {
    return find_by_name(services, name);
}

const batch_settings* configuration::find_batch(std::string_view name) const {
    return find_by_name(batches, name);
}

} // namespace poplarpitch
