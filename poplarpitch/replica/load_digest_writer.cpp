#include "poplarpitch/replica/load_digest_writer.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {

void load_digest_writer::write(log_term term, const leader_figures& figures, job_wire::load_digest& digest) {
    if (term != m_term) {
        m_term = term;
        m_version = 0;
    }
    digest.set_term(term);
    digest.set_version(++m_version);
    digest.set_validity_ms(to_milliseconds(validity));
    digest.set_return_spread_ms(
        to_milliseconds(std::clamp(figures.backlog_time, duration{0}, max_return_spread)));
    digest.set_open_jobs(figures.open_jobs);
}

} // namespace poplarpitch
