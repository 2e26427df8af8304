#include "poplarpitch/scheduling/job_state_machine.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_size.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace poplarpitch {
namespace {

// Bounds on learned records in the snapshot, whatever leaders send.
constexpr std::size_t max_learned_parts = 16;
constexpr std::size_t max_learned_bytes = 65'536;

std::size_t get_size(const learned_record& record) {
    return record.part.size() + record.body.size();
}

std::size_t get_size(const std::vector<learned_record>& records) {
    std::size_t bytes = 0;
    for (const auto& record : records) {
        bytes += get_size(record);
    }
    return bytes;
}

job_state_event make_job_event(job_state_event::kind what, job_id id) {
    job_state_event event;
    event.what = what;
    event.run.task.step.job = id;
    return event;
}

job_state_event read_end(const job_wire::end_run& message) {
    job_state_event event;
    event.what = job_state_event::kind::run_ended;
    event.run = {decode(message.task()), message.run()};
    event.worker = {message.worker(), message.born_ms()};
    const auto listed = message.listed_kind() == 0 ? message.kind() : message.listed_kind();
    event.end = static_cast<run_end>(listed);
    event.counts_as_attempt = static_cast<run_end>(message.kind()) == run_end::failed;
    event.number = message.number();
    event.crash = static_cast<crash_evidence>(message.crash());
    event.age_ms = message.age_ms();
    return event;
}

job_state_event read_crash(const job_wire::note_crash& message) {
    job_state_event event;
    event.what = job_state_event::kind::task_crashed;
    event.run = {decode(message.task()), message.run()};
    event.worker = {message.worker(), message.born_ms()};
    event.crash = static_cast<crash_evidence>(message.crash());
    event.age_ms = message.age_ms();
    return event;
}

/// Nothing of an ended job is started any more, so its payload would only use memory until it is forgotten.
void drop_payload(job_record& record) {
    if (record.job->payload.empty()) {
        return;
    }
    auto job = std::make_shared<step_job>(*record.job);
    job->payload.clear();
    job->payload.shrink_to_fit();
    record.job = std::move(job);
}

/// Appends a part of a snapshot. Serialised parts of a message that follow each other are the whole message,
/// so that it never exists as a tree of objects beside its bytes.
void append(const job_wire::job_book_snapshot& part, std::string& bytes) {
    part.AppendToString(&bytes);
}

} // namespace

command_outcome job_state_machine::apply(const job_wire::job_command& command,
                                         std::vector<job_state_event>& events) {
    switch (command.kind_case()) {
    case job_wire::job_command::kSubmit:
        return submit(command.submit().job(), events);
    case job_wire::job_command::kCancel:
        return cancel(command.cancel().id(), events);
    case job_wire::job_command::kAssign:
        return assign({decode(command.assign().task()), command.assign().run()},
                      {command.assign().run(),
                       {command.assign().worker(), command.assign().born_ms()},
                       command.assign().address()},
                      events);
    case job_wire::job_command::kEnd:
        return end(read_end(command.end()), command.end().saved(), events);
    case job_wire::job_command::kConfig:
        return put_config(command.config(), false, events);
    case job_wire::job_command::kReplaceConfig:
        return put_config(command.replace_config(), m_configuration.has_invalid_version(), events);
    case job_wire::job_command::kRetire:
        return retire({command.retire().worker(), command.retire().born_ms()}, events);
    case job_wire::job_command::kDrain:
        return drain(command.drain().name(), command.drain().undo(), events);
    case job_wire::job_command::kRaiseFence:
        ++m_fence_raises;
        events.push_back(make_job_event(job_state_event::kind::fence_raised, 0));
        return command_outcome::applied;
    case job_wire::job_command::kPressure:
        m_pressure = decode(command.pressure());
        return command_outcome::applied;
    case job_wire::job_command::kLearned:
        replace_learned(decode(command.learned()));
        return command_outcome::applied;
    case job_wire::job_command::kConfirm:
        return confirm({decode(command.confirm().task()), command.confirm().run()},
                       {command.confirm().worker(), command.confirm().born_ms()});
    case job_wire::job_command::kCrash:
        return record_crash(read_crash(command.crash()), events);
    case job_wire::job_command::kRefuse: {
        const auto job = decode(command.refuse());
        if (command.refuse().forget()) {
            m_refused.erase(job);
            return command_outcome::applied;
        }
        return refuse(job, events);
    }
    case job_wire::job_command::kForget:
        return forget(command.forget().id());
    default:
        return command_outcome::refused; // a command of a newer version
    }
}

