#include "poplarpitch/state/state_machine.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/state/amounts_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace poplarpitch {
namespace {

/// Writes one element of a repeated message field in protobuf's wire format.
void write_record(google::protobuf::io::CodedOutputStream& stream, int field, std::string_view record) {
    constexpr std::uint32_t length_delimited = 2; // protobuf's wire type
    stream.WriteTag(static_cast<std::uint32_t>(field) << 3U | length_delimited);
    stream.WriteVarint32(static_cast<std::uint32_t>(record.size()));
    stream.WriteRaw(record.data(), static_cast<int>(record.size()));
}

} // namespace

state_machine::state_machine(const state_settings& settings, const state_rules& rules)
    : m_settings(settings), m_rules(rules), m_configs(rules, settings), m_fleet(rules),
      m_jobs(rules, settings.max_jobs, settings.max_job_bytes),
      m_intents(rules, settings.max_intents, settings.max_intent_body) {}

wire::command_result state_machine::apply_bytes(log_index index, std::string_view payload) {
    wire::command command;
    if (!command.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        command.Clear(); // a command without a body is applied as malformed
    }
    return apply(index, command);
}

wire::command_result state_machine::apply(log_index index, const wire::command& command) {
    wire::command_result outcome;
    const auto error = dispatch(index, command, outcome);
    outcome.set_code(static_cast<std::uint32_t>(error.value()));
    if (error) {
        outcome.set_message(error.message());
    }
    outcome.set_index(index);
    m_applied = index;
    return outcome;
}

std::error_code state_machine::dispatch(log_index index, const wire::command& command,
                                        wire::command_result& outcome) {
    switch (command.body_case()) {
    case wire::command::kOpen: {
        const auto& opened = command.open().opened();
        const auto* session = m_fleet.find_session(opened.entry());
        if (session != nullptr && session->incarnation() < opened.incarnation()) {
            m_intents.mark_unknown(opened.entry());
        }
        return m_fleet.open(opened, index);
    }
    case wire::command::kClose: {
        const auto error = m_fleet.close(command.close(), index);
        if (!error) {
            m_intents.mark_unknown(command.close().entry());
        }
        return error;
    }
    case wire::command::kDrain:
        return m_fleet.drain(command.drain());
    case wire::command::kConfig:
        return m_configs.put(command.config(), outcome);
    case wire::command::kRegisterTarget: {
        const auto error = m_fleet.register_worker(command.register_target().registered(), index);
        attach_worker(command.register_target().registered().id(), outcome);
        return error;
    }
    case wire::command::kOwner: {
        const auto error = m_fleet.assign_owner(command.owner(), index);
        attach_worker(command.owner().worker(), outcome);
        return error;
    }
    case wire::command::kMark:
        return m_fleet.mark(command.mark(), index);
    case wire::command::kRemove:
        return m_fleet.remove(command.remove(), index);
    case wire::command::kSubmit:
        return submit(index, command.submit(), outcome);
    case wire::command::kAssign:
        return assign(index, command.assign());
    case wire::command::kEvent: {
        const auto attempts = m_configs.get_configuration()->system.max_attempts;
        const bool is_lease_expiry = command.event().kind() == wire::event_lease_over;
        const auto before = is_lease_expiry ? m_jobs.find(command.event().job()) : std::nullopt;
        const auto error = m_jobs.handle_event(command.event(), attempts, index);
        if (!error && before.has_value()) {
            m_fleet.record_worker_change(before->worker(), index); // its owner may still count the task
        }
        attach_job(command.event().job(), outcome);
        return error;
    }
    case wire::command::kCancel: {
        const auto error = m_jobs.cancel(command.cancel(), index);
        attach_job(command.cancel().job(), outcome);
        return error;
    }
    case wire::command::kResolve: {
        const auto error = m_jobs.resolve(command.resolve(), index);
        attach_job(command.resolve().job(), outcome);
        return error;
    }
    case wire::command::kBegin: {
        const auto error = m_intents.begin(command.begin().begun());
        attach_intent(command.begin().begun().key(), outcome);
        return error;
    }
    case wire::command::kEnd: {
        const auto error = m_intents.end(command.end().ended());
        attach_intent(command.end().ended().key(), outcome);
        return error;
    }
    case wire::command::kExpire:
        m_intents.expire(command.expire().intents_before_ms());
        m_jobs.expire(command.expire().jobs_before_ms());
        return {};
    case wire::command::BODY_NOT_SET:
        return state_errc::malformed;
    }
    return state_errc::malformed;
}

