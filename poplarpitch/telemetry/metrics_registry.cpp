#include "poplarpitch/telemetry/metrics_registry.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::size_t max_series = 2000; // of each kind
constexpr int bins = 40;                 // two for each doubling from 50 us to 52 s
constexpr double lowest_seconds = 50e-6;
constexpr double highest_seconds = 52.4288;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_histogram =
    decltype(boost::histogram::make_histogram_with(std::vector<std::uint32_t>(), std::declval<log_axis>()));

std::string escape(const std::string& text) {
    return absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", " "}});
}

/// Returns `{tenant="a",service="b"}` with `extra` behind, or nothing when all is empty.
std::string format_labels(const metric_labels& labels, const std::string& extra = "") {
    std::string text;
    const auto append = [&](const char* key, const std::string& value) {
        if (!value.empty()) {
            absl::StrAppend(&text, text.empty() ? "" : ",", key, "=\"", escape(value), "\"");
        }
    };
    append("tenant", labels.tenant);
    append("service", labels.service);
    append("outcome", labels.outcome);
    if (!extra.empty()) {
        absl::StrAppend(&text, text.empty() ? "" : ",", extra);
    }
    return text.empty() ? text : absl::StrCat("{", text, "}");
}

} // namespace

struct metrics_registry::histogram_series {
    histogram_series()
        : histogram(boost::histogram::make_histogram_with(std::vector<std::uint32_t>(),
                                                          log_axis(bins, lowest_seconds, highest_seconds))) {}

    latency_histogram histogram;
    double sum = 0; ///< seconds
    std::uint64_t count = 0;
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

metrics_registry::series_key metrics_registry::make_key(const std::string& name, const metric_labels& labels,
                                                        bool is_known) const {
    return is_known ? series_key{name, labels} : series_key{name, {"other", "other", labels.outcome}};
}

void metrics_registry::count(const std::string& name, const metric_labels& labels, std::int64_t amount) {
    const absl::MutexLock lock(&m_mutex);
    const bool is_known = m_counters.size() < max_series || m_counters.contains({name, labels});
    m_counters[make_key(name, labels, is_known)] += amount;
}

void metrics_registry::set(const std::string& name, const metric_labels& labels, double value) {
    const absl::MutexLock lock(&m_mutex);
    const bool is_known = m_gauges.size() < max_series || m_gauges.contains({name, labels});
    m_gauges[make_key(name, labels, is_known)] = value;
}

void metrics_registry::observe(const std::string& name, const metric_labels& labels, duration value) {
    const absl::MutexLock lock(&m_mutex);
    const bool is_known = m_histograms.size() < max_series || m_histograms.contains({name, labels});
    auto& series = m_histograms[make_key(name, labels, is_known)];
    if (series == nullptr) {
        series = std::make_unique<histogram_series>();
    }
    series->histogram(to_seconds(value));
    series->sum += to_seconds(value);
    ++series->count;
}

std::string metrics_registry::format() const {
    const absl::MutexLock lock(&m_mutex);
    std::string text;
    std::string last;
    const auto begin = [&](const std::string& name, const char* type) {
        if (name != last) {
            absl::StrAppend(&text, "# TYPE ", name, " ", type, "\n");
            last = name;
        }
    };
    for (const auto& [key, value] : m_counters) {
        begin(key.first, "counter");
        absl::StrAppend(&text, key.first, format_labels(key.second), " ", value, "\n");
    }
    for (const auto& [key, value] : m_gauges) {
        begin(key.first, "gauge");
        absl::StrAppend(&text, key.first, format_labels(key.second), " ", value, "\n");
    }
    for (const auto& [key, series] : m_histograms) {
        begin(key.first, "histogram");
        const auto& axis = series->histogram.axis(0);
        std::uint64_t sum = static_cast<std::uint64_t>(series->histogram.at(-1));
        for (int bin = 0; bin < axis.size(); ++bin) {
            sum += static_cast<std::uint64_t>(series->histogram.at(bin));
            const auto bound = absl::StrCat("le=\"", axis.bin(bin).upper(), "\"");
            absl::StrAppend(&text, key.first, "_bucket", format_labels(key.second, bound), " ", sum, "\n");
        }
        absl::StrAppend(&text, key.first, "_bucket", format_labels(key.second, "le=\"+Inf\""), " ",
                        series->count, "\n");
        absl::StrAppend(&text, key.first, "_sum", format_labels(key.second), " ", series->sum, "\n");
        absl::StrAppend(&text, key.first, "_count", format_labels(key.second), " ", series->count, "\n");
    }
    return text;
}

} // namespace poplarpitch
