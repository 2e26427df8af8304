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

/// The headers of an HTTP message, in order. Names are case-insensitive.
class header_list {
public:
    /// Returns the first value of `name`, or an empty string. Thread safety: any thread, as long as no thread
    /// modifies the list.
    [[nodiscard]] std::string get(std::string_view name) const;
    /// Returns true when there is a header called `name`. Thread safety: as `get`.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Adds a header line. Thread safety: none.
    void add(std::string name, std::string value);
    /// Returns all headers in order. Thread safety: as `get`.
    [[nodiscard]] const std::vector<http_header>& get_all() const { return m_headers; }

    friend bool operator==(const header_list&, const header_list&) = default;

private:
    std::vector<http_header> m_headers;
};

} // namespace poplarpitch
