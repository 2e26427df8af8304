#include "poplarpitch/stand_in/run_record.h"

#include "poplarpitch/core/system_clock.h"

#include <algorithm>

namespace poplarpitch {
namespace {

std::string replace_blanks(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](char character) { return character <= ' '; }, '_');
    return text.empty() ? "-" : text;
}

} // namespace

run_record::run_record(const std::string& file) {
    const absl::MutexLock lock(&m_mutex);
    if (!file.empty()) {
        m_file = std::fopen(file.c_str(), "ae");
    }
}

run_record::~run_record() {
    const absl::MutexLock lock(&m_mutex);
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void run_record::write(const std::string& kind, const std::string& worker, const std::string& id,
                       const std::string& detail) {
    const auto now = system_clock().now().time_since_epoch().count() / 1000;
    const auto line = kind + " " + worker + " " + replace_blanks(id) + " " + replace_blanks(detail) + " " +
                      std::to_string(now) + "\n";
    const absl::MutexLock lock(&m_mutex);
    if (m_file != nullptr) {
        std::fputs(line.c_str(), m_file);
        std::fflush(m_file); // hands the line to the kernel, so that it survives SIGKILL
    }
}

} // namespace poplarpitch