command_outcome job_state_machine::forget(job_id id) {
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        m_job_bytes -= estimate_bytes(found->second);
        m_jobs.erase(found);
    }
    return command_outcome::applied;
}

command_outcome job_state_machine::put_config(const job_wire::put_config& message, bool whatever_version,
                                              std::vector<job_state_event>& events) {
    if (!whatever_version && message.version() <= m_configuration.version) {
        return command_outcome::repeated; // an older or repeated version is acknowledged and changes nothing
    }
    m_configuration = decode(message);
    events.push_back(make_job_event(job_state_event::kind::config_changed, 0));
    return command_outcome::applied;
}

command_outcome job_state_machine::submit(const job_wire::step_job& message,
                                          std::vector<job_state_event>& events) {
    if (m_jobs.contains(message.id())) {
        return command_outcome::repeated;
    }
    job_record record;
    record.job = std::make_shared<const step_job>(decode(message));
    record.sequence = m_next_sequence++;
    if (!record.job->schedule.has_value()) {
        record.get_occurrence(0);
    }
    m_job_bytes += estimate_bytes(record);
    m_jobs.emplace(message.id(), std::move(record));
    events.push_back(make_job_event(job_state_event::kind::job_accepted, message.id()));
    return command_outcome::applied;
}

command_outcome job_state_machine::cancel(job_id id, std::vector<job_state_event>& events) {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return command_outcome::refused;
    }
    if (found->second.phase != job_phase::open) {
        return command_outcome::repeated;
    }
    end_job(found->second, job_phase::cancelled, events);
    return command_outcome::applied;
}

command_outcome job_state_machine::refuse(const refused_job& job, std::vector<job_state_event>& events) {
    if (m_refused.contains(job)) {
        return command_outcome::repeated;
    }
    if (m_refused.size() >= max_refused_jobs) {
        return command_outcome::refused;
    }
    m_refused.insert(job);
    auto event = make_job_event(job_state_event::kind::job_refused, job.id);
    event.number = job.queue;
    events.push_back(std::move(event));
    return command_outcome::applied;
}

command_outcome job_state_machine::assign(const run_key& key, assigned_run run,
                                          std::vector<job_state_event>& events) {
    job_state_event event;
    event.what = job_state_event::kind::run_refused;
    event.run = key;
    event.worker = run.worker;
    const auto found = m_jobs.find(key.task.step.job);
    const bool is_open = found != m_jobs.end() && found->second.phase == job_phase::open &&
                         key.task.step.occurrence < found->second.job->get_occurrence_count();
    if (is_open) {
        found->second.get_occurrence(key.task.step.occurrence);
    }
    auto* task = is_open
                     ? found->second.find_task(key.task.step.occurrence, key.task.step.step, key.task.index)
                     : nullptr;
    const bool may_copy =
        is_open && task != nullptr && found->second.job->steps[key.task.step.step].speculative;
    const bool is_free = task != nullptr && (task->phase == task_phase::waiting ||
                                             (task->phase == task_phase::active && may_copy));
    if (!is_free || key.run <= task->last_run || m_retired.contains(run.worker)) {
        events.push_back(std::move(event));
        return command_outcome::refused;
    }
    task->phase = task_phase::active;
    task->last_run = key.run;
    task->runs.push_back(std::move(run));
    event.what = job_state_event::kind::run_assigned;
    events.push_back(std::move(event));
    return command_outcome::applied;
}

