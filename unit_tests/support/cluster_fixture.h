#pragma once

#include "unit_tests/support/caller_load.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace poplarpitch {

inline constexpr const char* config_text =
    "[system]\ntask_lease = 4s\n[tenant t]\n[service fast]\nidempotent = true\n"
    "[service pay]\nidempotent = false\n[service slow]\ndeadline = 5s\n"
    "[batch b]\ncores = 4\nmemory = 1GB\nrun_time = 500ms\nidempotent = true\n"
    "[batch once]\ncores = 4\nmemory = 1GB\nrun_time = 3s\nidempotent = false\n";

/// Fixture with 3 control instances, 3 entries and 4 workers in two processes, and a check of the system's
/// promises to callers.
class cluster_test : public testing::Test {
protected:
    void check_promises(const std::vector<observed_call>& calls,
                        const std::vector<std::string>& done_jobs = {},
                        const std::set<std::string>& killed_workers = {}) {
        record_checker checker;
        checker.read_file(m_cluster.get_record(1));
        checker.read_file(m_cluster.get_record(2));
        for (const auto& report :
             {checker.check_calls(calls), checker.check_tasks(done_jobs, killed_workers)}) {
            for (const auto& broken : report.broken) {
                ADD_FAILURE() << broken;
            }
        }
    }

    int submit(const std::string& id, const std::string& batch = "b", int entry = 1) {
        const nlohmann::json job = {{"id", id}, {"tenant", "t"}, {"batch", batch}};
        return m_cluster.send(entry, "POST", "/v1/jobs", job.dump()).response.status;
    }

    static std::size_t count_outcome(const std::vector<observed_call>& calls, const std::string& outcome) {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(), [&](const observed_call& call) { return call.outcome == outcome; }));
    }

    test_cluster m_cluster{3, 3, 2};
};

} // namespace poplarpitch
