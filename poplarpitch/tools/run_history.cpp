#include "poplarpitch/tools/run_history.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string_view>
#include <tuple>

namespace poplarpitch {
namespace {

constexpr std::array<std::string_view, 4> ending_events = {"run_ended", "lease_lapsed", "run_lost",
                                                           "run_not_listed"};

/// Returns the value of a key, empty where the line lacks it.
std::string get_value(const std::string& line, std::string_view key) {
    const auto wanted = " " + std::string(key) + "=";
    const auto padded = " " + line;
    const auto found = padded.find(wanted);
    if (found == std::string::npos) {
        return {};
    }
    const auto start = found + wanted.size();
    return padded.substr(start, padded.find(' ', start) - start);
}

/// Returns " key=value" for each of the keys that the line has.
std::string pick(const std::string& line, const std::vector<std::string_view>& keys) {
    std::string text;
    for (const auto key : keys) {
        if (const auto value = get_value(line, key); !value.empty()) {
            text += " " + std::string(key) + "=" + value;
        }
    }
    return text;
}

/// A task of the job: occurrence, step, index.
using task_name = std::tuple<std::string, std::string, std::string>;

/// What was told of one run.
struct told_run {
    std::string begin; ///< time of the first line that says it was there; empty while none does
    std::string end;   ///< time of the first line that says it had ended; empty while none does
    std::vector<std::string> words;
    bool was_there = false; ///< it began at some time

    void add(const told_line& told);
};

void told_run::add(const told_line& told) {
    const auto& line = told.line;
    const auto event = get_value(line, "event");
    const auto time = get_value(line, "time");
    const auto says = time + " " + told.instance + ": ";
    const bool is_found = event == "run_taken_over" && get_value(line, "found") == "running";
    const bool is_sent = event == "start_refused" && get_value(line, "reason") == "unanswered";
    if (event == "run_started" || is_found || is_sent) {
        was_there = true;
        begin = begin.empty() ? time : begin;
        const auto* verb = is_found ? "found running" : "started";
        words.push_back(says + (is_sent ? "start without an answer" : verb) +
                        pick(line, {"worker", "born_ms", "ground", "term", "fence", "starts", "sent_ms"}));
        return;
    }
    if (event == "run_taken_over") {
        words.push_back(says + "taken over as" + pick(line, {"found", "of", "worker", "term", "fence"}));
        return;
    }
    if (event == "end_of_unknown_run") {
        was_there = was_there || get_value(line, "end") != "not_started";
        words.push_back(says + "its worker lists an end of it, which this leader did not wait for" +
                        pick(line, {"worker", "end", "number", "seen", "reason", "fence"}));
        end = end.empty() ? time : end;
        return;
    }
    if (std::find(ending_events.begin(), ending_events.end(), event) == ending_events.end()) {
        return;
    }
    words.push_back(says + "ended, " + event +
                    pick(line, {"worker", "end", "ground", "reason", "asked_ms", "listed_ms", "number",
                                "term", "fence"}));
    end = end.empty() ? time : end;
}

std::string get_title(const task_name& task, std::uint64_t run) {
    const auto& [occurrence, step, index] = task;
    return "occurrence " + occurrence + " step " + step + " task " + index + " run " + std::to_string(run);
}

/// Returns what is wrong where nothing says that `former` had ended when `later` began.
std::string find_overlap(const task_name& task, std::uint64_t former, const told_run& former_run,
                         std::uint64_t later, const told_run& later_run) {
    if (!former_run.was_there || later_run.begin.empty()) {
        return {};
    }
    const bool is_later = former_run.begin <= later_run.begin;
    const bool had_ended = !former_run.end.empty() && former_run.end <= later_run.begin;
    if (!is_later || had_ended) {
        return {};
    }
    auto text = get_title(task, later) + " began by " + later_run.begin + " before any word that run " +
                std::to_string(former) + " had ended";
    text += former_run.begin.empty() ? " (no line says when that began" : " (began by " + former_run.begin;
    text += former_run.end.empty() ? ", no line says that it ended)" : ", ended at " + former_run.end + ")";
    return text;
}

} // namespace

run_history tell_runs(const std::vector<told_line>& lines) {
    std::map<task_name, std::map<std::uint64_t, told_run>> tasks;
    for (const auto& told : lines) {
        const auto& line = told.line;
        const auto run = get_value(line, "run");
        if (run.empty()) {
            continue;
        }
        const task_name task{get_value(line, "occurrence"), get_value(line, "step"), get_value(line, "task")};
        tasks[task][std::strtoull(run.c_str(), nullptr, 10)].add(told);
    }
    run_history history;
    for (const auto& [task, runs] : tasks) {
        for (const auto& [number, run] : runs) {
            for (const auto& word : run.words) {
                history.runs.push_back(get_title(task, number) + ": " + word);
            }
            for (const auto& [other, other_run] : runs) {
                const bool is_other = other != number;
                // Where both began at one time, the one with the lower number counts as the former.
                const bool is_tie = run.begin == other_run.begin && other < number;
                const auto overlap =
                    is_other && !is_tie ? find_overlap(task, number, run, other, other_run) : std::string{};
                if (!overlap.empty()) {
                    history.overlaps.push_back(overlap);
                }
            }
        }
    }
    return history;
}

} // namespace poplarpitch