command_outcome job_state_machine::confirm(const run_key& key, const worker_incarnation& worker) {
    const auto found = m_jobs.find(key.task.step.job);
    auto* task = found == m_jobs.end()
                     ? nullptr
                     : found->second.find_task(key.task.step.occurrence, key.task.step.step, key.task.index);
    if (task == nullptr) {
        return command_outcome::repeated;
    }
    for (auto& run : task->runs) {
        if (run.run == key.run && run.worker == worker) {
            run.is_confirmed = true;
            return command_outcome::applied;
        }
    }
    return command_outcome::repeated; // it has ended
}

command_outcome job_state_machine::retire(const worker_incarnation& worker,
                                          std::vector<job_state_event>& events) {
    m_retired.insert(worker);
    job_state_event event;
    event.what = job_state_event::kind::worker_retired;
    event.worker = worker;
    events.push_back(std::move(event));
    return command_outcome::applied;
}

command_outcome job_state_machine::drain(const std::string& data_centre, bool undo,
                                         std::vector<job_state_event>& events) {
    const bool is_changed = undo ? m_drained_data_centres.erase(data_centre) > 0
                                 : m_drained_data_centres.insert(data_centre).second;
    if (!is_changed) {
        return command_outcome::repeated;
    }
    events.push_back(make_job_event(job_state_event::kind::data_centres_changed, 0));
    return command_outcome::applied;
}

command_outcome job_state_machine::end(const job_state_event& ended, const std::string& checkpoint,
                                       std::vector<job_state_event>& events) {
    events.push_back(ended); // even when nothing changes, so that the worker may forget the end
    const auto found = m_jobs.find(ended.run.task.step.job);
    if (found == m_jobs.end()) {
        return command_outcome::repeated;
    }
    auto& record = found->second;
    const auto& key = ended.run.task;
    auto* task = record.find_task(key.step.occurrence, key.step.step, key.index);
    if (task == nullptr) {
        return command_outcome::repeated;
    }
    const auto erased = std::erase_if(task->runs, [&](const assigned_run& run) {
        return run.run == ended.run.run && run.worker == ended.worker;
    });
    if (erased == 0) {
        return command_outcome::repeated;
    }
    if (task->phase != task_phase::active) {
        return command_outcome::applied; // another copy ended before, or the job was cancelled
    }
    if (!checkpoint.empty()) {
        task->checkpoint = checkpoint;
    }
    task->crash.record_run_age(ended.age_ms);
    if (ended.crash != crash_evidence::none && count_crash(record, *task, ended, events)) {
        return command_outcome::applied;
    }
    const auto& spec = record.job->steps[key.step.step];
    if (ended.end == run_end::done && !spec.long_running) {
        if (spec.gang) {
            finish_gang(record, key.step, events);
        } else {
            task->phase = task_phase::done;
            finish_task(record, key, events);
        }
        return command_outcome::applied;
    }
    if (ended.end == run_end::failed) {
        task->record_failure(ended.worker);
        if (!spec.long_running && count_failure(record, *task, ended, events)) {
            return command_outcome::applied;
        }
    }
    if (task->runs.empty()) {
        task->phase = task_phase::waiting;
    }
    return command_outcome::applied;
}

command_outcome job_state_machine::record_crash(const job_state_event& crashed,
                                                std::vector<job_state_event>& events) {
    const auto found = m_jobs.find(crashed.run.task.step.job);
    if (found == m_jobs.end() || found->second.phase != job_phase::open) {
        return command_outcome::repeated;
    }
    const auto& key = crashed.run.task;
    auto* task = found->second.find_task(key.step.occurrence, key.step.step, key.index);
    if (task == nullptr || task->phase == task_phase::done) {
        return command_outcome::repeated;
    }
    count_crash(found->second, *task, crashed, events);
    return command_outcome::applied;
}

bool job_state_machine::count_crash(job_record& record, task_record& task, const job_state_event& crashed,
                                    std::vector<job_state_event>& events) {
    if (!task.crash.record_crash(crashed.run.run, crashed.crash, crashed.age_ms)) {
        return false;
    }
    auto event = crashed;
    event.what = job_state_event::kind::task_crashed;
    event.number = task.crash.crashes;
    events.push_back(std::move(event));
    const bool is_long_running = record.job->steps[crashed.run.task.step.step].long_running;
    if (!task.crash.should_give_up(crashed.crash, is_long_running) || record.phase != job_phase::open) {
        return false;
    }
    // Another start would only crash the next worker, with everything that runs there.
    task.phase = task_phase::failed;
    end_job(record, job_phase::failed, events);
    return true;
}

