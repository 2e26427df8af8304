#include "poplarpitch/transport/channel_factory.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/grpcpp.h>

namespace poplarpitch {
namespace {

constexpr int initial_backoff_ms = 100;
constexpr int max_backoff_ms = 400; // an election takes about as long, so a longer delay gains nothing
constexpr int max_message_bytes = 64 << 20;

} // namespace

std::shared_ptr<grpc::Channel> make_fresh_channel(const std::string& address) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_backoff_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, initial_backoff_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_backoff_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetMaxSendMessageSize(max_message_bytes);
    return grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace poplarpitch
