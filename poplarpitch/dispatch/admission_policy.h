#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/admission_policy_settings.h"
#include "poplarpitch/dispatch/completion_forecast.h"
#include "poplarpitch/dispatch/job_work.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace poplarpitch {

/// Decides whether a job that ends is accepted, from the forecast of its completion.
///
/// A job that would be completed past its late limit is refused at once, with the time at which the forecast
/// has room for it. Each refused job is promised its own part of the room to come, so that callers return at
/// the rate of the drain and not all at once; one that returns at its time is admitted before others. The
/// promises are a help and nothing else: a lost one makes its caller wait again. Thread safety: none, as for
/// all methods.
class admission_policy {
public:
    /// What is decided for one submission.
    struct decision {
        bool is_admitted = true;
        bool was_promised = false;        ///< the caller returned at the time that it was told
        duration retry_after{};           ///< of a refused job
        std::optional<duration> expected; ///< forecast time until completion; nothing while it is not known

        friend auto operator<=>(const decision&, const decision&) = default;
    };

    explicit admission_policy(const admission_policy_settings& settings) : m_settings(settings) {}

    /// Removes all promises and starts with nothing refused, as at the start of a term.
    void clear();
    /// Decides about a submission. `job.time_left_ms` is its objective.
    [[nodiscard]] decision decide(const job_work& job, const std::string& queue,
                                  const completion_forecast& forecast, time_point now, std::int64_t wall_ms);

    [[nodiscard]] std::size_t count_promises() const { return m_promises.size(); }

    static constexpr std::string_view part_name = "promises";
    static constexpr std::uint32_t format_version = 1;
    /// Returns the promises for the next leader, see `learned_part`.
    [[nodiscard]] std::string save(std::int64_t wall_ms, std::size_t max_bytes) const;
    /// Replaces the promises, see `learned_part`.
    bool load(std::string_view body, std::int64_t wall_ms);

private:
    struct promise {
        room_key room;
        int priority = 0;        ///< 0 where it was loaded: the record holds none
        std::int64_t due_ms = 0; ///< wall time
        double core_ms = 0;

        friend auto operator<=>(const promise&, const promise&) = default;
    };
    /// Hysteresis of one queue.
    struct queue_state {
        bool is_refusing = false;
        std::optional<time_point> past_since; ///< while not refusing: since when forecasts are past the limit
        time_point past_at{};                 ///< when a forecast was last past the limit
        std::optional<time_point> sound_since; ///< while refusing: since when forecasts are well within it
    };

    /// Returns true for a promise that has not expired and can have been given by this clock.
    [[nodiscard]] bool is_current(std::int64_t due_ms, std::int64_t wall_ms) const;
    void drop_expired(std::int64_t wall_ms);
    void add_promise(job_id job, const promise& added);
    void remove_promise(job_id job);
    /// Returns the work that is promised in a room to jobs of this or a better priority.
    [[nodiscard]] double get_promised_core_ms(const room_key& room, int priority) const;
    /// Updates the hysteresis. Returns true when a job with this forecast, as a share of its limit, is
    /// refused.
    bool is_refused(queue_state& state, double share, time_point now) const;
    duration promise_time(const job_work& job, const completion_forecast& forecast, time_point now,
                          std::int64_t wall_ms);

    admission_policy_settings m_settings;
    absl::flat_hash_map<job_id, promise> m_promises;
    std::set<std::pair<std::int64_t, job_id>> m_by_due;            ///< of all promises
    std::map<std::pair<room_key, int>, double> m_promised_core_ms; ///< sums by room and priority
    std::map<std::string, queue_state> m_queues;
};

} // namespace poplarpitch
