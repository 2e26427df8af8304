#pragma once

#include "poplarpitch/core/time.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace poplarpitch {

/// One waiting request.
struct admission_ticket {
    std::uint64_t id = 0; ///< unique; later ones are larger
    std::string tenant;
    time_point deadline{};

    friend auto operator<=>(const admission_ticket&, const admission_ticket&) = default;
};

/// The requests of one service that wait for a free slot. Earliest deadline first, since that misses the
/// fewest deadlines as long as the load can be served at all (Liu and Layland, 1973); among tenants, those
/// that hold more than their weighted share of what is running stand back while another waits, so one
/// tenant's burst cannot starve the rest. Costs O(tenants + log waiting). Thread safety: none, as for all
/// methods.
class admission_queue {
public:
    /// Sets the weight of a tenant; 1 for those never set. Precondition: `weight` is positive.
    void set_weight(const std::string& tenant, double weight);

    /// Adds a waiting request. Precondition: its id is not waiting.
    void push(const admission_ticket& ticket);
    /// Takes out a request that gave up. Returns false when it is not waiting.
    bool remove(const admission_ticket& ticket);
    /// Returns the request that is next, and leaves it; empty when none waits.
    [[nodiscard]] std::optional<admission_ticket> peek() const;
    /// Returns how many requests wait that would go before one with this deadline.
    [[nodiscard]] std::size_t count_before(time_point deadline) const;
    [[nodiscard]] std::size_t get_size() const { return m_size; }

    /// Notes that a request of `tenant` started or ended, for the shares.
    void on_started(const std::string& tenant);
    void on_ended(const std::string& tenant);
    /// Returns the running requests of a tenant.
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
