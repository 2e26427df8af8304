#include "poplarpitch/json/field_error.h"

namespace poplarpitch {
namespace {

const char* get_description(field_problem problem) {
    switch (problem) {
    case field_problem::missing:
        return "is missing";
    case field_problem::null:
        return "is null";
    case field_problem::wrong_type:
        return "has the wrong type";
    case field_problem::negative:
        return "is negative";
    case field_problem::fractional:
        return "is not a whole number";
    case field_problem::too_small:
        return "is too small";
    case field_problem::too_large:
        return "is too large";
    }
    return "cannot be read";
}

} // namespace

std::string field_error::describe() const {
    if (field.empty()) {
        return "the body is not a JSON object";
    }
    return "the field " + field + " " + get_description(problem);
}

} // namespace poplarpitch
