#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// One header line of an HTTP message.
struct http_header {
    std::string name;
    std::string value;

    friend auto operator<=>(const http_header&, const http_header&) = default;
};

/// The headers of an HTTP message, in order; names compare without case.
class header_list {
public:
    /// Returns the first value of `name`, or an empty text. Thread safety: any thread while nobody changes
    /// it.
    [[nodiscard]] std::string get(std::string_view name) const;
    /// Returns true when `name` is there. Thread safety: as `get`.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Adds a header line. Thread safety: none.
    void add(std::string name, std::string value);
    [[nodiscard]] const std::vector<http_header>& get_all() const { return m_headers; }

    friend bool operator==(const header_list&, const header_list&) = default;

private:
    std::vector<http_header> m_headers;
};

} // namespace poplarpitch
