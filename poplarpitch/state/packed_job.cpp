#include "poplarpitch/state/packed_job.h"

#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

packed_job::packed_job(const wire::job& record)
    : m_bytes(record.SerializeAsString()), m_changed_index(record.changed_index()) {}

wire::job packed_job::unpack() const {
    wire::job record;
    record.ParseFromString(m_bytes); // written by `pack`, so parsing succeeds
    return record;
}

void packed_job::pack(const wire::job& record) {
    m_bytes = record.SerializeAsString(); // a new string, so that its capacity does not exceed its size
    m_changed_index = record.changed_index();
}

} // namespace poplarpitch
