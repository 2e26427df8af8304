#pragma once

#include "poplarpitch/core/time.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace poplarpitch {

/// A request that waits for admission.
struct admission_ticket {
    std::uint64_t id = 0; ///< unique; increases with each request
    std::string tenant;
    time_point deadline{};

    friend auto operator<=>(const admission_ticket&, const admission_ticket&) = default;
};

/// Queue of the requests to one service that wait for a free slot. The earliest deadline goes first, which
/// misses the fewest deadlines as long as the load can be served at all (Liu and Layland, 1973). A tenant
/// that holds more than its weighted share of the running requests yields to waiting tenants that do not, so
/// one tenant's burst cannot starve the others. Operations cost O(tenants + log waiting). Thread safety:
/// none, as for all methods.
class admission_queue {
public:
    /// Sets the weight of a tenant, which is 1 by default. Precondition: `weight` is positive.
    void set_weight(const std::string& tenant, double weight);

    /// Adds a waiting request. Precondition: no request with its id is waiting.
    void push(const admission_ticket& ticket);
    /// Removes a waiting request, for instance one that gave up. Returns false when it is not waiting.
    bool remove(const admission_ticket& ticket);
    /// Returns the next request without removing it; empty when none waits.
    [[nodiscard]] std::optional<admission_ticket> peek() const;
    /// Returns the number of waiting requests whose deadline is at or before `deadline`.
    [[nodiscard]] std::size_t count_before(time_point deadline) const;
    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t get_size() const { return m_size; }

    /// Records that a request of `tenant` started or ended; the shares are computed from these counts.
    /// Precondition of `on_ended`: a request of `tenant` is running.
    void on_started(const std::string& tenant);
    void on_ended(const std::string& tenant);
    /// Returns the number of running requests of a tenant.
    [[nodiscard]] std::int64_t get_running(const std::string& tenant) const;

private:
    using order_key = std::pair<time_point, std::uint64_t>;

    struct tenant_queue {
        double weight = 1.0;
        std::int64_t running = 0;
        absl::btree_map<order_key, admission_ticket> waiting;
    };

    [[nodiscard]] bool is_over_share(const tenant_queue& queue, double running_total,
                                     double weight_total) const;

    std::map<std::string, tenant_queue> m_tenants;
    std::size_t m_size = 0;
};

} // namespace poplarpitch