bool job_state_machine::count_failure(job_record& record, task_record& task, const job_state_event& ended,
                                      std::vector<job_state_event>& events) {
    const auto& key = ended.run.task.step;
    auto& step = record.get_occurrence(key.occurrence).steps[key.step];
    const bool is_gang = record.job->steps[key.step].gang;
    auto event = ended;
    event.what = job_state_event::kind::attempt_failed;
    event.attempts.before = is_gang ? step.count_gang_failures() : task.failures;
    event.attempts.after = event.attempts.before + (ended.counts_as_attempt ? 1 : 0);
    event.attempts.max = record.job->queue.max_attempts;
    events.push_back(event);
    if (!ended.counts_as_attempt) {
        return false;
    }
    ++task.failures;
    step.last_failed_run = is_gang ? std::max(step.last_failed_run, ended.run.run) : 0;
    if (!event.attempts.is_exhausted() || record.phase != job_phase::open) {
        return false;
    }
    task.phase = task_phase::failed;
    end_job(record, job_phase::failed, events);
    return true;
}

void job_state_machine::finish_gang(job_record& record, const step_key& key,
                                    std::vector<job_state_event>& events) {
    // The members finish together, so one end counts for all: the others may be lost with their workers.
    auto& step = record.get_occurrence(key.occurrence).steps[key.step];
    for (auto& task : step.tasks) {
        task.phase = task_phase::done;
    }
    step.done = static_cast<std::uint32_t>(step.tasks.size()) - 1;
    finish_task(record, {key, 0}, events);
}

void job_state_machine::finish_task(job_record& record, const task_key& key,
                                    std::vector<job_state_event>& events) {
    auto& occurrence = record.get_occurrence(key.step.occurrence);
    auto& step = occurrence.steps[key.step.step];
    ++step.done;
    if (!step.is_done()) {
        return;
    }
    job_state_event event;
    event.what = job_state_event::kind::step_done;
    event.run.task.step = key.step;
    events.push_back(std::move(event));
    const bool is_done = std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                                     [](const step_record& other) { return other.is_done(); });
    if (!is_done || record.phase != job_phase::open) {
        return;
    }
    occurrence.is_done = true;
    ++record.occurrences_done;
    if (record.occurrences_done == record.job->get_occurrence_count()) {
        end_job(record, job_phase::completed, events);
    }
}

void job_state_machine::end_job(job_record& record, job_phase phase, std::vector<job_state_event>& events) {
    m_job_bytes -= estimate_bytes(record);
    record.phase = phase;
    drop_idle_tasks(record);
    drop_payload(record);
    m_job_bytes += estimate_bytes(record);
    events.push_back(make_job_event(job_state_event::kind::job_ended, record.job->id));
}

void job_state_machine::drop_idle_tasks(job_record& record) {
    // Only occurrences with runs that may still exist are kept; the rest would use memory until the job is
    // forgotten.
    std::erase_if(record.occurrences, [](const auto& item) {
        const auto& steps = item.second.steps;
        return std::all_of(steps.begin(), steps.end(), [](const step_record& step) {
            return std::all_of(step.tasks.begin(), step.tasks.end(),
                               [](const task_record& task) { return task.runs.empty(); });
        });
    });
}

