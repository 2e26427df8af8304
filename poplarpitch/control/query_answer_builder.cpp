#include "poplarpitch/control/query_answer_builder.h"

#include "poplarpitch/state/state_machine.h"

namespace poplarpitch {
namespace {

constexpr int max_listed = 5000;

void fill_status(const state_machine& state, wire::status_report& status) {
    status.set_applied(state.get_applied());
    status.set_config_version(state.get_configs().get_version());
    status.set_sessions(state.get_fleet().get_sessions().size());
    status.set_workers(state.get_fleet().get_workers().size());
    status.set_jobs_queued(state.get_jobs().get_queued_count());
    status.set_jobs_active(state.get_jobs().get_active_count());
    status.set_jobs_ended(state.get_jobs().get_count() - state.get_jobs().get_queued_count() -
                          state.get_jobs().get_active_count());
    status.set_intents(state.get_intents().get_count());
}

void fill_config(const state_machine& state, const wire::query_request& request, wire::query_answer& answer) {
    for (const auto& version : state.get_configs().get_history()) {
        const bool is_current = version.version() == state.get_configs().get_version();
        const bool is_wanted = request.version() == 0 ? is_current : version.version() == request.version();
        if (is_wanted) {
            *answer.add_configs() = version;
            answer.set_found(true);
        }
    }
}

void fill_job(const state_machine& state, const wire::query_request& request, wire::query_answer& answer) {
    if (auto job = state.get_jobs().find(request.name())) {
        *answer.add_jobs() = std::move(*job);
        answer.set_found(true);
    }
}

} // namespace

wire::query_answer make_query_answer(const state_machine& state, const wire::query_request& request) {
    wire::query_answer answer;
    answer.set_answered(true);
    switch (request.kind()) {
    case wire::query_status:
        fill_status(state, *answer.mutable_status());
        break;
    case wire::query_config:
        fill_config(state, request, answer);
        break;
    case wire::query_history:
        for (const auto& version : state.get_configs().get_history()) {
            auto& item = *answer.add_configs();
            item = version;
            item.clear_text();
        }
        break;
    case wire::query_job:
        fill_job(state, request, answer);
        break;
    case wire::query_jobs:
        state.get_jobs().for_each([&](const wire::job& job) {
            if (answer.jobs_size() < max_listed &&
                (request.name().empty() || job.tenant() == request.name())) {
                *answer.add_jobs() = job;
            }
        });
        break;
    case wire::query_workers:
        for (const auto& [id, worker] : state.get_fleet().get_workers()) {
            *answer.add_workers() = worker;
        }
        break;
    case wire::query_worker:
        if (const auto* worker = state.get_fleet().find_worker(request.name())) {
            *answer.add_workers() = *worker;
            answer.set_found(true);
        }
        break;
    case wire::query_members:
        for (const auto& [entry, session] : state.get_fleet().get_sessions()) {
            *answer.add_sessions() = session;
        }
        break;
    case wire::query_intent:
        if (const auto* intent = state.get_intents().find(request.name())) {
            *answer.mutable_intent_record() = *intent;
            answer.set_found(true);
        }
        break;
    case wire::query_snapshot:
        answer.set_snapshot(state.save());
        answer.set_found(true);
        break;
    default:
        answer.set_answered(false);
        answer.set_refusal("unknown kind of query");
        break;
    }
    return answer;
}

} // namespace poplarpitch
