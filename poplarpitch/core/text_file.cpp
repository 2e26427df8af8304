#include "poplarpitch/core/text_file.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace poplarpitch {

std::optional<std::string> read_text_file(const std::string& name) {
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace poplarpitch
