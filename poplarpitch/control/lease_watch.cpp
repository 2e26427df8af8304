#include "poplarpitch/control/lease_watch.h"

#include "poplarpitch/state/job_table.h"

namespace poplarpitch {

std::vector<wire::command> lease_watch::run(const job_table& jobs, duration wait, time_point now,
                                            std::int64_t wall_ms) {
    std::vector<wire::command> commands;
    std::map<std::string, sighting> seen;
    jobs.for_each_lost([&](const wire::job& job) {
        const auto known = m_first_seen.find(job.id());
        const bool is_known = known != m_first_seen.end() && known->second.changed == job.changed_index();
        const auto since = is_known ? known->second.since : now;
        seen[job.id()] = {job.changed_index(), since};
        if (now - since < wait) {
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
    m_first_seen = std::move(seen);
    return commands;
}

} // namespace poplarpitch
