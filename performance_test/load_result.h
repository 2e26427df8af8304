#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// Latencies and outcomes of one service.
struct load_result {
    std::vector<double> latency_us; ///< of requests with the outcome done
    std::map<std::string, std::int64_t> outcomes;
    std::map<std::string, std::int64_t> reasons; ///< number of requests with another outcome, by error code
    std::int64_t sent = 0;

    void merge(const load_result& other) {
        latency_us.insert(latency_us.end(), other.latency_us.begin(), other.latency_us.end());
        for (const auto& [name, count] : other.outcomes) {
            outcomes[name] += count;
        }
        for (const auto& [code, count] : other.reasons) {
            reasons[code] += count;
        }
        sent += other.sent;
    }

    [[nodiscard]] double get_quantile(double q) {
        if (latency_us.empty()) {
            return 0;
        }
        const auto place = static_cast<std::ptrdiff_t>(q * static_cast<double>(latency_us.size() - 1));
        std::nth_element(latency_us.begin(), latency_us.begin() + place, latency_us.end());
        return latency_us[static_cast<std::size_t>(place)];
    }

    [[nodiscard]] std::int64_t get_count(const std::string& name) const {
        const auto found = outcomes.find(name);
        return found == outcomes.end() ? 0 : found->second;
    }
};

} // namespace poplarpitch
