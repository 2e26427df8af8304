#pragma once

#include "poplarpitch/scheduling/step_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// What found no room in the present pass: a task at least as large of the same kind finds none either.
///
/// Load pattern: in a burst hundreds of steps wait, of a few images, and each look at all workers finds
/// nothing. With this a pass over 500 waiting steps looks at all workers about once for each image, since a
/// look also tells how large a task of the image may be at most. Thread safety: none, as for all methods.
class refused_shapes {
public:
    /// Notes that a task of `spec` in `pool` found no room, and that one of its kind may ask for `most_room`
    /// millicores at most. Precondition: nothing but its size and image kept it out.
    void add(const std::string& pool, const step_spec& spec, std::int64_t most_room) {
        m_shapes.push_back(
            {pool, spec.image, spec.fills, spec.millicores, spec.memory_mb, spec.accelerators});
        if (most_room < spec.millicores) {
            m_shapes.push_back({pool, spec.image, spec.fills, most_room + 1, 0, 0});
        }
    }

    /// Returns true when a task of `spec` in `pool` cannot find room either.
    [[nodiscard]] bool covers(const std::string& pool, const step_spec& spec) const {
        for (const auto& shape : m_shapes) {
            const bool is_alike =
                shape.fills == spec.fills && shape.image == spec.image && shape.pool == pool;
            const bool is_larger = spec.millicores >= shape.millicores && spec.memory_mb >= shape.memory_mb &&
                                   spec.accelerators >= shape.accelerators;
            if (is_alike && is_larger) {
                return true;
            }
        }
        return false;
    }

    /// Returns true when nothing but size and image may keep a task of `spec` out.
    [[nodiscard]] static bool is_plain(const step_spec& spec) {
        return spec.required_label.empty() && spec.affinity_rack.empty() && spec.max_per_worker == 0 &&
               !spec.gang && !spec.long_running;
    }

private:
    struct shape {
        std::string pool;
        std::string image;
        bool fills = false;
        std::int64_t millicores = 0;
        std::int64_t memory_mb = 0;
        std::int64_t accelerators = 0;
    };

    std::vector<shape> m_shapes;
};

} // namespace poplarpitch
