#include "poplarpitch/tools/log_explainer.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace poplarpitch {
namespace {

// In order of precedence: a line with an earlier event explains the end better than any line with a later
// one.
constexpr std::array<std::string_view, 9> deciding_events = {
    "event=job_given_up",     "event=attempts_exhausted", "event=job_refused",
    "event=request_given_up", "event=lease_lapsed",       "event=run_lost",
    "event=start_refused",    "event=run_ended",          "event=job_ended",
};

std::string_view get_time(std::string_view line) {
    const auto start = line.find("time=");
    return start == std::string_view::npos ? std::string_view{}
                                           : line.substr(start, line.find(' ', start) - start);
}

/// Returns true when a line records a successful end, which is no cause of a problem.
bool is_normal_end(std::string_view line) {
    return line.find("end=done") != std::string_view::npos ||
           line.find("phase=completed") != std::string_view::npos;
}

std::string find_cause(const std::vector<std::string>& lines) {
    for (const auto event : deciding_events) {
        const auto last = std::find_if(lines.rbegin(), lines.rend(), [event](const std::string& line) {
            return absl::StrContains(line, to_absl(event)) && !is_normal_end(line);
        });
        if (last != lines.rend()) {
            return *last;
        }
    }
    return {};
}

/// Returns the id of the process that wrote a log, or the log's position when the log does not contain the
/// id.
std::string find_instance(std::string_view text, std::size_t index) {
    constexpr std::string_view marker = "event=started id=";
    const auto found = text.find(marker);
    if (found == std::string_view::npos) {
        return "log " + std::to_string(index + 1);
    }
    const auto start = found + marker.size();
    return std::string(text.substr(start, text.find_first_of(" \n", start) - start));
}

bool names_job(std::string_view id, const std::vector<std::string>& lines) {
    const auto marker = " job=" + std::string(id);
    return std::any_of(lines.begin(), lines.end(),
                       [&marker](const std::string& line) { return absl::StrContains(line, marker); });
}

} // namespace

log_explanation explain_id(std::string_view id, const std::vector<std::string>& texts) {
    std::vector<log_line> matches;
    for (std::size_t index = 0; index < texts.size(); ++index) {
        const auto instance = find_instance(texts[index], index);
        for (const auto line : absl::StrSplit(texts[index], '\n', absl::SkipEmpty())) {
            if (absl::StrContains(line, to_absl(id))) {
                matches.push_back({instance, std::string(line)});
            }
        }
    }
    std::stable_sort(matches.begin(), matches.end(), [](const log_line& left, const log_line& right) {
        return get_time(left.line) < get_time(right.line);
    });
    log_explanation explanation;
    for (const auto& item : matches) {
        explanation.lines.push_back(item.line);
    }
    explanation.cause = find_cause(explanation.lines);
    if (names_job(id, explanation.lines)) {
        explanation.history = build_run_history(matches);
    }
    return explanation;
}

} // namespace poplarpitch
