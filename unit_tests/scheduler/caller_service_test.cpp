// Answers that promise that a job never runs, and copies of its submission that arrive after them.
#include "poplarpitch/scheduler/caller_service.h"

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/scheduler/plain_dialect.h"
#include "unit_tests/support/temporary_folder.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration test_timeout = seconds{60}; // reached only when the test fails
constexpr std::int64_t time_limit_ms = 3000;   // of a request
const std::string job = "00000000000000aa";

/// A leader of a cluster of one instance, with one queue at `/jobs/`, and its service for callers.
class leading_service {
public:
    leading_service() : m_parts(make_settings(), make_handler()), m_service(m_parts) {
        m_parts.loop.on_iteration_end([this] {
            m_parts.dispatch.tick(m_parts.loop.now(), get_wall_ms(), m_parts.batcher.can_flush());
            m_parts.batcher.flush();
        });
        EXPECT_TRUE(m_parts.log.start());
        run_until([this] { return m_parts.may_answer(); });
        put_config();
    }

    /// Sends a request that an entry instance received `age_ms` ago, and returns the status of its answer; 0
    /// when there is none within a second.
    int send(const std::string& method, const std::string& id, std::int64_t age_ms = 0) {
        std::optional<int> status;
        m_service.handle(make_request(method, id, age_ms), [&](const job_wire::relay_answer& answer) {
            status = static_cast<int>(answer.status());
        });
        const auto end = m_parts.loop.now() + seconds{1};
        run_until([&] { return status.has_value() || m_parts.loop.now() >= end; });
        return status.value_or(0);
    }

    /// Cancels many unknown jobs without waiting for the answers in between.
    void cancel_unknown_jobs(std::size_t count) {
        std::size_t answers = 0;
        for (std::size_t number = 0; number < count; ++number) {
            m_service.handle(make_request("DELETE", format_job_id(number), 0),
                             [&](const job_wire::relay_answer& /*answer*/) { ++answers; });
        }
        run_until([&] { return answers == count; });
    }

    /// Forgets what a leader keeps for itself, as the next leader does not know it.
    void lead_anew() { m_service.on_leading(); }
    void wait(duration length) {
        const auto end = m_parts.loop.now() + length;
        run_until([&] { return m_parts.loop.now() >= end; });
    }
    void refuse_all_jobs(bool must_refuse) {
        m_parts.settings.dispatch.max_open_jobs = must_refuse ? 0 : 100;
    }
    /// Sets the memory of the instance. Two fifths of it are for accepted jobs, of which each takes about
    /// 2,000 bytes here.
    void set_memory(std::size_t bytes) { m_parts.settings.memory_limit = bytes; }
    [[nodiscard]] std::size_t count_jobs() const { return m_parts.job_state.get_jobs().size(); }
    [[nodiscard]] std::size_t count_refused() const { return m_parts.job_state.get_refused().size(); }

private:
    scheduler_settings make_settings() {
        scheduler_settings settings;
        settings.replica.data_folder = m_folder.get_path();
        settings.replica.seeds = {settings.replica.host};
        settings.replica.may_found = true;
        settings.replica.voters = 1;
        return settings;
    }

    replica_handler make_handler() {
        replica_handler handler;
        handler.on_command = [this](const log_entry& entry) {
            std::vector<job_state_event> events;
            m_parts.batcher.apply(entry, events);
            for (const auto& event : events) {
                m_parts.dispatch.on_event(event, m_parts.loop.now(), get_wall_ms());
            }
        };
        handler.on_save = [this] {
            return m_parts.job_state.save();
        };
        handler.on_load = [](const std::string& /*bytes*/) {
        };
        handler.on_leading = [this](log_term term) {
            m_parts.dispatch.start_leading(term, m_parts.loop.now(), get_wall_ms());
        };
        handler.on_leading_lost = [this] {
            m_parts.dispatch.stop_leading();
            m_parts.batcher.drop_pending();
        };
        return handler;
    }

    void put_config() {
        job_configuration configuration;
        configuration.version = 1;
        queue_settings queue;
        queue.host = "mill.example";
        queue.prefix = "/jobs/";
        queue.pool = "mill";
        configuration.queues.push_back(queue);
        job_wire::job_command command;
        encode(configuration, *command.mutable_config());
        m_parts.batcher.add(std::move(command), nullptr);
        run_until([this] { return m_parts.job_state.get_configuration().version == 1; });
    }

    job_wire::relay_request make_request(const std::string& method, const std::string& id,
                                         std::int64_t age_ms) const {
        job_wire::relay_request request;
        request.set_method(method);
        request.set_host("mill.example");
        request.set_target("/jobs/" + id);
        request.set_remaining_ms(time_limit_ms);
        request.set_received_ms(to_milliseconds(m_parts.loop.now().time_since_epoch()) - age_ms);
        return request;
    }

