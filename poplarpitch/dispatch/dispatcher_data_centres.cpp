// Data centres that an operator has drained: nothing starts there until the order is withdrawn.
//
// The order is part of the replicated state, so a new leader knows it before its first start. What runs there
// goes on. A start that was not sent yet is returned to the queue just before it would be sent, whatever
// delayed it; a start without an answer is undone by a stop.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/telemetry/log_event.h"

#include <absl/strings/str_join.h>

#include <algorithm>

namespace poplarpitch {

bool dispatcher::is_data_centre_known(const std::string& data_centre) const {
    const auto& workers = m_workers.get_all();
    return m_job_state.is_drained(data_centre) ||
           std::any_of(workers.begin(), workers.end(), [&](const worker_state* worker) {
               return worker->has_report && worker->report.data_centre == data_centre;
           });
}

bool dispatcher::have_workers_reported(time_point now) const {
    return m_long_running.have_all_reported(now);
}

void dispatcher::update_drained(worker_state& worker) const {
    worker.is_data_centre_drained = m_job_state.is_drained(worker.report.data_centre);
}

void dispatcher::on_data_centres_changed() {
    std::uint64_t drained_workers = 0;
    std::uint64_t runs = 0;
    for (auto* worker : m_workers.get_all()) {
        update_drained(*worker);
        if (worker->is_data_centre_drained) {
            ++drained_workers;
            runs += worker->runs.size();
        }
    }
    m_must_place = true;
    m_next_pools = {}; // what is left of each pool is measured at once
    log_event(log_level::info, "data_centres_changed")
        .add("drained", absl::StrJoin(m_job_state.get_drained_data_centres(), ","))
        .add("workers", drained_workers)
        .add("runs", runs);
}

} // namespace poplarpitch
