#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace poplarpitch {

/// Maps names to dense indices, so that models can keep their rows in arrays. Thread safety: none.
class name_index {
public:
    /// Returns the index of `name`; a new name gets the next one.
    std::uint32_t get(const std::string& name) {
        const auto next = static_cast<std::uint32_t>(m_numbers.size());
        return m_numbers.emplace(name, next).first->second;
    }

    /// Returns the index of `name`, or nothing when it has none.
    [[nodiscard]] std::optional<std::uint32_t> find(const std::string& name) const {
        const auto found = m_numbers.find(name);
        return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
    }

private:
    absl::flat_hash_map<std::string, std::uint32_t> m_numbers;
};

} // namespace poplarpitch
