#include "poplarpitch/http/http_response.h"

#include <nlohmann/json.hpp>

namespace poplarpitch {

http_response make_error_response(int status, const std::string& code, const std::string& message) {
    const nlohmann::json body = {{"error", {{"code", code}, {"message", message}}}};
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace poplarpitch
