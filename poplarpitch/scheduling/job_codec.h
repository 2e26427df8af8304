#pragma once

#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/scheduling/job_record.h"
#include "poplarpitch/scheduling/learned_record.h"
#include "poplarpitch/scheduling/pressure_factor.h"
#include "poplarpitch/scheduling/refused_job.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/task_key.h"

#include <vector>

namespace poplarpitch::job_wire {
class job_state_record;
class note_learned;
class note_pressure;
class put_config;
class request_limits;
class refuse_job;
class step_job;
class task_name;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// Conversions between jobs and their protobuf messages. Thread safety: any thread, for all functions.
void encode(const step_job& job, job_wire::step_job& message);
[[nodiscard]] step_job decode(const job_wire::step_job& message);
void encode(const task_key& key, job_wire::task_name& message);
[[nodiscard]] task_key decode(const job_wire::task_name& message);
void encode(const refused_job& job, job_wire::refuse_job& message);
[[nodiscard]] refused_job decode(const job_wire::refuse_job& message);
void encode(const request_limits& limits, job_wire::request_limits& message);
[[nodiscard]] request_limits decode(const job_wire::request_limits& message);
void encode(const job_configuration& configuration, job_wire::put_config& message);
[[nodiscard]] job_configuration decode(const job_wire::put_config& message);
void encode(const job_record& record, job_wire::job_state_record& message);
[[nodiscard]] job_record decode(const job_wire::job_state_record& message);
void encode(const std::vector<pressure_factor>& factors, job_wire::note_pressure& message);
[[nodiscard]] std::vector<pressure_factor> decode(const job_wire::note_pressure& message);
void encode(const std::vector<learned_record>& records, job_wire::note_learned& message);
[[nodiscard]] std::vector<learned_record> decode(const job_wire::note_learned& message);

} // namespace poplarpitch
