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

/// Returns the name of the process that wrote a log.
std::string find_instance(std::string_view text, std::size_t place) {
    constexpr std::string_view mark = "event=started id=";
    const auto found = text.find(mark);
    if (found == std::string_view::npos) {
        return "log " + std::to_string(place + 1);
    }
    const auto start = found + mark.size();
    return std::string(text.substr(start, text.find_first_of(" \n", start) - start));
}

bool names_job(std::string_view id, const std::vector<std::string>& lines) {
    const auto mark = " job=" + std::string(id);
    return std::any_of(lines.begin(), lines.end(),
                       [&mark](const std::string& line) { return absl::StrContains(line, mark); });
}

} // namespace

log_story explain_id(std::string_view id, const std::vector<std::string>& texts) {
    std::vector<told_line> told;
    for (std::size_t place = 0; place < texts.size(); ++place) {
        const auto instance = find_instance(texts[place], place);
        for (const auto line : absl::StrSplit(texts[place], '\n', absl::SkipEmpty())) {
            if (absl::StrContains(line, to_absl(id))) {
                told.push_back({instance, std::string(line)});
            }
        }
    }
    std::stable_sort(told.begin(), told.end(), [](const told_line& left, const told_line& right) {
        return get_time(left.line) < get_time(right.line);
    });
    log_story story;
    for (const auto& item : told) {
        story.lines.push_back(item.line);
    }
    story.cause = find_cause(story.lines);
    if (names_job(id, story.lines)) {
        story.history = tell_runs(told);
    }
    return story;
}

} // namespace poplarpitch
