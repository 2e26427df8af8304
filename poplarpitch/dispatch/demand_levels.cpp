#include "poplarpitch/dispatch/demand_levels.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <cmath>

namespace poplarpitch {
namespace {

// Levels are saved in steps of a thousandth: a smoothed level approaches zero without end, and each further
// digit of it would be one more record of an idle leader.
constexpr double saved_steps = 1000;

} // namespace

std::string demand_levels::save(std::int64_t /*wall_ms*/, std::size_t /*max_bytes*/) const {
    job_wire::learned_demand message;
    message.set_filling_backlog(std::round(filling_backlog * saved_steps) / saved_steps);
    message.set_short_task_millicores(std::round(short_task_millicores));
    return message.SerializeAsString();
}

bool demand_levels::load(std::string_view body, std::int64_t /*wall_ms*/) {
    job_wire::learned_demand message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return false;
    }
    const auto backlog = message.filling_backlog();
    const auto demand = message.short_task_millicores();
    if (!(backlog >= 0 && backlog <= 1) || !std::isfinite(demand) || demand < 0) {
        return false;
    }
    *this = {backlog, demand};
    return true;
}

} // namespace poplarpitch
