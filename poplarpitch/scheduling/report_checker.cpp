#include "poplarpitch/scheduling/report_checker.h"

#include "poplarpitch/core/text.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <algorithm>
#include <array>

namespace poplarpitch {
namespace {

bool has_only_utf8(const worker_report& report) {
    const std::array texts{&report.incarnation.id, &report.address, &report.pool,
                           &report.data_centre,    &report.machine, &report.rack};
    const auto is_readable = [](const std::string& text) {
        return is_utf8(text);
    };
    return std::all_of(texts.begin(), texts.end(), [](const std::string* text) { return is_utf8(*text); }) &&
           std::all_of(report.labels.begin(), report.labels.end(), is_readable);
}

} // namespace

std::optional<std::string> find_report_error(const worker_report& report) {
    if (report.incarnation.id.empty()) {
        return "the id is empty";
    }
    if (report.pool.empty()) {
        return "the pool is missing";
    }
    if (!has_only_utf8(report)) {
        return "the id or another text is not UTF-8";
    }
    if (report.incarnation.process_start_ms < 0) {
        return "the start time cannot be read";
    }
    const auto& capacity = report.capacity;
    if (capacity.millicores < 0 || capacity.memory_mb < 0 || capacity.accelerators < 0 ||
        report.remaining_ms < 0) {
        return "an amount is negative";
    }
    return std::nullopt;
}

} // namespace poplarpitch
