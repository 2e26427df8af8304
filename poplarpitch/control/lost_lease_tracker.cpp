#include "poplarpitch/control/lost_lease_tracker.h"

#include "poplarpitch/state/job_table.h"

namespace poplarpitch {

std::vector<wire::command> lost_lease_tracker::run(const job_table& jobs, duration wait, time_point now,
                                                   std::int64_t wall_ms) {
    std::vector<wire::command> commands;
    std::map<std::string, tracked_loss> still_lost;
    jobs.for_each_lost([&](const wire::job& job) {
        const auto known = m_tracked.find(job.id());
        const bool is_known = known != m_tracked.end() && known->second.changed_index == job.changed_index();
        const auto first_seen = is_known ? known->second.first_seen : now;
        still_lost[job.id()] = {job.changed_index(), first_seen};
        if (now - first_seen < wait) {
            return;
        }
        wire::command command;
        auto& event = *command.mutable_event();
        event.set_job(job.id());
        event.set_attempt(job.attempt());
        event.set_kind(wire::event_lease_over);
        event.set_expected_index(job.changed_index());
        event.set_at_ms(wall_ms);
        commands.push_back(std::move(command));
    });
    m_tracked = std::move(still_lost);
    return commands;
}

} // namespace poplarpitch
