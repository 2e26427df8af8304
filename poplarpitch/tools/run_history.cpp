#include "poplarpitch/tools/run_history.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

namespace poplarpitch {
namespace {

constexpr std::array<std::string_view, 4> end_events = {"run_ended", "lease_lapsed", "run_lost",
                                                        "run_not_listed"};

/// Returns the value of a key, or an empty text when the line does not contain the key.
std::string get_value(const std::string& line, std::string_view key) {
    const auto pattern = " " + std::string(key) + "=";
    const auto padded = " " + line;
    const auto found = padded.find(pattern);
    if (found == std::string::npos) {
        return {};
    }
    const auto start = found + pattern.size();
    return padded.substr(start, padded.find(' ', start) - start);
}

/// Returns " key=value" for each of the keys that the line contains.
std::string format_keys(const std::string& line, const std::vector<std::string_view>& keys) {
    std::string text;
    for (const auto key : keys) {
        if (const auto value = get_value(line, key); !value.empty()) {
            text += " " + std::string(key) + "=" + value;
        }
    }
    return text;
}

/// Identifies a task of the job: occurrence, step and index.
using task_key = std::tuple<std::string, std::string, std::string>;

/// Identifies all runs of a step with one number, such as those of a gang: occurrence, step and run.
using step_run_key = std::tuple<std::string, std::string, std::uint64_t>;

/// What the log lines record about failed attempts in the runs of a step with one number.
struct logged_attempt {
    std::vector<std::string> counts;                                ///< a text for each end that failed
    std::map<std::string, std::vector<std::uint64_t>> tasks_by_end; ///< indexes of tasks by how they ended

    void add(const log_line& entry);
    /// Appends a line for each count and one for the ends, unless no end of this run has failed.
    void append_to(std::vector<std::string>& lines, const std::string& name) const;
};

void logged_attempt::add(const log_line& entry) {
    const auto& line = entry.line;
    const auto event = get_value(line, "event");
    const auto task = get_value(line, "task");
    if (event == "run_ended") {
        tasks_by_end[get_value(line, "end")].push_back(std::strtoull(task.c_str(), nullptr, 10));
    }
    if (event == "attempt_failed") {
        counts.push_back(get_value(line, "time") + " " + entry.instance + ": task " + task + " failed, " +
                         (get_value(line, "counted") == "yes" ? "counted" : "not counted") + ", failures " +
                         get_value(line, "failures_before") + " -> " + get_value(line, "failures") + " of " +
                         get_value(line, "max_attempts"));
    }
}

std::string get_step_run_name(const step_run_key& key) {
    const auto& [occurrence, step, run] = key;
    return "occurrence " + occurrence + " step " + step + " run " + std::to_string(run);
}

/// Returns the tasks of each end, such as "failed 0 2, broken 1".
std::string format_ends(const std::map<std::string, std::vector<std::uint64_t>>& tasks_by_end) {
    std::string text;
    for (const auto& [end, tasks] : tasks_by_end) {
        text += (text.empty() ? "" : ", ") + end;
        for (const auto task : std::set<std::uint64_t>(tasks.begin(), tasks.end())) {
            text += " " + std::to_string(task);
        }
    }
    return text;
}

void logged_attempt::append_to(std::vector<std::string>& lines, const std::string& name) const {
    if (counts.empty()) {
        return;
    }
    const auto prefix = name + ": ";
    for (const auto& count : counts) {
        lines.push_back(prefix);
        lines.back() += count;
    }
    lines.push_back(prefix);
    lines.back() += "ends by task: " + format_ends(tasks_by_end);
}

/// What the log lines record about one run.
struct logged_run {
    std::string begin; ///< time of the first line that shows it running; empty when there is none
    std::string end;   ///< time of the first line that shows its end; empty when there is none
    std::vector<std::string> descriptions;
    bool has_begun = false; ///< a line shows that it began, even if not when

