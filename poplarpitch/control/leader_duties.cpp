#include "poplarpitch/control/leader_duties.h"

#include "poplarpitch/state/state_machine.h"

namespace poplarpitch {
namespace {

constexpr duration expiry_interval = seconds{30};

/// Returns how long a session may go without a renewal before its workers are assigned to other entries.
duration get_session_timeout(const state_machine& state) {
    const auto& system = state.get_configs().get_configuration()->system;
    return system.session_lease + system.drift_margin;
}

} // namespace

void leader_duties::start(const state_machine& state, time_point now) {
    m_sessions.start(state.get_fleet(), get_session_timeout(state), now);
    m_lost_leases.start();
    m_next_expiry = now + expiry_interval;
}

void leader_duties::renew(const state_machine& state, const wire::renew_request& request, time_point now) {
    m_sessions.renew(request, get_session_timeout(state), now);
    for (const auto& sample : request.usage()) {
        m_scheduler.add_usage(sample);
    }
}

std::vector<wire::command> leader_duties::run(const state_machine& state, std::size_t max_assignments,
                                              time_point now, std::int64_t wall_ms) {
    std::vector<wire::command> commands;
    // 1. Expired sessions: closes those in the replicated state, forgets those that are not in it any more.
    for (auto& expired : m_sessions.get_expired(now)) {
        const auto* session = state.get_fleet().find_session(expired.entry());
        if (session == nullptr || session->incarnation() != expired.incarnation()) {
            m_sessions.forget(expired.entry());
            continue;
        }
        wire::command command;
        *command.mutable_close() = std::move(expired);
        commands.push_back(std::move(command));
    }
    // 2. Owners of workers, 3. leases of lost attempts, 4. queued jobs, 5. old records.
    const auto append = [&](std::vector<wire::command> more) {
        for (auto& command : more) {
            commands.push_back(std::move(command));
        }
    };
    const auto& system = state.get_configs().get_configuration()->system;
    append(m_owners.run(state.get_fleet(), now));
    append(m_lost_leases.run(state.get_jobs(), system.task_lease + system.drift_margin, now, wall_ms));
    append(m_scheduler.run(state, m_sessions, max_assignments, now, wall_ms));
    expire_records(state, now, wall_ms, commands);
    return commands;
}

void leader_duties::expire_records(const state_machine& state, time_point now, std::int64_t wall_ms,
                                   std::vector<wire::command>& commands) {
    if (now < m_next_expiry) {
        return;
    }
    m_next_expiry = now + expiry_interval;
    const bool has_records = state.get_intents().get_count() > 0 || state.get_jobs().get_count() > 0;
    if (!has_records) {
        return;
    }
    const auto& system = state.get_configs().get_configuration()->system;
    wire::command command;
    command.mutable_expire()->set_intents_before_ms(wall_ms - to_milliseconds(system.intent_lifetime));
    command.mutable_expire()->set_jobs_before_ms(wall_ms - to_milliseconds(system.job_retention));
    commands.push_back(std::move(command));
}

} // namespace poplarpitch