const job_record* job_state_machine::find_job(job_id id) const {
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const task_record* job_state_machine::find_task(const task_key& key) const {
    const auto* record = find_job(key.step.job);
    const auto* step = record == nullptr ? nullptr : record->find_step(key.step.occurrence, key.step.step);
    return step == nullptr || key.index >= step->tasks.size() ? nullptr : &step->tasks[key.index];
}

std::uint32_t job_state_machine::count_failed_attempts(const task_key& key) const {
    const auto* record = find_job(key.step.job);
    const auto* step = record == nullptr ? nullptr : record->find_step(key.step.occurrence, key.step.step);
    if (step == nullptr || key.index >= step->tasks.size()) {
        return 0;
    }
    const bool is_gang = record->job->steps[key.step.step].gang;
    return is_gang ? step->count_gang_failures() : step->tasks[key.index].failures;
}

std::vector<std::pair<run_key, assigned_run>> job_state_machine::get_assigned_runs() const {
    std::vector<std::pair<run_key, assigned_run>> runs;
    for (const auto& [id, record] : m_jobs) {
        for (const auto& [number, occurrence] : record.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    for (const auto& run : tasks[index].runs) {
                        runs.push_back({{{{id, number, step}, index}, run.run}, run});
                    }
                }
            }
        }
    }
    std::sort(runs.begin(), runs.end());
    return runs;
}

std::string job_state_machine::save() const {
    std::string bytes;
    job_wire::job_book_snapshot first;
    encode(m_configuration, *first.mutable_config());
    append(first, bytes);
    std::vector<const job_record*> ordered;
    for (const auto& [id, record] : m_jobs) {
        ordered.push_back(&record);
    }
    // The map's order differs between processes, and equal states must give equal bytes.
    std::sort(ordered.begin(), ordered.end(),
              [](const auto* left, const auto* right) { return left->sequence < right->sequence; });
    for (const auto* record : ordered) {
        job_wire::job_book_snapshot part;
        encode(*record, *part.add_jobs());
        append(part, bytes);
    }
    job_wire::job_book_snapshot snapshot;
    for (const auto& worker : m_retired) {
        auto& incarnation = *snapshot.add_retired_lives();
        incarnation.set_id(worker.id);
        incarnation.set_born_ms(worker.process_start_ms);
    }
    for (const auto& name : m_drained_data_centres) {
        snapshot.add_drained_data_centres(name);
    }
    for (const auto& job : m_refused) {
        encode(job, *snapshot.add_refused());
    }
    snapshot.set_fence_raises(m_fence_raises);
    snapshot.set_next_sequence(m_next_sequence);
    encode(m_pressure, *snapshot.mutable_pressure());
    if (!m_learned.empty()) {
        encode(m_learned, *snapshot.mutable_learned());
    }
    append(snapshot, bytes);
    return bytes;
}

bool job_state_machine::load(std::string_view bytes) {
    job_wire::job_book_snapshot snapshot;
    *this = job_state_machine{};
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return false;
    }
    m_configuration = decode(snapshot.config());
    for (const auto& message : snapshot.jobs()) {
        auto record = decode(message);
        m_job_bytes += estimate_bytes(record);
        m_jobs.emplace(message.job().id(), std::move(record));
    }
    for (const auto& id : snapshot.retired()) {
        m_retired.insert({id, 0});
    }
    for (const auto& incarnation : snapshot.retired_lives()) {
        m_retired.insert({incarnation.id(), incarnation.born_ms()});
    }
    m_drained_data_centres = {snapshot.drained_data_centres().begin(), snapshot.drained_data_centres().end()};
    for (const auto& job : snapshot.refused()) {
        m_refused.insert(decode(job));
    }
    m_fence_raises = snapshot.fence_raises();
    m_next_sequence = snapshot.next_sequence();
    m_pressure = decode(snapshot.pressure());
    replace_learned(decode(snapshot.learned()));
    return true;
}

void job_state_machine::replace_learned(std::vector<learned_record> records) {
    for (auto& record : records) {
        if (get_size(record) > max_learned_bytes) {
            continue;
        }
        std::erase_if(m_learned, [&](const learned_record& known) { return known.part == record.part; });
        // The oldest records give way. They belong to parts that only another version of the program writes.
        while (m_learned.size() >= max_learned_parts ||
               get_size(m_learned) + get_size(record) > max_learned_bytes) {
            m_learned.erase(std::min_element(m_learned.begin(), m_learned.end(),
                                             [](const learned_record& left, const learned_record& right) {
                                                 return left.written_ms < right.written_ms;
                                             }));
        }
        m_learned.push_back(std::move(record));
    }
}

} // namespace poplarpitch
