// Measures the cost of single decisions on filled tables and how it grows, up to the
// largest size that the project has to support.
#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/control/job_scheduler.h"
#include "poplarpitch/control/leader_duties.h"
#include "poplarpitch/control/renew_answer_builder.h"
#include "poplarpitch/entry/owned_fleet.h"
#include "poplarpitch/policy/admission_queue.h"
#include "poplarpitch/policy/best_fit_router.h"
#include "poplarpitch/policy/cost_placer.h"
#include "poplarpitch/state/state_machine.h"

#include <benchmark/benchmark.h>

#include <random>

namespace poplarpitch {
namespace {

constexpr const char* config_text =
    "[tenant t]\n[service s]\nidempotent = true\n[batch b]\ncores = 1\nmemory = 1GB\n";

std::vector<routing_candidate> make_rows(std::size_t count) {
    std::mt19937 random(1);
    std::vector<routing_candidate> rows(count);
    for (auto& row : rows) {
        row.total_slots = 8;
        row.free_slots = static_cast<int>(random() % 9);
        row.outstanding = 8 - row.free_slots;
        row.factor = 1.0F + static_cast<float>(random() % 100) / 100;
    }
    return rows;
}

void route_request(benchmark::State& state) {
    const auto rows = make_rows(static_cast<std::size_t>(state.range(0)));
    best_fit_router router;
    routing_random random(1);
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(router.pick(rows, random));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(route_request)->Arg(10)->Arg(40)->Arg(107)->Arg(160)->Arg(320)->Arg(640)->Complexity(benchmark::oN);

void place_task(benchmark::State& state) {
    std::mt19937 random(1);
    std::vector<placement_candidate> candidates(static_cast<std::size_t>(state.range(0)));
    for (auto& candidate : candidates) {
        candidate.capacity = {8, 64000, 256LL << 30, 0};
        candidate.free = {8, static_cast<std::int64_t>(random() % 64000), 256LL << 30, 0};
        candidate.services = {{0, 10}, {1, 5}, {2, 1}};
    }
    interference_model model;
    for (std::uint32_t service = 0; service < 3; ++service) {
        model.set_estimate(service, 0, 0.5, 100);
    }
    const cost_placer placer(objective_settings{});
    const placement_request request{{0, 4000, 4LL << 30, 0}, 0, 60, false};
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(placer.pick(candidates, request, model));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(place_task)->Arg(40)->Arg(160)->Arg(320)->Arg(640)->Complexity(benchmark::oN);

/// Returns an entry's fleet of `workers` workers that run `tasks` tasks each.
owned_fleet make_fleet(int workers, int tasks) {
    owned_fleet fleet("e");
    fleet.set_configuration(std::make_shared<const configuration>(parse_configuration(config_text).value));
    std::vector<wire::worker> records;
    for (int number = 0; number < workers; ++number) {
        wire::worker record;
        record.set_id("w" + std::to_string(number));
        record.set_epoch(1);
        record.add_services("s");
        record.mutable_capacity()->set_slots(8);
        record.mutable_capacity()->set_millicores(64000);
        records.push_back(record);
    }
    fleet.set_owned_workers(records, {});
    for (auto& [id, worker] : fleet.get_workers()) {
        announcement message;
        message.id = id;
        message.capacity = {8, 64000, 0, 0};
        message.epoch = 1;
        message.is_complete = true;
        fleet.apply_announcement(message, {});
        for (int task = 0; task < tasks; ++task) {
            auto& item = worker.tasks["j" + std::to_string(task)];
            item.job = "j" + std::to_string(task);
            item.batch = "b";
            item.reserved = {0, 1000, 0, 0};
            fleet.adopt_task(worker, item);
        }
    }
    return fleet;
}

void start_and_end_request(benchmark::State& state) {
    auto fleet = make_fleet(static_cast<int>(state.range(0)), 9);
    for (auto step : state) {
        static_cast<void>(step);
        const auto grant = fleet.start_request("s", "t", "request", {});
        fleet.end_request(*grant, attempt_result::answered, milliseconds{5}, {});
    }
}
BENCHMARK(start_and_end_request)->Arg(10)->Arg(107)->Arg(640);

void tick_fleet(benchmark::State& state) {
    auto fleet = make_fleet(static_cast<int>(state.range(0)), 9);
    for (auto step : state) {
        static_cast<void>(step);
        fleet.tick({});
    }
}
BENCHMARK(tick_fleet)->Arg(107)->Unit(benchmark::kMicrosecond);

void queue_request(benchmark::State& state) {
    admission_queue queue;
    std::uint64_t id = 0;
    std::mt19937_64 random(1);
    const auto add = [&] {
        queue.push(
            {++id, "tenant-" + std::to_string(random() % 39), time_point{duration{random() % 1'000'000}}});
    };
    for (int waiting = 0; waiting < state.range(0); ++waiting) {
        add();
    }
    for (auto step : state) {
        static_cast<void>(step);
        add();
        queue.remove(*queue.peek());
    }
}
BENCHMARK(queue_request)->Arg(10)->Arg(1000)->Arg(10000);

/// Fills the replicated state with workers, running jobs and queued jobs.
void fill(state_machine& machine, int workers, int running, int queued) {
    log_index index = 0;
    wire::command command;
    command.mutable_config()->set_text(config_text);
    machine.apply(++index, command);
    for (int entry = 0; entry < 6; ++entry) {
        wire::command open;
        open.mutable_open()->mutable_opened()->set_entry("e" + std::to_string(entry));
        open.mutable_open()->mutable_opened()->set_incarnation(1);
        machine.apply(++index, open);
    }
    for (int number = 0; number < workers; ++number) {
        wire::command add;
        auto& worker = *add.mutable_register_target()->mutable_registered();
        worker.set_id("w" + std::to_string(number));
        worker.set_rack("r" + std::to_string(number / 8));
        worker.add_services("s");
        worker.set_owner("e" + std::to_string(number % 6));
        worker.mutable_capacity()->set_slots(8);
        worker.mutable_capacity()->set_millicores(64000);
        worker.mutable_capacity()->set_memory(256LL << 30);
        machine.apply(++index, add);
    }
    for (int number = 0; number < running + queued; ++number) {
        const auto id = "job-" + std::to_string(number);
        wire::command submit;
        auto& job = *submit.mutable_submit()->mutable_submitted();
        job.set_id(id);
        job.set_tenant("t");
        job.set_batch("b");
        job.mutable_need()->set_millicores(1000);
        job.set_idempotent(true);
        machine.apply(++index, submit);
        if (number < running) {
            wire::command assign;
            assign.mutable_assign()->set_job(id);
            assign.mutable_assign()->set_attempt(1);
            assign.mutable_assign()->set_worker("w" + std::to_string(number % workers));
            assign.mutable_assign()->set_epoch(1);
            machine.apply(++index, assign);
        }
    }
}

wire::renew_request make_renewal(const state_machine& machine, int entry) {
    wire::renew_request request;
    request.set_entry("e" + std::to_string(entry));
    request.set_incarnation(1);
    for (const auto& id : machine.get_fleet().get_owned(request.entry())) {
        auto& load = *request.add_loads();
        load.set_worker(id);
        load.set_ready(true);
    }
    return request;
}

void schedule_turn(benchmark::State& state) {
    state_machine machine;
    fill(machine, 640, 10000, static_cast<int>(state.range(0)));
    leader_duties duties;
    duties.start(machine, time_point{seconds{1}});
    for (int entry = 0; entry < 6; ++entry) {
        duties.renew(machine, make_renewal(machine, entry), time_point{seconds{1}});
    }
    std::size_t commands = 0;
    for (auto step : state) {
        static_cast<void>(step);
        commands = duties.run(machine, 100, time_point{seconds{1}}, 1).size();
    }
    state.counters["placed"] = static_cast<double>(commands);
}
BENCHMARK(schedule_turn)->Arg(0)->Arg(7)->Arg(100)->Unit(benchmark::kMicrosecond);

void answer_renewal(benchmark::State& state) {
    state_machine machine;
    fill(machine, 640, static_cast<int>(state.range(0)), 0);
    leader_duties duties;
    duties.start(machine, time_point{seconds{1}});
    auto request = make_renewal(machine, 0);
    request.set_known_revision(machine.get_applied());
    request.set_known_config(1);
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(make_renew_answer(machine, duties.get_sessions(), request));
    }
}
BENCHMARK(answer_renewal)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

void apply_job_events(benchmark::State& state) {
    state_machine machine;
    fill(machine, 640, 10000, 0);
    log_index index = machine.get_applied();
    std::uint64_t number = 0;
    for (auto step : state) {
        static_cast<void>(step);
        wire::command command;
        command.mutable_event()->set_job("job-" + std::to_string(number++ % 10000));
        command.mutable_event()->set_attempt(1);
        command.mutable_event()->set_kind(wire::event_checkpointed);
        benchmark::DoNotOptimize(machine.apply_bytes(++index, command.SerializeAsString()));
    }
}
BENCHMARK(apply_job_events);

void save_state(benchmark::State& state) {
    state_machine machine;
    fill(machine, 640, static_cast<int>(state.range(0)), 0);
    std::size_t bytes = 0;
    for (auto step : state) {
        static_cast<void>(step);
        bytes = machine.save().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(save_state)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace poplarpitch
