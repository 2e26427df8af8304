#pragma once

#include "poplarpitch/json/field_error.h"

#include <boost/outcome/result.hpp>

namespace poplarpitch {

/// What a JSON document holds, or the first field that cannot be read.
template <class T>
using document_result =
    boost::outcome_v2::basic_result<T, field_error, boost::outcome_v2::policy::all_narrow>;

} // namespace poplarpitch
