#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/fair_share_settings.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarpitch {

/// Shares scarce room between queues and data centres of callers.
///
/// Keeps the decayed use of each key and reorders the waiting steps of one kind of room, so that steps of
/// keys that used more than their weighted share go behind the others. The work that is placed before its
/// turn is a debt until no step of its class that should have gone first waits. The debts are at most what
/// the room drains in `max_delay`, which bounds the delay of each step that keeps its class. The correction
/// does not move steps between the classes, which are in time, late, and past the late limit. Thread safety:
/// none, as for all methods.
class fair_share {
public:
    /// Whose use is counted.
    struct share_key {
        std::string queue;
        std::string data_centre; ///< of the callers; empty when it is not known

        friend auto operator<=>(const share_key&, const share_key&) = default;
    };
    /// Steps with the same value compete with each other.
    struct room_kind {
        std::string pool;
        int priority = 0;
        bool is_filling = false;

        friend auto operator<=>(const room_kind&, const room_kind&) = default;
    };
    /// A step with waiting tasks whose rank may be corrected.
    struct waiting_step {
        std::int64_t rank = 0; ///< without correction, falls by 1 for each millisecond
        step_key step;
        int lateness = 0; ///< class: 0 in time, 1 late, 2 past the late limit
        room_kind room;
        share_key key;
        std::size_t tasks = 0; ///< that wait
        double task_core_seconds = 0;

        friend auto operator<=>(const waiting_step&, const waiting_step&) = default;
    };
    using ranked_steps = std::vector<std::pair<std::int64_t, step_key>>;

    explicit fair_share(fair_share_settings settings) : m_settings(std::move(settings)) {}

    /// Removes all use and debts, as at the start of a term.
    void clear();
    /// Counts the work of a task that is assigned.
    void add_use(const share_key& key, double core_seconds, time_point now);
    /// Starts a pass over the waiting steps: corrects the order of those in `steps` among the positions that
    /// they have in `ranked`. Precondition: `ranked` is sorted and contains all of `steps`.
    void begin_pass(ranked_steps& ranked, const std::vector<waiting_step>& steps, time_point now);
    /// Ends the pass. `count_left` returns how many tasks of a step still wait.
    void end_pass(const std::function<std::size_t(const step_key&)>& count_left, time_point now);

    /// Returns the share of each queue in the decayed use of all, 0 to 1.
    [[nodiscard]] std::map<std::string, double> get_queue_shares() const;
    /// Returns the decayed use of a key, in core-seconds.
    [[nodiscard]] double get_use(const share_key& key, time_point now) const;
    /// Returns the work placed before its turn that other steps still wait for, in core-seconds.
    [[nodiscard]] double get_debt(const room_kind& room) const;

    static constexpr std::string_view part_name = "shares";
    static constexpr std::uint32_t format_version = 1;
    /// Returns the use for the next leader, see `learned_part`.
    [[nodiscard]] std::string save(std::int64_t wall_ms, std::size_t max_bytes) const;
    /// Replaces the use, see `learned_part`.
    bool load(std::string_view body, std::int64_t wall_ms);

private:
    /// A step of the current pass.
    struct pass_entry {
        std::int64_t rank = 0;
        step_key step;
        int lateness = 0;
        std::size_t key = 0; ///< index in `m_keys`
        std::size_t tasks = 0;
        double task_core_seconds = 0;
    };
    /// Work that was placed before its turn.
    struct debt {
        std::int64_t due_ms = 0; ///< rank plus time, constant while the step waits in its class
        int lateness = 0;
        double core_seconds = 0;
    };
    /// State of one kind of room.
    struct room_state {
        std::vector<debt> debts;
        double placed_core_seconds = 0; ///< decayed like the use
        time_point decayed_at{};
        std::vector<pass_entry> steps;    ///< of the current pass, in uncorrected order
        std::set<std::size_t> over_share; ///< indexes of the keys that the current pass puts behind others
    };

    [[nodiscard]] double get_decay(time_point from, time_point to) const;
    [[nodiscard]] double get_weight(const share_key& key) const;
    /// Returns the keys that had more than their weighted share, of those with tasks that found no room.
    [[nodiscard]] std::set<std::size_t> find_over_share(const std::vector<pass_entry>& steps) const;
    /// Starts a pass of all rooms with these steps.
    void sort_into_rooms(const std::vector<waiting_step>& steps);
    /// Returns how much work may be placed before its turn, in core-seconds.
    [[nodiscard]] double get_allowance(const room_state& room, time_point now) const;
    /// Returns the steps of a room in corrected order.
    [[nodiscard]] static std::vector<step_key> correct_order(const room_state& room, double allowance);
    static void settle_debts(room_state& room, time_point now);
    /// Records what a pass placed, and which of it before its turn.
    void record_pass(room_state& room, const std::function<std::size_t(const step_key&)>& count_left,
                     time_point now);
    void drop_least_use();

    fair_share_settings m_settings;
    std::map<share_key, double> m_use;      ///< core-seconds, decayed to `m_decayed_at`
    std::optional<time_point> m_decayed_at; ///< nothing: at the first use
    std::map<room_kind, room_state> m_rooms;
    std::vector<share_key> m_keys;        ///< of the current pass
    std::vector<step_key> m_without_room; ///< steps with tasks that the last pass did not place, sorted
};

} // namespace poplarpitch
