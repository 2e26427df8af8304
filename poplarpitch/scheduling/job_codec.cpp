#include "poplarpitch/scheduling/job_codec.h"

#include "poplarpitch/wire/scheduling.pb.h"

namespace poplarpitch {
namespace {

void encode_step(const step_spec& step, job_wire::job_step& message) {
    message.set_count(step.count);
    message.set_millicores(step.millicores);
    message.set_memory_mb(step.memory_mb);
    message.set_accelerators(step.accelerators);
    message.set_estimate_ms(step.estimate_ms);
    for (const auto earlier : step.depends_on) {
        message.add_depends_on(earlier);
    }
    message.set_checkpointing(step.checkpointing);
    message.set_gang(step.gang);
    message.set_same_rack(step.same_rack);
    message.set_required_label(step.required_label);
    message.set_affinity_rack(step.affinity_rack);
    message.set_max_per_worker(step.max_per_worker);
    message.set_speculative(step.speculative);
    message.set_long_running(step.long_running);
    message.set_image(step.image);
    message.set_target_ms(step.target_ms);
    message.set_fills(step.is_filling);
    message.set_has_miss_allowed(step.max_unavailable.has_value());
    message.set_miss_allowed(step.max_unavailable.value_or(0));
}

step_spec decode_step(const job_wire::job_step& message) {
    step_spec step;
    step.count = message.count();
    step.millicores = message.millicores();
    step.memory_mb = message.memory_mb();
    step.accelerators = message.accelerators();
    step.estimate_ms = message.estimate_ms();
    step.depends_on.assign(message.depends_on().begin(), message.depends_on().end());
    step.checkpointing = message.checkpointing();
    step.gang = message.gang();
    step.same_rack = message.same_rack();
    step.required_label = message.required_label();
    step.affinity_rack = message.affinity_rack();
    step.max_per_worker = message.max_per_worker();
    step.speculative = message.speculative();
    step.long_running = message.long_running();
    step.image = message.image();
    step.target_ms = message.target_ms();
    step.is_filling = message.fills();
    if (message.has_miss_allowed()) {
        step.max_unavailable = message.miss_allowed();
    }
    return step;
}

void encode_queue(const queue_settings& queue, job_wire::job_queue& message) {
    message.set_name(queue.name);
    message.set_host(queue.host);
    message.set_prefix(queue.prefix);
    message.set_pool(queue.pool);
    message.set_priority(queue.priority);
    message.set_max_attempts(queue.max_attempts);
    message.set_stretch(queue.latency_factor);
    message.set_target_latency_ms(to_milliseconds(queue.target_latency));
    message.set_timeout_ms(to_milliseconds(queue.timeout));
    message.set_needs_advice(queue.advice.has_value());
    if (queue.advice.has_value()) {
        message.set_advice_decide_ms(to_milliseconds(queue.advice->base_time));
        message.set_advice_each_ms(to_milliseconds(queue.advice->time_per_worker));
        message.set_advice_valid_ms(to_milliseconds(queue.advice->ticket_validity));
    }
}

queue_settings decode_queue(const job_wire::job_queue& message) {
    queue_settings queue;
    queue.name = message.name();
    queue.host = message.host();
    queue.prefix = message.prefix();
    queue.pool = message.pool();
    queue.priority = message.priority();
    queue.max_attempts = message.max_attempts();
    queue.latency_factor = message.stretch();
    queue.target_latency = milliseconds{message.target_latency_ms()};
    queue.timeout = milliseconds{message.timeout_ms()};
    if (message.needs_advice()) {
        queue.advice =
            advice_settings{milliseconds{message.advice_decide_ms()}, milliseconds{message.advice_each_ms()},
                            milliseconds{message.advice_valid_ms()}};
    }
    return queue;
}

void encode_task(const task_record& task, job_wire::task_state& message) {
    message.set_phase(static_cast<std::uint32_t>(task.phase));
    message.set_last_run(task.last_run);
    message.set_failures(task.failures);
    message.set_saved(task.checkpoint);
    for (const auto& run : task.runs) {
        auto& item = *message.add_runs();
        item.set_run(run.run);
        item.set_worker(run.worker.id);
        item.set_born_ms(run.worker.process_start_ms);
        item.set_address(run.address);
        item.set_confirmed(run.is_confirmed);
    }
    if (task.crash != crash_history{}) {
        message.mutable_crash()->set_sure(task.crash.certain_crashes);
        message.mutable_crash()->set_crashes(task.crash.crashes);
        message.mutable_crash()->set_longest_ms(task.crash.longest_ms);
        message.mutable_crash()->set_last_run(task.crash.last_run);
    }
    for (const auto& worker : task.failed_on) {
        auto& incarnation = *message.add_failed_on();
        incarnation.set_id(worker.id);
        incarnation.set_born_ms(worker.process_start_ms);
    }
}

task_record decode_task(const job_wire::task_state& message) {
    task_record task;
    task.phase = static_cast<task_phase>(message.phase());
    task.last_run = message.last_run();
    task.failures = message.failures();
    task.checkpoint = message.saved();
    for (const auto& run : message.runs()) {
        task.runs.push_back({run.run(), {run.worker(), run.born_ms()}, run.address(), run.confirmed()});
    }
    task.crash = {message.crash().sure(), message.crash().crashes(), message.crash().longest_ms(),
                  message.crash().last_run()};
    for (const auto& incarnation : message.failed_on()) {
        task.failed_on.push_back({incarnation.id(), incarnation.born_ms()});
    }
    return task;
}

} // namespace

void encode(const step_job& job, job_wire::step_job& message) {
    message.set_id(job.id);
    message.set_payload(job.payload);
    for (const auto& step : job.steps) {
        encode_step(step, *message.add_steps());
    }
    if (job.schedule.has_value()) {
        message.set_repeat_count(job.schedule->count);
        message.set_first_ms(job.schedule->first_ms);
        message.set_interval_ms(job.schedule->interval_ms);
    }
    encode_queue(job.queue, *message.mutable_queue());
    message.set_accepted_ms(job.accepted_ms);
    message.set_caller_data_centre(job.caller_data_centre);
}

step_job decode(const job_wire::step_job& message) {
    step_job job;
    job.id = message.id();
    job.payload = message.payload();
    for (const auto& step : message.steps()) {
        job.steps.push_back(decode_step(step));
    }
    if (message.repeat_count() > 0) {
        job.schedule = job_schedule{message.repeat_count(), message.first_ms(), message.interval_ms()};
    }
    job.queue = decode_queue(message.queue());
    job.accepted_ms = message.accepted_ms();
    job.caller_data_centre = message.caller_data_centre();
    return job;
}

void encode(const task_key& key, job_wire::task_name& message) {
    message.set_job(key.step.job);
    message.set_occurrence(key.step.occurrence);
    message.set_step(key.step.step);
    message.set_index(key.index);
}

task_key decode(const job_wire::task_name& message) {
    return {{message.job(), message.occurrence(), message.step()}, message.index()};
}

void encode(const refused_job& job, job_wire::refuse_job& message) {
    message.set_id(job.id);
    message.set_queue(job.queue);
}

refused_job decode(const job_wire::refuse_job& message) {
    return {message.id(), message.queue()};
}

void encode(const request_limits& limits, job_wire::request_limits& message) {
    message.set_max_header_bytes(limits.max_header_bytes);
    message.set_max_body_bytes(limits.max_body_bytes);
    message.set_header_timeout_ms(to_milliseconds(limits.header_timeout));
    message.set_idle_timeout_ms(to_milliseconds(limits.idle_timeout));
}

request_limits decode(const job_wire::request_limits& message) {
    return {message.max_header_bytes(), message.max_body_bytes(), milliseconds{message.header_timeout_ms()},
            milliseconds{message.idle_timeout_ms()}};
}

void encode(const job_configuration& configuration, job_wire::put_config& message) {
    message.set_version(configuration.version);
    message.set_document(configuration.document);
    for (const auto& queue : configuration.queues) {
        encode_queue(queue, *message.add_queues());
    }
    for (const auto& pool : configuration.pools) {
        auto& item = *message.add_pools();
        item.set_name(pool.name);
        item.set_enforces_capacity(pool.enforces_capacity);
        item.set_standby(pool.is_standby);
        item.set_max_connections(pool.max_connections);
    }
    encode(configuration.limits, *message.mutable_limits());
}

job_configuration decode(const job_wire::put_config& message) {
    job_configuration configuration;
    configuration.version = message.version();
    configuration.document = message.document();
    for (const auto& queue : message.queues()) {
        configuration.queues.push_back(decode_queue(queue));
    }
    for (const auto& pool : message.pools()) {
        configuration.pools.push_back(
            {pool.name(), pool.enforces_capacity(), pool.standby(), pool.max_connections()});
    }
    configuration.limits = decode(message.limits());
    return configuration;
}

void encode(const job_record& record, job_wire::job_state_record& message) {
    encode(*record.job, *message.mutable_job());
    message.set_phase(static_cast<std::uint32_t>(record.phase));
    message.set_sequence(record.sequence);
    message.set_occurrences_done(record.occurrences_done);
    for (const auto& [number, occurrence] : record.occurrences) {
        auto& item = *message.add_occurrences();
        item.set_number(number);
        item.set_done(occurrence.is_done);
        for (const auto& step : occurrence.steps) {
            auto& part = *item.add_steps();
            part.set_last_failed_run(step.last_failed_run);
            for (const auto& task : step.tasks) {
                encode_task(task, *part.add_tasks());
            }
        }
    }
}

job_record decode(const job_wire::job_state_record& message) {
    job_record record;
    record.job = std::make_shared<const step_job>(decode(message.job()));
    record.phase = static_cast<job_phase>(message.phase());
    record.sequence = message.sequence();
    record.occurrences_done = message.occurrences_done();
    for (const auto& item : message.occurrences()) {
        occurrence_record occurrence;
        occurrence.is_done = item.done();
        for (const auto& part : item.steps()) {
            step_record step;
            step.last_failed_run = part.last_failed_run();
            for (const auto& task : part.tasks()) {
                step.tasks.push_back(decode_task(task));
                step.done += step.tasks.back().phase == task_phase::done ? 1 : 0;
            }
            occurrence.steps.push_back(std::move(step));
        }
        record.occurrences.emplace(item.number(), std::move(occurrence));
    }
    return record;
}

void encode(const std::vector<pressure_factor>& factors, job_wire::note_pressure& message) {
    for (const auto& factor : factors) {
        auto& item = *message.add_factors();
        item.set_serving(factor.serving);
        item.set_filling(factor.filling);
        item.set_mean(factor.mean);
        item.set_variance(factor.variance);
    }
}

std::vector<pressure_factor> decode(const job_wire::note_pressure& message) {
    std::vector<pressure_factor> factors;
    for (const auto& item : message.factors()) {
        factors.push_back({item.serving(), item.filling(), item.mean(), item.variance()});
    }
    return factors;
}

void encode(const std::vector<learned_record>& records, job_wire::note_learned& message) {
    for (const auto& record : records) {
        auto& item = *message.add_records();
        item.set_part(record.part);
        item.set_version(record.version);
        item.set_body(record.body);
        item.set_written_ms(record.written_ms);
    }
}

std::vector<learned_record> decode(const job_wire::note_learned& message) {
    std::vector<learned_record> records;
    for (const auto& item : message.records()) {
        records.push_back({item.part(), item.version(), item.body(), item.written_ms()});
    }
    return records;
}

} // namespace poplarpitch
