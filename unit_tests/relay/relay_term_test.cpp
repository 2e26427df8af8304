// Answers whose term differs from the term in which the order was sent.
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::uint32_t relay_ip = 0x0a010002;
constexpr log_term term = 7;

job_wire::relay_answers make_answers(log_term answer_term) {
    job_wire::relay_answers frame;
    frame.set_term(answer_term);
    frame.set_ip(relay_ip);
    frame.set_data_centre("near");
    frame.set_version(relay_version);
    return frame;
}

TEST(relay_term, ignores_answers_of_another_term) {
    const time_point now{seconds{100}};
    relay_hub hub{relay_settings{}};
    hub.start_leading(term, {}, now);
    EXPECT_TRUE(hub.on_answers(make_answers(term), now).empty());
    stop_order order;
    order.target = {{"w1", 0}, "10.9.0.1:80", term, false, milliseconds{900}};
    ASSERT_TRUE(hub.add(order, "near", 1, now));
    const auto frames = hub.take_frames({relay_ip}, now);
    ASSERT_EQ(frames.size(), 1U);
    const auto number = frames[0].orders->orders(0).number();
    for (const auto other : {term - 1, term + 1}) {
        auto answers = make_answers(other);
        answers.add_answers()->set_number(number);
        EXPECT_TRUE(hub.on_answers(answers, now).empty());
    }
    auto answers = make_answers(term);
    answers.add_answers()->set_number(number);
    EXPECT_EQ(hub.on_answers(answers, now).size(), 1U);
}

} // namespace
} // namespace poplarpitch
