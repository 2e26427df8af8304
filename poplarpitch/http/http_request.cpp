#include "poplarpitch/http/http_request.h"

#include <absl/strings/str_split.h>

namespace poplarpitch {

std::string http_request::get_query(const std::string& key) const {
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    const std::string query = target.substr(mark + 1);
    for (const auto part : absl::StrSplit(query, '&')) {
        const std::pair<std::string, std::string> item = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (item.first == key) {
            return item.second;
        }
    }
    return {};
}

} // namespace poplarpitch
