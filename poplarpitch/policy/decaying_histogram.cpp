#include "poplarpitch/policy/decaying_histogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace poplarpitch {
namespace {

using log_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                    boost::histogram::use_default, boost::histogram::axis::option::none_t>;
constexpr int bins_per_octave = 8;
constexpr double rescale_limit =
    1e12; // the weight of new samples grows; all are rescaled before precision suffers

} // namespace

struct decaying_histogram::storage {
    using histogram_type =
        decltype(boost::histogram::make_histogram_with(std::vector<double>(), std::declval<log_axis>()));

    storage(int bins, double from, double to, double decay_samples)
        : low(from), high(to), weight_growth(std::exp(1.0 / decay_samples)),
          histogram(boost::histogram::make_histogram_with(std::vector<double>(), log_axis(bins, from, to))) {}

    double low;
    double high;
    double weight_growth; ///< ratio of a sample's weight to that of the one before
    double weight = 1.0;  ///< of the newest sample
    double total = 0.0;
    histogram_type histogram;
};

decaying_histogram::decaying_histogram(double low, double high, double decay_samples) {
    assert(low > 0 && high > low && decay_samples >= 1);
    const int bins = static_cast<int>(std::ceil(std::log2(high / low))) * bins_per_octave;
    m_storage = std::make_unique<storage>(bins, low, high, decay_samples);
}

decaying_histogram::~decaying_histogram() = default;
decaying_histogram::decaying_histogram(decaying_histogram&& other) noexcept = default;
decaying_histogram& decaying_histogram::operator=(decaying_histogram&& other) noexcept = default;

void decaying_histogram::add(double value) {
    auto& data = *m_storage;
    constexpr double edge = 1e-9; // keeps both ends inside the half-open bins
    const double inside = std::clamp(value, data.low * (1 + edge), data.high * (1 - edge));
    data.weight *= data.weight_growth;
    data.histogram(inside, boost::histogram::weight(data.weight));
    data.total += data.weight;
    if (data.weight > rescale_limit) {
        data.histogram *= 1.0 / data.weight;
        data.total /= data.weight;
        data.weight = 1.0;
    }
}

int decaying_histogram::find_bin(double q) const {
    const auto& data = *m_storage;
    const int bins = data.histogram.axis(0).size();
    const double wanted_weight = std::clamp(q, 0.0, 1.0) * data.total;
    double sum = 0;
    for (int bin = 0; bin < bins; ++bin) {
        sum += data.histogram.at(bin);
        if (sum >= wanted_weight) {
            return bin;
        }
    }
    return bins - 1; // rounding can leave the sum below the total
}

double decaying_histogram::get_quantile(double q) const {
    const auto& data = *m_storage;
    return data.total <= 0 ? 0 : data.histogram.axis(0).bin(find_bin(q)).upper();
}

double decaying_histogram::get_quantile_midpoint(double q) const {
    const auto& data = *m_storage;
    if (data.total <= 0) {
        return 0;
    }
    const auto bin = data.histogram.axis(0).bin(find_bin(q));
    return std::sqrt(bin.lower() * bin.upper()); // the axis is logarithmic
}

double decaying_histogram::get_share_below(double value) const {
    const auto& data = *m_storage;
    if (data.total <= 0) {
        return 1;
    }
    const auto& axis = data.histogram.axis(0);
    double sum = 0;
    for (int bin = 0; bin < axis.size() && axis.bin(bin).upper() <= value; ++bin) {
        sum += data.histogram.at(bin);
    }
    return sum / data.total;
}

double decaying_histogram::get_weight() const {
    return m_storage->total / m_storage->weight;
}

} // namespace poplarpitch
