#include "poplarpitch/dispatch/order_backoff.h"

#include <algorithm>
#include <random>
#include <utility>

namespace poplarpitch {
namespace {

// Maximum number of doublings of the pause. It grows from 120 ms to a second, a seventh of a lease, so a
// worker that becomes reachable again is found while its runs still hold the lease.
constexpr std::uint32_t max_doublings = 3;
constexpr double jitter_width = 0.5; // share of the pause; half of the jitter lies on either side of it

} // namespace

duration get_backoff(std::uint32_t failures, duration shortest, std::uint64_t jitter_seed) {
    const auto doublings = std::min(failures - 1, max_doublings);
    std::minstd_rand random(static_cast<std::uint32_t>(jitter_seed + failures));
    random.discard(1); // the first number is too closely correlated with the seed
    const auto fraction = static_cast<double>(random()) / static_cast<double>(std::minstd_rand::max());
    const auto pause = shortest * (1U << doublings);
    return std::chrono::duration_cast<duration>(pause * (1 + jitter_width * (fraction - 0.5)));
}

void order_backoff::on_sent(time_point now, duration timeout) {
    if (m_failures > 0) {
        m_next = now + timeout; // other orders wait for the answer to this one
    }
}

bool order_backoff::on_answer() {
    return std::exchange(m_failures, 0) > 0;
}

void order_backoff::on_failure(time_point now, duration shortest, std::uint64_t jitter_seed) {
    const bool is_same_loss = m_failures > 0 && now - m_failed_at < shortest;
    if (is_same_loss) {
        return; // orders that were in flight together
    }
    ++m_failures;
    m_failed_at = now;
    m_next = now + get_backoff(m_failures, shortest, jitter_seed);
}

} // namespace poplarpitch
