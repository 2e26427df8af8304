#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// The kinds of jobs that `job_caller` submits.
enum class job_kind : std::uint8_t {
    single_step,
    several_steps, ///< each step waits for the one before it
    recurring,     ///< a job of two steps with several occurrences
    long_running,
};

/// A job and everything that its caller sent and was answered about it.
struct submitted_job {
    std::string id;
    job_kind kind = job_kind::single_step;
    std::string body;
    std::vector<std::string> tasks;         ///< names of all tasks of all occurrences
    std::optional<time_point> first_due;    ///< when the first occurrence is due, for recurring jobs
    std::vector<int> answers;               ///< statuses of the answers to all POSTs; 0 where none arrived
    std::optional<time_point> accepted_at;  ///< when the first 2xx to a POST arrived
    bool is_cancelling = false;             ///< a DELETE was sent
    std::optional<time_point> cancelled_at; ///< when the first 2xx or 410 to a DELETE arrived

    /// Returns true when every POST was answered by a status that says that the job was not accepted.
    [[nodiscard]] bool is_rejected() const {
        for (const auto status : answers) {
            if (status != 429 && status != 503) {
                return false;
            }
        }
        return !answers.empty();
    }

    friend bool operator==(const submitted_job&, const submitted_job&) = default;
};

} // namespace poplarpitch