std::error_code state_machine::submit(log_index index, const wire::submit_job& command,
                                      wire::command_result& outcome) {
    const auto& submitted = command.submitted();
    std::error_code error;
    const auto settings = m_configs.get_configuration();
    const auto* tenant = settings->find_tenant(submitted.tenant());
    if (submitted.id().empty()) {
        error = state_errc::malformed;
    } else if (tenant == nullptr) {
        error = state_errc::unknown_tenant;
    } else if (settings->find_batch(submitted.batch()) == nullptr) {
        error = state_errc::unknown_batch;
    } else if (!m_jobs.has(submitted.id()) && !m_fleet.get_workers().empty() &&
               !m_fleet.has_worker_with_capacity_for(decode(submitted.need()))) {
        error = state_errc::never_fits;
    } else {
        error = m_jobs.submit(submitted, tenant->max_jobs, index);
    }
    attach_job(submitted.id(), outcome);
    return error;
}

std::error_code state_machine::assign(log_index index, const wire::assign_job& command) {
    const auto* worker = m_fleet.find_worker(command.worker());
    if (worker == nullptr) {
        return state_errc::unknown_worker;
    }
    const bool is_current = worker->epoch() == command.epoch() || !m_rules.epoch_is_compared;
    if (!is_current || worker->owner().empty() || worker->silent()) {
        return state_errc::stale_epoch;
    }
    return m_jobs.assign(command, worker->incarnation(), index);
}

void state_machine::attach_job(const std::string& id, wire::command_result& outcome) const {
    if (auto record = m_jobs.find(id)) {
        *outcome.mutable_job_record() = std::move(*record);
    }
}

void state_machine::attach_intent(const std::string& key, wire::command_result& outcome) const {
    if (const auto* record = m_intents.find(key)) {
        *outcome.mutable_intent_record() = *record;
    }
}

void state_machine::attach_worker(const std::string& id, wire::command_result& outcome) const {
    if (const auto* record = m_fleet.find_worker(id)) {
        *outcome.mutable_worker_record() = *record;
    }
}

// ---- snapshots

std::string state_machine::save() const {
    // The configuration and the fleet are small. Jobs and intents are many and are written one by one. A
    // message with all of them would briefly copy the whole state, and the process would keep that memory.
    wire::state_snapshot head;
    head.set_applied_index(m_applied);
    m_configs.save(head);
    m_fleet.save(head);
    std::string bytes = head.SerializeAsString();
    {
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream coded(&stream);
        m_jobs.for_each_packed([&](std::string_view record) {
            write_record(coded, wire::state_snapshot::kJobsFieldNumber, record);
        });
        m_intents.for_each([&](const wire::intent& record) {
            write_record(coded, wire::state_snapshot::kIntentsFieldNumber, record.SerializeAsString());
        });
    }
    return bytes;
}

bool state_machine::load(std::string_view bytes) {
    wire::state_snapshot snapshot;
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return false;
    }
    m_configs.load(snapshot);
    m_fleet.load(snapshot);
    m_jobs = job_table(m_rules, m_settings.max_jobs, m_settings.max_job_bytes);
    for (const auto& record : snapshot.jobs()) {
        m_jobs.restore(record);
    }
    m_intents = intent_table(m_rules, m_settings.max_intents, m_settings.max_intent_body);
    for (auto& record : *snapshot.mutable_intents()) {
        m_intents.restore(std::move(record));
    }
    m_applied = snapshot.applied_index();
    return true;
}

std::uint64_t state_machine::hash_state() const {
    return hash_bytes(save());
}

} // namespace poplarpitch
