#pragma once

#include <memory>

namespace poplarpitch {

/// A histogram of positive numbers whose old samples fade, for quantiles of what is true at present. Kept in
/// Boost.Histogram with a logarithmic axis: 8 bins an octave give quantiles within 9%, at a fixed cost for
/// each sample. Thread safety: none, as for all methods.
class decaying_histogram {
public:
    /// Preconditions: 0 < `low` < `high`; `memory` is the number of samples after which weights have faded to
    /// 1/e.
    decaying_histogram(double low, double high, double memory_samples);
    ~decaying_histogram();
    decaying_histogram(decaying_histogram&& other) noexcept;
    decaying_histogram& operator=(decaying_histogram&& other) noexcept;

    /// Adds one sample; values outside the axis count at its ends.
    void add(double value);
    /// Returns the value that the share `q` of the weight does not exceed; 0 when nothing was added.
    [[nodiscard]] double get_quantile(double q) const;
    /// Returns the middle of the bin that holds the quantile: the best guess, where `get_quantile` is the
    /// safe one.
    [[nodiscard]] double get_quantile_midpoint(double q) const;
    /// Returns the share of the weight at or below `value`; 1 when nothing was added.
    [[nodiscard]] double get_share_below(double value) const;
    /// Returns the faded number of samples.
    [[nodiscard]] double get_weight() const;

private:
    struct storage;

    /// Returns the bin that holds the quantile. Precondition: something was added.
    [[nodiscard]] int find_bin(double q) const;

    std::unique_ptr<storage> m_storage;
};

} // namespace poplarpitch
