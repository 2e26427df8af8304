// A call whose timeout expires before it could be written, for instance while the process was suspended.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/net_error.h"

#include <gtest/gtest.h>

#include <string>
#include <system_error>
#include <thread>

namespace poplarpitch {
namespace {

constexpr duration test_timeout = seconds{60}; // a passing test never reaches it

TEST(late_call, is_not_written_once_its_time_is_over) {
    event_loop loop;
    http_caller caller(loop, http_caller_settings{});
    int arrived = 0;
    http_listener listener(loop, http_listener_settings{},
                           [&](const http_request& /*request*/, const http_responder& respond) {
                               ++arrived;
                               respond(http_response{});
                           });
    http_call call;
    call.address = "127.0.0.1:" + std::to_string(listener.start().value());
    call.request.method = "POST";
    call.request.target = "/";
    call.timeout = milliseconds{20};
    std::error_code outcome;
    loop.call_after(test_timeout, [&] { loop.stop(); });
    loop.post([&] {
        caller.send(call, [&](const result<http_response>& response) {
            outcome = response ? std::error_code{} : response.error();
            loop.call_after(milliseconds{1},
                            [&] { loop.stop(); }); // a written request would have arrived by then
        });
        std::this_thread::sleep_for(2 * call.timeout); // the connection is established during this time
    });
    loop.run();
    EXPECT_EQ(outcome, make_error_code(net_errc::unreachable));
    EXPECT_EQ(arrived, 0);
}

} // namespace
} // namespace poplarpitch