    template <class Condition>
    void run_until(Condition is_done) {
        const auto end = m_parts.loop.now() + test_timeout;
        while (!is_done()) {
            ASSERT_LT(m_parts.loop.now(), end) << "the test did not end within its time limit";
            m_parts.loop.get_context().restart();
            m_parts.loop.call_after(milliseconds{2}, [this] { m_parts.loop.stop(); });
            m_parts.loop.run();
        }
    }

    temporary_folder m_folder;
    scheduler_parts m_parts;
    caller_service<plain_dialect> m_service;
};

TEST(caller_service, refuses_a_job_that_was_cancelled_before_it_was_submitted) {
    leading_service service;
    EXPECT_EQ(service.send("DELETE", job), 410);
    EXPECT_EQ(service.send("POST", job), 410);
    EXPECT_EQ(service.send("DELETE", job), 410);
    EXPECT_EQ(service.send("GET", job), 410);
    EXPECT_EQ(service.count_jobs(), 0U);
    EXPECT_EQ(service.count_refused(), 1U);
}

TEST(caller_service, cancels_a_job_that_it_knows_without_keeping_a_refusal) {
    leading_service service;
    EXPECT_EQ(service.send("POST", job), 200);
    EXPECT_EQ(service.send("DELETE", job), 200);
    EXPECT_EQ(service.send("POST", job),
              200); // a late copy of an accepted submission; the job stays cancelled
    EXPECT_EQ(service.count_refused(), 0U);
}

// A cancelling is not acknowledged when its promise could not be kept.
TEST(caller_service, answers_503_to_the_cancelling_of_an_unknown_job_beyond_the_limit) {
    leading_service service;
    EXPECT_EQ(service.send("POST", "00000000000fffff"), 200);
    service.cancel_unknown_jobs(job_state_machine::max_refused_jobs);
    EXPECT_EQ(service.count_refused(), job_state_machine::max_refused_jobs);
    EXPECT_EQ(service.send("DELETE", "0000000000ffffff"), 503);
    EXPECT_EQ(service.send("POST", "0000000000ffffff"), 200); // nothing was promised
    EXPECT_EQ(service.send("DELETE", "00000000000fffff"), 200);
    EXPECT_EQ(service.send("DELETE", format_job_id(1)), 410);
}

// The caller of one copy was told that the job never runs, and another copy of it was accepted afterwards.
TEST(caller_service, refuses_the_copies_that_were_on_their_way_when_a_submission_was_refused) {
    leading_service service;
    service.refuse_all_jobs(true);
    EXPECT_EQ(service.send("POST", job), 429);
    service.refuse_all_jobs(false);
    EXPECT_EQ(service.send("POST", job, 2000), 429); // received by an entry instance before the refusal
    EXPECT_EQ(service.count_jobs(), 0U);
    service.wait(milliseconds{10});
    EXPECT_EQ(service.send("POST", job), 200); // the caller returns
    EXPECT_EQ(service.send("POST", job, 2000), 200);
    EXPECT_EQ(service.count_jobs(), 1U);
}

// The next leader does not know what the one before refused.
// Accepted jobs took any amount of memory, also long after they had ended.
TEST(caller_service, refuses_a_job_and_its_copies_while_there_is_no_memory_for_it) {
    const std::string second = "00000000000000bb";
    leading_service service;
    service.set_memory(7500);
    EXPECT_EQ(service.send("POST", job), 200);
    EXPECT_EQ(service.send("POST", second), 429);
    EXPECT_EQ(service.send("POST", job), 200) << "a repeated request of the accepted job";
    service.set_memory(scheduler_settings::default_memory_bytes);
    EXPECT_EQ(service.send("POST", second, 500), 429) << "a copy that was on its way meanwhile";
    EXPECT_EQ(service.send("GET", second), 410);
    EXPECT_EQ(service.count_jobs(), 1U);
}

// One small document with millions of tasks ended all instances, and again after each start.
TEST(caller_service, refuses_a_job_that_no_instance_can_hold) {
    leading_service service;
    service.set_memory(1000);
    EXPECT_EQ(service.send("POST", job), 400);
    EXPECT_EQ(service.count_jobs(), 0U);
}

TEST(caller_service, refuses_the_copies_of_a_submission_that_a_former_leader_refused) {
    leading_service service;
    service.refuse_all_jobs(true);
    EXPECT_EQ(service.send("POST", job), 429);
    service.refuse_all_jobs(false);
    service.lead_anew();
    EXPECT_EQ(service.send("POST", job, 2000), 429);
    EXPECT_EQ(service.count_jobs(), 0U);
}

// A connection that was held up delivered submissions that had long been answered elsewhere.
TEST(caller_service, drops_a_request_that_was_on_its_way_for_longer_than_its_caller_waits) {
    leading_service service;
    EXPECT_EQ(service.send("POST", job, time_limit_ms + 1000), 0);
    EXPECT_EQ(service.send("DELETE", job, time_limit_ms + 1000), 0);
    EXPECT_EQ(service.count_jobs(), 0U);
    EXPECT_EQ(service.count_refused(), 0U);
    EXPECT_EQ(service.send("POST", job, time_limit_ms - 100), 200);
}

} // namespace
} // namespace poplarpitch
