#include "poplarpitch/http/header_list.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/match.h>

namespace poplarpitch {

std::string header_list::get(std::string_view name) const {
    for (const auto& header : m_headers) {
        if (absl::EqualsIgnoreCase(header.name, to_absl(name))) {
            return header.value;
        }
    }
    return {};
}

bool header_list::has(std::string_view name) const {
    for (const auto& header : m_headers) {
        if (absl::EqualsIgnoreCase(header.name, to_absl(name))) {
            return true;
        }
    }
    return false;
}

void header_list::add(std::string name, std::string value) {
    m_headers.push_back({std::move(name), std::move(value)});
}

} // namespace poplarpitch
