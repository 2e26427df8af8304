// No key with waiting work is pushed out during a lasting overload, whatever the others submit.
#include "poplarpitch/dispatch/fair_share.h"

#include "unit_tests/dispatch/simulated_room.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr double min_overload = 1.3; // of the cores
constexpr auto room_cores = static_cast<double>(simulated_room::cores);

/// Returns the part of the cores that each key has by weight, where no key has more than it submits and the
/// others have what it leaves.
std::map<fair_share::share_key, double> divide_by_weight(const std::vector<simulated_caller>& callers,
                                                         const std::map<std::string, double>& weights) {
    std::map<fair_share::share_key, double> parts;
    auto open = callers;
    double left = room_cores;
    while (!open.empty()) {
        double sum = 0;
        for (const auto& caller : open) {
            sum += weights.at(caller.key.queue);
        }
        const auto is_content = [&](const simulated_caller& caller) {
            return caller.cores <= left * weights.at(caller.key.queue) / sum;
        };
        const auto found = std::find_if(open.begin(), open.end(), is_content);
        if (found == open.end()) {
            for (const auto& caller : open) {
                parts[caller.key] = left * weights.at(caller.key.queue) / sum;
            }
            return parts;
        }
        parts[found->key] = found->cores;
        left -= found->cores;
        open.erase(found);
    }
    return parts;
}

/// Load pattern: some callers submit up to 30 times as much as others, for 30 s and longer.
RC_GTEST_PROP(fair_share_property, gives_each_key_half_of_its_weighted_share_in_a_lasting_overload, ()) {
    const auto keys = *rc::gen::inRange(2, 6);
    const auto objective = seconds{*rc::gen::inRange(3, 9)};
    std::vector<simulated_caller> callers;
    fair_share_settings settings;
    for (int number = 0; number < keys; ++number) {
        const auto queue = "queue" + std::to_string(number);
        settings.weights[queue] = *rc::gen::inRange(1, 5);
        callers.push_back({{queue, "east"}, room_cores / 10 * static_cast<double>(*rc::gen::inRange(1, 31))});
    }
    double sum = 0;
    for (const auto& caller : callers) {
        sum += caller.cores;
    }
    const auto factor = std::max(1.0, min_overload * room_cores / sum);
    for (auto& caller : callers) {
        caller.cores *= factor;
    }
    fair_share shares(settings);
    simulated_room room(&shares, objective);
    room.run(callers, seconds{10});
    std::map<fair_share::share_key, double> before;
    for (const auto& caller : callers) {
        before[caller.key] = room.get_started(caller.key);
    }
    room.run(callers, seconds{30});
    for (const auto& [key, cores] : divide_by_weight(callers, settings.weights)) {
        const auto got = (room.get_started(key) - before[key]) / 30;
        RC_ASSERT(got >= cores / 2);
    }
}

} // namespace
} // namespace poplarpitch