    void add(const log_line& entry);
};

void logged_run::add(const log_line& entry) {
    const auto& line = entry.line;
    const auto event = get_value(line, "event");
    const auto time = get_value(line, "time");
    const auto prefix = time + " " + entry.instance + ": ";
    const bool is_found = event == "run_taken_over" && get_value(line, "found") == "running";
    const bool is_sent = event == "start_refused" && get_value(line, "reason") == "unanswered";
    if (event == "run_started" || is_found || is_sent) {
        has_begun = true;
        begin = begin.empty() ? time : begin;
        const auto* verb = is_found ? "found running" : "started";
        descriptions.push_back(
            prefix + (is_sent ? "start without an answer" : verb) +
            format_keys(line, {"worker", "born_ms", "ground", "term", "fence", "starts", "sent_ms"}));
        return;
    }
    if (event == "run_taken_over") {
        descriptions.push_back(prefix + "taken over as" +
                               format_keys(line, {"found", "of", "worker", "term", "fence"}));
        return;
    }
    if (event == "end_of_unknown_run") {
        has_begun = has_begun || get_value(line, "end") != "not_started";
        descriptions.push_back(prefix + "its worker lists an end of it, which this leader did not wait for" +
                               format_keys(line, {"worker", "end", "number", "seen", "reason", "fence"}));
        end = end.empty() ? time : end;
        return;
    }
    if (std::find(end_events.begin(), end_events.end(), event) == end_events.end()) {
        return;
    }
    descriptions.push_back(prefix + "ended, " + event +
                           format_keys(line, {"worker", "end", "ground", "reason", "asked_ms", "listed_ms",
                                              "number", "term", "fence"}));
    end = end.empty() ? time : end;
}

std::string get_run_name(const task_key& task, std::uint64_t run) {
    const auto& [occurrence, step, index] = task;
    return "occurrence " + occurrence + " step " + step + " task " + index + " run " + std::to_string(run);
}

/// Describes an overlap when no line shows that run `earlier` had ended before run `later` began. Returns an
/// empty text when there is no overlap.
std::string describe_overlap(const task_key& task, std::uint64_t earlier, const logged_run& earlier_run,
                             std::uint64_t later, const logged_run& later_run) {
    if (!earlier_run.has_begun || later_run.begin.empty()) {
        return {};
    }
    const bool is_in_order = earlier_run.begin <= later_run.begin;
    const bool had_ended = !earlier_run.end.empty() && earlier_run.end <= later_run.begin;
    if (!is_in_order || had_ended) {
        return {};
    }
    auto text = get_run_name(task, later) + " began by " + later_run.begin + " before any word that run " +
                std::to_string(earlier) + " had ended";
    text += earlier_run.begin.empty() ? " (no line says when that began" : " (began by " + earlier_run.begin;
    text += earlier_run.end.empty() ? ", no line says that it ended)" : ", ended at " + earlier_run.end + ")";
    return text;
}

} // namespace

run_history build_run_history(const std::vector<log_line>& lines) {
    std::map<task_key, std::map<std::uint64_t, logged_run>> tasks;
    std::map<step_run_key, logged_attempt> attempts;
    for (const auto& entry : lines) {
        const auto& line = entry.line;
        const auto run = get_value(line, "run");
        if (run.empty()) {
            continue;
        }
        const task_key task{get_value(line, "occurrence"), get_value(line, "step"), get_value(line, "task")};
        const auto number = std::strtoull(run.c_str(), nullptr, 10);
        tasks[task][number].add(entry);
        attempts[{std::get<0>(task), std::get<1>(task), number}].add(entry);
    }
    run_history history;
    for (const auto& [key, attempt] : attempts) {
        attempt.append_to(history.attempts, get_step_run_name(key));
    }
    for (const auto& [task, runs] : tasks) {
        for (const auto& [number, run] : runs) {
            for (const auto& description : run.descriptions) {
                history.runs.push_back(get_run_name(task, number) + ": " + description);
            }
            for (const auto& [other, other_run] : runs) {
                const bool is_other = other != number;
                // When both began at the same time, the run with the lower number counts as the earlier one.
                const bool is_tie = run.begin == other_run.begin && other < number;
                const auto overlap = is_other && !is_tie
                                         ? describe_overlap(task, number, run, other, other_run)
                                         : std::string{};
                if (!overlap.empty()) {
                    history.overlaps.push_back(overlap);
                }
            }
        }
    }
    return history;
}

} // namespace poplarpitch
