#include "poplarpitch/transport/control_server.h"

#include "poplarpitch/storage/raft_message_codec.h"
#include "poplarpitch/transport/transport_error.h"
#include "poplarpitch/wire/poplarpitch.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <chrono>

namespace poplarpitch {
namespace {

constexpr int max_message_bytes = 64 << 20;
constexpr int min_pollers = 4; // with fewer, gRPC starts a thread for nearly every call
constexpr int max_pollers = 8;
constexpr int max_threads = 256;

class peer_endpoint final : public wire::peer_service::Service {
public:
    peer_endpoint(std::string cluster, control_handler& handler)
        : m_cluster(std::move(cluster)), m_handler(handler) {}

    grpc::Status deliver(grpc::ServerContext* /*context*/, grpc::ServerReader<wire::peer_frame>* reader,
                         wire::peer_close* /*response*/) override {
        wire::peer_frame frame;
        while (reader->Read(&frame)) {
            if (frame.cluster() != m_cluster) {
                return {grpc::StatusCode::FAILED_PRECONDITION, "another cluster"};
            }
            m_handler.on_message(decode(frame.message()));
        }
        return grpc::Status::OK;
    }

private:
    std::string m_cluster;
    control_handler& m_handler;
};

class control_endpoint final : public wire::control_service::Service {
public:
    explicit control_endpoint(control_handler& handler) : m_handler(handler) {}

    grpc::Status renew(grpc::ServerContext* /*context*/, const wire::renew_request* request,
                       wire::renew_answer* response) override {
        *response = m_handler.on_renew(*request);
        return grpc::Status::OK;
    }

    grpc::Status propose(grpc::ServerContext* /*context*/, const wire::propose_request* request,
                         wire::propose_answer* response) override {
        *response = m_handler.on_propose(*request);
        return grpc::Status::OK;
    }

    grpc::Status propose_batch(grpc::ServerContext* /*context*/, const wire::propose_batch_request* request,
                               wire::propose_batch_answer* response) override {
        *response = m_handler.on_propose_batch(*request);
        return grpc::Status::OK;
    }

    grpc::Status query(grpc::ServerContext* /*context*/, const wire::query_request* request,
                       wire::query_answer* response) override {
        *response = m_handler.on_query(*request);
        return grpc::Status::OK;
    }

    grpc::Status change_members(grpc::ServerContext* /*context*/, const wire::member_request* request,
                                wire::member_answer* response) override {
        *response = m_handler.on_members(*request);
        return grpc::Status::OK;
    }

private:
    control_handler& m_handler;
};

} // namespace

struct control_server::state {
    state(std::string cluster, control_handler source)
        : handler(std::move(source)), peers(std::move(cluster), handler), control(handler) {}

    control_handler handler;
    peer_endpoint peers;
    control_endpoint control;
    std::unique_ptr<grpc::Server> server;
};

control_server::control_server(std::string cluster, control_handler handler)
    : m_state(std::make_unique<state>(std::move(cluster), std::move(handler))) {}

control_server::~control_server() {
    stop();
}

result<int> control_server::start(const std::string& host, int port) {
    int bound = 0;
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("control");
    quota.SetMaxThreads(max_threads);
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MIN_POLLERS, min_pollers);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, max_pollers);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(host + ":" + std::to_string(port), grpc::InsecureServerCredentials(), &bound);
    builder.RegisterService(&m_state->peers);
    builder.RegisterService(&m_state->control);
    m_state->server = builder.BuildAndStart();
    if (m_state->server == nullptr || bound == 0) {
        return make_error_code(transport_errc::listen_failed);
    }
    return bound;
}

void control_server::stop() {
    if (m_state->server != nullptr) {
        m_state->server->Shutdown(std::chrono::system_clock::now());
    }
}

} // namespace poplarpitch
