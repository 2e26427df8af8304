#include "poplarpitch/control/session_registry.h"

#include "poplarpitch/state/fleet_table.h"

#include <algorithm>

namespace poplarpitch {

void session_registry::start(const fleet_table& fleet, duration lease, time_point now) {
    m_reports.clear();
    for (const auto& [entry, session] : fleet.get_sessions()) {
        auto& report = m_reports[entry];
        report.incarnation = session.incarnation();
        report.deadline = now + lease;
    }
}

void session_registry::renew(const wire::renew_request& request, duration lease, time_point now) {
    auto& report = m_reports[request.entry()];
    report.incarnation = request.incarnation();
    report.deadline = std::max(report.deadline, now + lease);
    report.known_config = request.known_config();
    report.digest = request.digest();
    for (const auto& load : request.loads()) {
        report.loads[load.worker()] = load;
    }
    if (request.interference_size() > 0) {
        report.interference.assign(request.interference().begin(), request.interference().end());
    }
}

void session_registry::forget(const std::string& entry) {
    m_reports.erase(entry);
}

std::vector<wire::close_session> session_registry::get_expired(time_point now) const {
    std::vector<wire::close_session> expired;
    for (const auto& [entry, report] : m_reports) {
        if (now >= report.deadline) {
            wire::close_session close;
            close.set_entry(entry);
            close.set_incarnation(report.incarnation);
            close.set_reason("expired");
            expired.push_back(std::move(close));
        }
    }
    return expired;
}

const wire::worker_load* session_registry::find_load(const std::string& entry,
                                                     const std::string& worker) const {
    const auto report = m_reports.find(entry);
    if (report == m_reports.end()) {
        return nullptr;
    }
    const auto load = report->second.loads.find(worker);
    return load == report->second.loads.end() ? nullptr : &load->second;
}

} // namespace poplarpitch
