#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

namespace poplarpitch {

/// A value or a `std::error_code` of the layer that returns it. Boost.Outcome is used instead of
/// std::expected, which clang-tidy 14 cannot parse.
template <class T>
using result = boost::outcome_v2::std_result<T>;

} // namespace poplarpitch
