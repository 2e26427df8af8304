#include "poplarpitch/tools/log_explainer.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace poplarpitch {
namespace {

// The most telling first: a line of an earlier kind decides over all of later kinds.
constexpr std::array<std::string_view, 8> deciding_events = {
    "event=job_given_up", "event=job_refused",   "event=request_given_up", "event=lease_lapsed",
    "event=run_lost",     "event=start_refused", "event=run_ended",        "event=job_ended",
};

std::string_view get_time(std::string_view line) {
    const auto start = line.find("time=");
    return start == std::string_view::npos ? std::string_view{}
                                           : line.substr(start, line.find(' ', start) - start);
}

/// An end that is as it should be explains nothing.
bool is_good_end(std::string_view line) {
    return line.find("end=done") != std::string_view::npos ||
           line.find("phase=completed") != std::string_view::npos;
}

std::string find_cause(const std::vector<std::string>& lines) {
    for (const auto event : deciding_events) {
        const auto last = std::find_if(lines.rbegin(), lines.rend(), [event](const std::string& line) {
            return absl::StrContains(line, to_absl(event)) && !is_good_end(line);
        });
        if (last != lines.rend()) {
            return *last;
        }
    }
    return {};
}

} // namespace

log_story explain_id(std::string_view id, const std::vector<std::string>& texts) {
    log_story story;
    for (const auto& text : texts) {
        for (const auto line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
            if (absl::StrContains(line, to_absl(id))) {
                story.lines.emplace_back(line);
            }
        }
    }
    std::stable_sort(
        story.lines.begin(), story.lines.end(),
        [](const std::string& left, const std::string& right) { return get_time(left) < get_time(right); });
    story.cause = find_cause(story.lines);
    return story;
}

} // namespace poplarpitch
