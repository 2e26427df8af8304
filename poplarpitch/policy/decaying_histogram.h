#pragma once

#include <memory>

namespace poplarpitch {

/// Histogram of positive numbers whose old samples decay exponentially, for quantiles of the current
/// distribution. It uses Boost.Histogram with a logarithmic axis: 8 bins per octave give quantiles within 9%,
/// at a fixed cost for each sample. Thread safety: none, as for all methods.
class decaying_histogram {
public:
    /// Preconditions: 0 < `low` < `high`; `decay_samples`, at least 1, is the number of samples after which
    /// the weight of a sample has decayed to 1/e.
    decaying_histogram(double low, double high, double decay_samples);
    ~decaying_histogram();
    decaying_histogram(decaying_histogram&& other) noexcept;
    decaying_histogram& operator=(decaying_histogram&& other) noexcept;

    /// Adds one sample; a value outside the axis is counted in the first or last bin.
    void add(double value);
    /// Returns the quantile for `q`, a share from 0 to 1, rounded up to the upper edge of its bin. Returns 0
    /// when nothing was added.
    [[nodiscard]] double get_quantile(double q) const;
    /// Returns the middle of the bin that holds the quantile. This is the best estimate, whereas
    /// `get_quantile` is the conservative one. Returns 0 when nothing was added.
    [[nodiscard]] double get_quantile_midpoint(double q) const;
    /// Returns the share of the weight at or below `value`; 1 when nothing was added.
    [[nodiscard]] double get_share_below(double value) const;
    /// Returns the total weight of all samples; the newest has weight 1, and older ones have decayed.
    [[nodiscard]] double get_weight() const;

private:
    struct storage;

    /// Returns the index of the bin that holds the quantile. Precondition: the histogram is not empty.
    [[nodiscard]] int find_bin(double q) const;

    std::unique_ptr<storage> m_storage;
};

} // namespace poplarpitch
