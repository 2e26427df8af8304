#include "poplarpitch/telemetry/metrics_registry.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::size_t max_series = 500; // for each metric type and shard
constexpr std::size_t shard_count = 8;
constexpr int bins = 40; // two for each doubling, from 50 us to 52 s
constexpr double lowest_seconds = 50e-6;
constexpr double highest_seconds = 52.4288;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_histogram =
    decltype(boost::histogram::make_histogram_with(std::vector<std::uint32_t>(), std::declval<log_axis>()));

std::string escape(const std::string& text) {
    return absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", " "}});
}

/// Returns `{tenant="a",service="b"}` with `extra` at the end, or an empty string when there are no labels.
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

    void add(const histogram_series& other) {
        histogram += other.histogram;
        sum += other.sum;
        count += other.count;
    }

    latency_histogram histogram;
    double sum = 0; ///< seconds
    std::uint64_t count = 0;
};

struct metrics_registry::shard {
    absl::Mutex mutex;
    std::map<series_key, std::int64_t> counters ABSL_GUARDED_BY(mutex);
    std::map<series_key, histogram_series> histograms ABSL_GUARDED_BY(mutex);
};

struct metrics_registry::totals {
    std::map<series_key, std::int64_t> counters;
    std::map<series_key, histogram_series> histograms;
};

metrics_registry::metrics_registry() {
    for (std::size_t index = 0; index < shard_count; ++index) {
        m_shards.push_back(std::make_unique<shard>());
    }
}

metrics_registry::~metrics_registry() = default;

metrics_registry::shard& metrics_registry::get_shard() {
    // Threads are assigned to shards in turn. A process usually has one registry; with a second one, a thread
    // uses the same index in both.
    thread_local const std::size_t index = m_next_shard.fetch_add(1) % shard_count;
    return *m_shards[index];
}

metrics_registry::series_key metrics_registry::make_key(const std::string& name, const metric_labels& labels,
                                                        bool is_known) {
    return is_known ? series_key{name, labels} : series_key{name, {"other", "other", labels.outcome}};
}

void metrics_registry::count(const std::string& name, const metric_labels& labels, std::int64_t amount) {
    auto& part = get_shard();
    const absl::MutexLock lock(&part.mutex);
    const bool is_known = part.counters.size() < max_series || part.counters.contains({name, labels});
    part.counters[make_key(name, labels, is_known)] += amount;
}

void metrics_registry::set(const std::string& name, const metric_labels& labels, double value) {
    const absl::MutexLock lock(&m_gauge_mutex);
    const bool is_known = m_gauges.size() < max_series || m_gauges.contains({name, labels});
    m_gauges[make_key(name, labels, is_known)] = value;
}

void metrics_registry::observe(const std::string& name, const metric_labels& labels, duration value) {
    auto& part = get_shard();
    const absl::MutexLock lock(&part.mutex);
    const bool is_known = part.histograms.size() < max_series || part.histograms.contains({name, labels});
    auto& series = part.histograms[make_key(name, labels, is_known)];
    series.histogram(to_seconds(value));
    series.sum += to_seconds(value);
    ++series.count;
}

metrics_registry::totals metrics_registry::sum_shards() const {
    totals sum;
    for (const auto& part : m_shards) {
        const absl::MutexLock lock(&part->mutex);
        for (const auto& [key, value] : part->counters) {
            sum.counters[key] += value;
        }
        for (const auto& [key, series] : part->histograms) {
            sum.histograms[key].add(series);
        }
    }
    return sum;
}

std::string metrics_registry::format() const {
    const auto sums = sum_shards();
    std::string text;
    std::string last;
    const auto begin = [&](const std::string& name, const char* type) {
        if (name != last) {
            absl::StrAppend(&text, "# TYPE ", name, " ", type, "\n");
            last = name;
        }
    };
    for (const auto& [key, value] : sums.counters) {
        begin(key.first, "counter");
        absl::StrAppend(&text, key.first, format_labels(key.second), " ", value, "\n");
    }
    {
        const absl::MutexLock lock(&m_gauge_mutex);
        for (const auto& [key, value] : m_gauges) {
            begin(key.first, "gauge");
            absl::StrAppend(&text, key.first, format_labels(key.second), " ", value, "\n");
        }
    }
    for (const auto& [key, series] : sums.histograms) {
        begin(key.first, "histogram");
        const auto& axis = series.histogram.axis(0);
        auto cumulative_count = static_cast<std::uint64_t>(series.histogram.at(-1));
        for (int bin = 0; bin < axis.size(); ++bin) {
            cumulative_count += static_cast<std::uint64_t>(series.histogram.at(bin));
            const auto bound = absl::StrCat("le=\"", axis.bin(bin).upper(), "\"");
            absl::StrAppend(&text, key.first, "_bucket", format_labels(key.second, bound), " ",
                            cumulative_count, "\n");
        }
        absl::StrAppend(&text, key.first, "_bucket", format_labels(key.second, "le=\"+Inf\""), " ",
                        series.count, "\n");
        absl::StrAppend(&text, key.first, "_sum", format_labels(key.second), " ", series.sum, "\n");
        absl::StrAppend(&text, key.first, "_count", format_labels(key.second), " ", series.count, "\n");
    }
    return text;
}

} // namespace poplarpitch
