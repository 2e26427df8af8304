#include "poplarpitch/entry/call_reader.h"

#include "poplarpitch/entry/protocol_names.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr const char* call_prefix = "/v1/call/";
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::size_t max_key_length = 200;
constexpr const char* default_tenant = "default";

http_response refuse(const std::string& code, const std::string& message, int status = 400) {
    auto response = make_error_response(status, code, message);
    response.headers.add(header_outcome, outcome_not_run);
    return response;
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_key_length &&
           std::all_of(text.begin(), text.end(),
                       [](char letter) { return letter > ' ' && letter < '\x7f' && letter != '"'; });
}

} // namespace

std::variant<call_info, http_response> read_call(const http_request& request, const configuration& settings,
                                                 time_point now) {
    call_info call;
    const auto rest = request.target.substr(std::string_view(call_prefix).size());
    const auto end = rest.find_first_of("/?");
    call.service = rest.substr(0, end);
    call.path_suffix = end == std::string::npos ? "" : rest.substr(end);
    const auto* service = settings.find_service(call.service);
    if (service == nullptr) {
        return refuse("unknown_service", absl::StrCat("no service is called '", call.service, "'"), 404);
    }
    call.tenant = request.headers.get(header_tenant);
    if (call.tenant.empty()) {
        call.tenant = default_tenant;
    } else if (settings.find_tenant(call.tenant) == nullptr) {
        return refuse("unknown_tenant",
                      absl::StrCat("no tenant is called '", call.tenant.substr(0, max_key_length), "'"));
    }
    call.deadline = now + service->deadline;
    if (request.headers.has(header_deadline)) {
        std::int64_t remaining_ms = 0;
        const auto text = request.headers.get(header_deadline);
        if (!absl::SimpleAtoi(text, &remaining_ms) || remaining_ms <= 0 || remaining_ms > max_deadline_ms) {
            return refuse("bad_deadline",
                          absl::StrCat(header_deadline, " must be from 1 to ", max_deadline_ms));
        }
        call.deadline = now + milliseconds{remaining_ms};
    }
    call.is_idempotent = service->idempotent;
    if (request.headers.has(header_idempotent)) {
        const auto text = request.headers.get(header_idempotent);
        if (text != "true" && text != "false") {
            return refuse("bad_idempotent", absl::StrCat(header_idempotent, " must be true or false"));
        }
        call.is_idempotent = text == "true";
    }
    if (request.headers.has(header_key)) {
        call.key = request.headers.get(header_key);
        if (!is_name(call.key)) {
            return refuse("bad_key", absl::StrCat(header_key, " must have 1 to ", max_key_length,
                                                  " visible characters"));
        }
    }
    call.is_forwarded = request.headers.has(header_forwarded);
    // An entry of an earlier version does not send this header; no lost attempt is assumed then.
    int lost_attempts = 0;
    if (call.is_forwarded && absl::SimpleAtoi(request.headers.get(header_lost_attempts), &lost_attempts)) {
        call.lost_attempts = std::max(lost_attempts, 0);
    }
    if (call.key.empty() && !call.is_idempotent && service->require_key && !call.is_forwarded) {
        return refuse("key_required", absl::StrCat("service '", call.service, "' wants an ", header_key,
                                                   " for requests that are not idempotent"));
    }
    call.request_id = request.headers.get(header_request_id);
    if (!call.request_id.empty() && !is_name(call.request_id)) {
        return refuse("bad_request_id", absl::StrCat(header_request_id, " must be visible characters"));
    }
    return call;
}

} // namespace poplarpitch
