#include "poplarpitch/stand_in/record_checker.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <fstream>

namespace poplarpitch {
namespace {

constexpr std::size_t fields_per_line = 5;

int get_count(const std::map<std::string, int>& counts, const std::string& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

bool record_checker::read_file(const std::string& name) {
    std::ifstream file(name);
    if (!file) {
        return false;
    }
    std::string line;
    while (std::getline(file, line)) {
        read_line(line);
    }
    return true;
}

void record_checker::read_line(const std::string& line) {
    const std::vector<std::string> fields = absl::StrSplit(line, ' ');
    if (fields.size() != fields_per_line) {
        return; // incomplete: the process was killed while it wrote the line
    }
    const auto& kind = fields[0];
    std::int64_t time_us = 0;
    static_cast<void>(absl::SimpleAtoi(fields[4], &time_us));
    m_last_seen[fields[1]] = std::max(m_last_seen[fields[1]], time_us);
    if (kind == "overcommit") {
        ++m_overcommits;
        return;
    }
    if (absl::StartsWith(kind, "request-")) {
        const std::string check = fields[3].substr(0, fields[3].find('|'));
        ++(kind == "request-start" ? m_request_starts : m_request_ends)[check];
        return;
    }
    if (kind == "report-known") {
        if (auto* run = find_span(fields[2], fields[1])) {
            run->is_acknowledged = true;
        }
        return;
    }
    if (!absl::StartsWith(kind, "task-")) {
        return;
    }
    auto& runs = m_runs[fields[2].substr(0, fields[2].find('#'))];
    if (kind == "task-start") {
        runs.push_back({fields[2], fields[1], time_us, 0, false});
        return;
    }
    auto* run = find_span(fields[2], fields[1]);
    if (run != nullptr && run->end_us == 0) {
        run->end_us = time_us;
        run->is_finished = kind == "task-finished";
    }
}

record_checker::run_span* record_checker::find_span(const std::string& attempt_id,
                                                    const std::string& worker) {
    auto& runs = m_runs[attempt_id.substr(0, attempt_id.find('#'))];
    const auto run = std::find_if(runs.rbegin(), runs.rend(), [&](const run_span& span) {
        return span.attempt_id == attempt_id && span.worker == worker;
    });
    return run == runs.rend() ? nullptr : &*run;
}

bool record_checker::is_finished_once(const std::vector<run_span>& runs,
                                      const std::set<std::string>& killed) {
    std::int64_t finished = 0;
    std::int64_t unacknowledged = 0;
    for (const auto& run : runs) {
        finished += run.is_finished ? 1 : 0;
        unacknowledged += run.is_finished && !run.is_acknowledged && killed.contains(run.worker) ? 1 : 0;
    }
    return finished >= 1 && finished - unacknowledged <= 1;
}

promise_report record_checker::check_calls(const std::vector<observed_call>& calls) const {
    promise_report report;
    const auto check = [&](bool is_kept, const observed_call& call, const char* text) {
        if (is_kept) {
            ++report.kept;
        } else {
            report.broken.push_back(absl::StrCat("call ", call.check_id, " (", call.service, "): ", text));
        }
    };
    for (const auto& call : calls) {
        const int starts = get_count(m_request_starts, call.check_id);
        if (!call.is_idempotent) {
            check(starts <= 1, call, "not idempotent, but ran more than once");
        }
        if (call.outcome == "not-run") {
            check(starts == 0, call, "was answered with not-run, but ran");
        }
        if (call.outcome == "done") {
            check(get_count(m_request_ends, call.check_id) >= 1, call,
                  "was answered with done, but did not run");
            check(call.is_body_intact, call, "its answer is incomplete or belongs to another request");
        }
    }
    return report;
}

promise_report record_checker::check_tasks(const std::vector<std::string>& done,
                                           const std::set<std::string>& killed) const {
    promise_report report;
    const auto check = [&](bool is_kept, const std::string& text) {
        if (is_kept) {
            ++report.kept;
        } else {
            report.broken.push_back(text);
        }
    };
    check(m_overcommits == 0,
          absl::StrCat(m_overcommits, " times more work was sent than a worker can hold"));
    for (const auto& [job, runs] : m_runs) {
        auto sorted = runs;
        std::sort(sorted.begin(), sorted.end(),
                  [](const run_span& left, const run_span& right) { return left.start_us < right.start_us; });
        for (std::size_t index = 1; index < sorted.size(); ++index) {
            const auto& before = sorted[index - 1];
            // A run without a recorded end was on a worker that was killed. It counts as running until the
            // last line of that worker.
            const auto end = before.end_us != 0 ? before.end_us : m_last_seen.at(before.worker);
            check(sorted[index].start_us >= end, absl::StrCat("job ", job, " ran in two places"));
            check(sorted[index].attempt_id != before.attempt_id,
                  absl::StrCat("job ", job, " ran an attempt twice"));
        }
    }
    for (const auto& job : done) {
        const auto found = m_runs.find(job);
        const bool is_good = found != m_runs.end() && is_finished_once(found->second, killed);
        check(is_good, absl::StrCat("job ", job, " is done, but did not finish exactly once"));
    }
    return report;
}

} // namespace poplarpitch
