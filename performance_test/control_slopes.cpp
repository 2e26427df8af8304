// Measures how memory use, snapshot and session renewals of control grow with the size of the replicated
// state, for docs/CAPACITY.md.
#include "poplarpitch/control/renew_answer_builder.h"
#include "poplarpitch/control/session_registry.h"
#include "poplarpitch/state/state_machine.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace poplarpitch {
namespace {

/// Returns the resident memory of this process in KB.
double get_resident_kb() {
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    double resident = 0;
    file >> pages >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

log_index g_index = 0;

void add_worker(state_machine& machine, int number) {
    wire::command command;
    auto& worker = *command.mutable_register_target()->mutable_registered();
    worker.set_id("worker-gimje-" + std::to_string(number));
    worker.set_address("10.0.12.17:8080");
    worker.set_data_centre("gimje");
    worker.set_rack("rack-17");
    worker.set_owner("entry-" + std::to_string(number % 6));
    for (const auto* service : {"booking", "lookup", "ledger"}) {
        worker.add_services(service);
    }
    worker.mutable_capacity()->set_slots(8);
    worker.mutable_capacity()->set_millicores(64000);
    worker.mutable_capacity()->set_memory(250LL << 30);
    machine.apply(++g_index, command);
}

void add_job(state_machine& machine, int number, int workers) {
    const auto id = "settlement-2026-12-02-" + std::to_string(number);
    wire::command submit;
    auto& job = *submit.mutable_submit()->mutable_submitted();
    job.set_id(id);
    job.set_tenant("t");
    job.set_batch("b");
    job.set_payload(std::string(100, 'p'));
    job.set_request_hash("0123456789abcdef");
    job.mutable_need()->set_millicores(1000);
    machine.apply(++g_index, submit);
    wire::command assign;
    assign.mutable_assign()->set_job(id);
    assign.mutable_assign()->set_attempt(1);
    assign.mutable_assign()->set_worker("worker-gimje-" + std::to_string(number % workers));
    assign.mutable_assign()->set_epoch(1);
    machine.apply(++g_index, assign);
}

void add_intent(state_machine& machine, int number) {
    wire::command command;
    auto& intent = *command.mutable_begin()->mutable_begun();
    intent.set_key("gimje\nbooking\nkey-" + std::to_string(number));
    intent.set_request_hash("0123456789abcdef");
    intent.set_entry("entry-1");
    intent.set_request_id("entry-1-1a2b3c4d5e-" + std::to_string(number));
    intent.set_begun_ms(number);
    machine.apply(++g_index, command);
}

wire::renew_request make_request(const state_machine& machine, const std::string& entry) {
    wire::renew_request request;
    request.set_entry(entry);
    request.set_incarnation(1'796'000'000'000);
    request.set_http_address("10.0.1.1:8080");
    for (const auto& id : machine.get_fleet().get_owned(entry)) {
        auto& load = *request.add_loads();
        load.set_worker(id);
        load.mutable_free()->set_millicores(32000);
        load.mutable_free()->set_memory(100LL << 30);
        load.mutable_requests()->set_slots(4);
        load.set_slowdown(1.1);
        load.set_speed(1.3);
        load.set_ready(true);
        for (const auto* service : {"booking", "lookup", "ledger"}) {
            (*load.mutable_rates())[service] = 12.5;
        }
    }
    return request;
}

} // namespace
} // namespace poplarpitch

int main() {
    using namespace poplarpitch;
    state_machine machine;
    wire::command config;
    config.mutable_config()->set_text(
        "[tenant t]\nmax_jobs = 1000000\n[batch b]\n[service booking]\n[service lookup]\n[service ledger]\n");
    machine.apply(++g_index, config);
    for (int entry = 0; entry < 6; ++entry) {
        wire::command open;
        open.mutable_open()->mutable_opened()->set_entry("entry-" + std::to_string(entry));
        open.mutable_open()->mutable_opened()->set_incarnation(1);
        machine.apply(++g_index, open);
    }
    std::printf("%-10s %8s %14s %14s\n", "what", "count", "resident KB", "snapshot B");
    const auto print = [&](const char* what, int count) {
        std::printf("%-10s %8d %14.0f %14zu\n", what, count, get_resident_kb(), machine.save().size());
    };
    print("start", 0);
    int workers = 0;
    for (const int goal : {80, 160, 320, 640}) {
        for (; workers < goal; ++workers) {
            add_worker(machine, workers);
        }
        print("workers", workers);
        const auto request = make_request(machine, "entry-0");
        std::printf("%-10s %8d   renewal request %zu bytes for %d workers of the entry\n", "", workers,
                    request.ByteSizeLong(), request.loads_size());
    }
    int jobs = 0;
    for (const int goal : {1000, 2500, 5000, 10000, 20000}) {
        for (; jobs < goal; ++jobs) {
            add_job(machine, jobs, workers);
        }
        print("jobs", jobs);
    }
    int intents = 0;
    for (const int goal : {5000, 10000, 20000}) {
        for (; intents < goal; ++intents) {
            add_intent(machine, intents);
        }
        print("keys", intents);
    }
    session_registry sessions;
    auto request = make_request(machine, "entry-0");
    const auto whole = make_renew_answer(machine, sessions, request);
    request.set_known_revision(machine.get_applied());
    request.set_known_config(1);
    const auto changes = make_renew_answer(machine, sessions, request);
    std::printf("renewal answer: %zu bytes whole, %zu bytes when nothing changed\n", whole.ByteSizeLong(),
                changes.ByteSizeLong());
    return 0;
}
