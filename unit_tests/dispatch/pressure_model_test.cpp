// The pressure model learns whether tasks of a filling image slow those of a serving image only a little
// or strongly, while the serving task's own load oscillates.
#include "poplarpitch/dispatch/pressure_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace poplarpitch {
namespace {

constexpr double base_ms = 10;
constexpr double target_ms = 50;
constexpr double interval_s = 0.35; // time between two observations
constexpr double load_period_s = 14;

double get_load(double seconds) {
    return 0.45 * (1 + 0.5 * std::sin(2 * M_PI * seconds / load_period_s));
}

double get_tail_latency_ms(double load, double slowdown) {
    const double room = 1 - load * slowdown;
    return room < 0.02 ? 600 : base_ms * slowdown / room;
}

/// Feeds the model with observations of a serving task over `seconds`. A filling task runs beside it for 2 s,
/// then pauses for 2 s, and so on.
void train(pressure_model& model, serving_load& own_load, const std::string& filling, double factor,
           double seconds, std::mt19937& random) {
    std::normal_distribution<double> noise(1, 0.05);
    for (double time = 0; time < seconds; time += interval_s) {
        const bool is_filling_running = static_cast<int>(time / 2) % 2 == 1;
        const double share = is_filling_running ? 0.1 : 0.0;
        const double tail_ms = get_tail_latency_ms(get_load(time), 1 + factor * share) * noise(random);
        std::vector<image_share> others;
        if (is_filling_running) {
            others.push_back({model.get_image_number(filling), share});
        }
        model.observe(model.get_image_number("serving"), tail_ms, target_ms, others, interval_s, own_load);
    }
}

TEST(pressure_model, tracks_the_load_of_a_task_without_neighbours) {
    pressure_model model;
    serving_load own_load;
    for (double time = 0; time < 30; time += interval_s) {
        model.observe(model.get_image_number("serving"), get_tail_latency_ms(get_load(time), 1), target_ms,
                      {}, interval_s, own_load);
        if (time > 3) {
            EXPECT_NEAR(own_load.load, get_load(time), 0.08) << "at " << time << " s";
        }
    }
}

TEST(pressure_model, tells_a_light_pair_from_a_heavy_one_within_seconds) {
    pressure_model model;
    serving_load own_load;
    std::mt19937 random(7);
    train(model, own_load, "light", 0.2, 14, random);
    train(model, own_load, "heavy", 4.5, 14, random);
    const auto serving = model.get_image_number("serving");
    EXPECT_LT(model.get_factor(serving, model.get_image_number("light")), 0.9);
    EXPECT_GT(model.get_factor(serving, model.get_image_number("heavy")), 2.5);
}

TEST(pressure_model, assumes_a_medium_factor_for_an_unknown_pair) {
    pressure_model model;
    const auto serving = model.get_image_number("serving");
    const auto unseen = model.get_image_number("unseen");
    EXPECT_GT(model.get_factor(serving, unseen), 0.8);
    EXPECT_LT(model.get_factor(serving, unseen), 2.0);
    EXPECT_GT(model.get_conservative_factor(serving, unseen), model.get_factor(serving, unseen));
}

TEST(pressure_model, starts_with_the_factors_that_another_leader_learned) {
    pressure_model first;
    serving_load own_load;
    std::mt19937 random(7);
    train(first, own_load, "heavy", 4.5, 14, random);
    pressure_model second;
    second.get_image_number("another"); // image numbers differ between leaders, image names do not
    second.load(first.save());
    EXPECT_EQ(second.save(), first.save());
    EXPECT_EQ(second.get_factor(second.get_image_number("serving"), second.get_image_number("heavy")),
              first.get_factor(first.get_image_number("serving"), first.get_image_number("heavy")));
}

TEST(pressure_model, leaves_less_room_the_higher_the_load) {
    pressure_model model;
    const auto serving = model.get_image_number("serving");
    const auto low = model.get_allowed_slowdown(serving, target_ms, 0.9, 0.25);
    const auto high = model.get_allowed_slowdown(serving, target_ms, 0.9, 0.65);
    EXPECT_GT(low, 1.0);
    EXPECT_GT(high, 0.0);
    EXPECT_LT(high, 0.3);
    EXPECT_LT(model.get_allowed_slowdown(serving, target_ms, 0.9, 0.85), 0.0);
}

TEST(pressure_model, treats_a_filling_task_at_two_thirds_of_its_request_as_in_a_light_phase) {
    EXPECT_NEAR(pressure_model::get_interference_share(8000, 8000), 1.0, 0.01);
    EXPECT_LT(pressure_model::get_interference_share(5360, 8000), 0.35);
}

} // namespace
} // namespace poplarpitch
