#pragma once

#include "poplarpitch/scheduling/step_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// Requests that found no room in the current pass. A task of the same kind that is at least as large finds
/// no room either.
///
/// Load pattern: in a burst, hundreds of steps of a few images wait, and no worker has room for any of them.
/// With this a pass over 500 waiting steps examines all workers about once per image, since each examination
/// also yields the largest size that a task of the image may have. Thread safety: none, as for all methods.
class refused_shapes {
public:
    /// Records that a task of `spec` in `pool` found no room, and that a task of its kind may request
    /// `most_room` millicores at most. Precondition: only its size and image ruled it out.
    void add(const std::string& pool, const step_spec& spec, std::int64_t most_room) {
        m_shapes.push_back(
            {pool, spec.image, spec.is_filling, spec.millicores, spec.memory_mb, spec.accelerators});
        if (most_room < spec.millicores) {
            m_shapes.push_back({pool, spec.image, spec.is_filling, most_room + 1, 0, 0});
        }
    }

    /// Returns true when a task of `spec` in `pool` cannot find room either.
    [[nodiscard]] bool covers(const std::string& pool, const step_spec& spec) const {
        for (const auto& shape : m_shapes) {
            const bool is_alike =
                shape.is_filling == spec.is_filling && shape.image == spec.image && shape.pool == pool;
            const bool is_larger = spec.millicores >= shape.millicores && spec.memory_mb >= shape.memory_mb &&
                                   spec.accelerators >= shape.accelerators;
            if (is_alike && is_larger) {
                return true;
            }
        }
        return false;
    }

    /// Returns true when only size and image may rule out a task of `spec`.
    [[nodiscard]] static bool is_limited_by_size_only(const step_spec& spec) {
        return spec.required_label.empty() && spec.affinity_rack.empty() && spec.max_per_worker == 0 &&
               !spec.gang && !spec.long_running;
    }

private:
    struct shape {
        std::string pool;
        std::string image;
        bool is_filling = false;
        std::int64_t millicores = 0;
        std::int64_t memory_mb = 0;
        std::int64_t accelerators = 0;
    };

    std::vector<shape> m_shapes;
};

} // namespace poplarpitch
