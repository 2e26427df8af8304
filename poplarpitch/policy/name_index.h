#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace poplarpitch {

/// Gives names dense numbers, so that models can keep their rows in arrays. Thread safety: none.
class name_index {
public:
    /// Returns the number of `name`, giving it the next one when it is new.
    std::uint32_t get(const std::string& name) {
        const auto next = static_cast<std::uint32_t>(m_numbers.size());
        return m_numbers.emplace(name, next).first->second;
    }

    /// Returns the number of `name`, or nothing when it has none.
    [[nodiscard]] std::optional<std::uint32_t> find(const std::string& name) const {
        const auto found = m_numbers.find(name);
        return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
    }

private:
    absl::flat_hash_map<std::string, std::uint32_t> m_numbers;
};

} // namespace poplarpitch
