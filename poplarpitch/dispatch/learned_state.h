#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/learned_part.h"
#include "poplarpitch/dispatch/learned_state_settings.h"
#include "poplarpitch/scheduling/learned_record.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Decides when a leader records what it has learned, and restores it for the next leader.
///
/// A record is written when it differs from the committed one, so a record that was not committed is written
/// again. The rate is bounded by a token bucket, since the log has to sync each record on a small instance.
/// Records are a help and nothing else: one that is old, unknown or unreadable is dropped, and the part
/// starts from nothing, as without records. Thread safety: none, as for all methods.
class learned_state {
public:
    explicit learned_state(const learned_state_settings& settings) : m_settings(settings) {}

    /// Begins a term. The first records are due one interval later.
    void clear(time_point now);
    /// Returns true when records are due; the next ones are then due an interval later.
    bool begin_round(time_point now);
    /// Adds a part's record to the round, unless it equals the committed one.
    template <learned_part Part>
    void add(const Part& part, const std::vector<learned_record>& committed, std::int64_t wall_ms) {
        add({std::string(Part::part_name), Part::format_version,
             part.save(wall_ms, m_settings.max_part_bytes), wall_ms},
            committed);
    }
    /// Returns and removes the records of the round that the rate allows. Those left out are due in the next
    /// round.
    [[nodiscard]] std::vector<learned_record> take_records();

    /// Loads a part from the committed records. Returns false when there is no usable record of it.
    template <learned_part Part>
    bool restore(Part& part, const std::vector<learned_record>& committed, std::int64_t wall_ms) const {
        const auto* record = find_usable(Part::part_name, Part::format_version, committed, wall_ms);
        if (record == nullptr) {
            return false;
        }
        const bool is_loaded = part.load(record->body, wall_ms);
        log_restored(*record, is_loaded ? "loaded" : "unreadable", wall_ms);
        return is_loaded;
    }

    /// Logs the committed records of parts other than those named. Nothing loads them.
    static void log_unknown(const std::vector<std::string_view>& known,
                            const std::vector<learned_record>& committed, std::int64_t wall_ms);

private:
    void add(learned_record record, const std::vector<learned_record>& committed);
    [[nodiscard]] const learned_record* find_usable(std::string_view part, std::uint32_t version,
                                                    const std::vector<learned_record>& committed,
                                                    std::int64_t wall_ms) const;
    static void log_restored(const learned_record& record, const char* result, std::int64_t wall_ms);

    learned_state_settings m_settings;
    std::vector<learned_record> m_round;
    double m_tokens = 0; ///< bytes that may be written now
    time_point m_refilled_at{};
    time_point m_next_round{};
};

} // namespace poplarpitch
