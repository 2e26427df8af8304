#include "poplarpitch/transport/peer_link.h"

#include "poplarpitch/storage/raft_message_codec.h"
#include "poplarpitch/transport/channel_factory.h"
#include "poplarpitch/wire/poplarpitch.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace poplarpitch {
namespace {

constexpr std::size_t max_queued_messages = 4096;
constexpr int reconnect_delay_ms = 50;

} // namespace

struct peer_link::stream {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::peer_service::Stub> stub;
    grpc::ClientContext context;
    wire::peer_close close;
    std::unique_ptr<grpc::ClientWriter<wire::peer_frame>> writer;
};

peer_link::peer_link(std::string address, std::string cluster)
    : m_address(std::move(address)), m_cluster(std::move(cluster)), m_thread([this] { run(); }) {}

peer_link::~peer_link() {
    {
        const absl::MutexLock lock(&m_mutex);
        m_is_stopped = true;
        if (m_stream != nullptr) {
            m_stream->context.TryCancel();
        }
    }
    m_thread.join();
}

void peer_link::send(raft_message message) {
    const absl::MutexLock lock(&m_mutex);
    if (m_queue.size() >= max_queued_messages) {
        m_queue.pop_front();
    }
    m_queue.push_back(std::move(message));
}

void peer_link::reset() {
    const absl::MutexLock lock(&m_mutex);
    if (m_stream != nullptr) {
        m_stream->context.TryCancel(); // also ends a write that is blocked by flow control
    }
}

std::deque<raft_message> peer_link::wait_for_messages() {
    const absl::MutexLock lock(&m_mutex);
    const auto is_ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_is_stopped || !m_queue.empty();
    };
    m_mutex.Await(absl::Condition(&is_ready));
    if (m_is_stopped) {
        return {};
    }
    return std::exchange(m_queue, {});
}

bool peer_link::open_stream() {
    auto fresh = std::make_shared<stream>();
    fresh->channel = make_fresh_channel(m_address);
    fresh->stub = wire::peer_service::NewStub(fresh->channel);
    fresh->writer = fresh->stub->deliver(&fresh->context, &fresh->close);
    const absl::MutexLock lock(&m_mutex);
    if (m_is_stopped) {
        return false;
    }
    m_stream = std::move(fresh);
    return true;
}

void peer_link::run() {
    while (true) {
        auto messages = wait_for_messages();
        if (messages.empty()) {
            break;
        }
        std::shared_ptr<stream> current;
        {
            const absl::MutexLock lock(&m_mutex);
            current = m_stream;
        }
        if (current == nullptr) {
            if (!open_stream()) {
                break;
            }
            const absl::MutexLock lock(&m_mutex);
            current = m_stream;
        }
        bool is_broken = false;
        for (auto& message : messages) {
            wire::peer_frame frame;
            frame.set_cluster(m_cluster);
            encode(message, *frame.mutable_message());
            if (!current->writer->Write(frame)) {
                is_broken = true;
                break;
            }
        }
        if (is_broken) {
            current->context.TryCancel();
            static_cast<void>(current->writer->Finish());
            const absl::MutexLock lock(&m_mutex);
            m_stream = nullptr;
            const auto is_stopped = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_is_stopped;
            };
            m_mutex.AwaitWithTimeout(absl::Condition(&is_stopped), absl::Milliseconds(reconnect_delay_ms));
        }
    }
    std::shared_ptr<stream> last_stream;
    {
        const absl::MutexLock lock(&m_mutex);
        last_stream = std::move(m_stream);
    }
    if (last_stream != nullptr) {
        last_stream->context.TryCancel();
        static_cast<void>(last_stream->writer->Finish());
    }
}

} // namespace poplarpitch
