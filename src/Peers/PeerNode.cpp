#include "Peers/PeerNode.h"

#include "Peers/KjThread.h"
#include "Peers/WireCodec.h"

#include <asio/post.hpp>
#include <capnp/rpc-twoparty.h>

#include <map>
#include <string>
#include <utility>

namespace firefly {
namespace {

using internal::KjThread;

std::string addressOf(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

kj::Duration toKj(Duration duration)
{
    return duration.count() * kj::MICROSECONDS;
}

/// An open connection to a peer, kept alive by the requests in flight on it.
struct Connection
{
    explicit Connection(kj::Own<kj::AsyncIoStream> streamIn)
        : stream(kj::mv(streamIn))
        , rpc(*stream)
        , peer(rpc.bootstrap().castAs<wire::Peer>())
    {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient rpc;
    wire::Peer::Client peer;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Serves the requests of other entries; used on the kj thread only.
class PeerServer final : public wire::Peer::Server
{
public:
    PeerServer(asio::io_context &context, PeerNode::HeartbeatHandler onHeartbeat,
               PeerNode::ForwardHandler onForward)
        : m_context(context)
        , m_onHeartbeat(std::move(onHeartbeat))
        , m_onForward(std::move(onForward))
    {}

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<HeartbeatReplyWithLists>();
        asio::post(m_context,
                   [this, request = internal::readHeartbeat(context.getParams().getBeat()),
                    fulfiller = kj::mv(pair.fulfiller)]() mutable {
                       fulfiller->fulfill(m_onHeartbeat(request));
                   });
        return pair.promise.then([context](const HeartbeatReplyWithLists &reply) mutable {
            internal::writeHeartbeatReply(reply, context.getResults());
        });
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<ForwardedResult>();
        auto fulfiller = std::make_shared<decltype(pair.fulfiller)>(kj::mv(pair.fulfiller));
        asio::post(m_context,
                   [this, fulfiller, call = internal::readCall(context.getParams().getCall())] {
                       m_onForward(call, [fulfiller](ForwardedResult result) {
                           (*fulfiller)->fulfill(std::move(result));
                       });
                   });
        return pair.promise.then([context](const ForwardedResult &result) mutable {
            internal::writeResult(result, context.getResults().initResult());
        });
    }

private:
    asio::io_context &m_context;
    PeerNode::HeartbeatHandler m_onHeartbeat;
    PeerNode::ForwardHandler m_onForward;
};

} // namespace

/// All members except the io_context and the thread are used on the kj thread only.
struct PeerNode::Private : kj::TaskSet::ErrorHandler
{
    explicit Private(asio::io_context &contextIn)
        : context(contextIn)
    {}

    /// Does nothing: every request handles its own errors.
    void taskFailed(kj::Exception && /*exception*/) override {}

    void setUp(kj::AsyncIoContext &io, const Endpoint &listen, kj::Own<PeerServer> peerServer)
    {
        auto address = io.provider->getNetwork().parseAddress(addressOf(listen)).wait(io.waitScope);
        receiver = address->listen();
        requests = kj::heap<kj::TaskSet>(*this);
        server = kj::heap<capnp::TwoPartyServer>(kj::mv(peerServer));
        listening = server->listen(*receiver).eagerlyEvaluate([](kj::Exception &&) {});
    }

    /// Cancels the requests in flight first: they own connections, which need the event loop.
    void tearDown()
    {
        requests = nullptr;
        listening = nullptr;
        server = nullptr;
        receiver = nullptr;
        connections.clear();
    }

    /// Returns the open connection to \a address, or opens one.
    kj::Promise<ConnectionPtr> connect(kj::AsyncIoContext &io, const std::string &address)
    {
        const auto it = connections.find(address);
        if (it != connections.end()) {
            return it->second;
        }
        return io.provider->getNetwork()
            .parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress> &&target) {
                return target->connect().attach(kj::mv(target));
            })
            .then([this, address](kj::Own<kj::AsyncIoStream> &&stream) {
                auto connection = std::make_shared<Connection>(kj::mv(stream));
                connections[address] = connection;
                return connection;
            });
    }

    /// Performs one request, on the kj thread: connects, calls \a send, and passes the result to
    /// \a onSuccess or, after an error or \a timeout, calls \a onFailure with true if the request
    /// may have been sent.  Both are called on the io_context.
    template <typename Result, typename Send, typename OnSuccess, typename OnFailure>
    void performRequest(kj::AsyncIoContext &io, const std::string &address, Duration timeout,
                        Send send, OnSuccess onSuccess, OnFailure onFailure)
    {
        auto usedConnection = std::make_shared<ConnectionPtr>();
        auto work = connect(io, address).then([send, usedConnection](ConnectionPtr connection) {
            *usedConnection = connection;
            return send(connection->peer).attach(kj::mv(connection));
        });
        auto handleResult = [this, onSuccess](Result &&result) {
            asio::post(context, [onSuccess, result = kj::mv(result)]() mutable {
                onSuccess(kj::mv(result));
            });
        };
        auto handleError = [this, address, onFailure, usedConnection](kj::Exception &&) {
            removeConnection(address, *usedConnection);
            asio::post(context, [onFailure, mayHaveBeenSent = *usedConnection != nullptr] {
                onFailure(mayHaveBeenSent);
            });
        };
        requests->add(io.provider->getTimer()
                          .timeoutAfter(toKj(timeout), kj::mv(work))
                          .then(kj::mv(handleResult), kj::mv(handleError)));
    }

    /// Excludes \a connection from new requests; a newer one to the same address is kept.
    void removeConnection(const std::string &address, const ConnectionPtr &connection)
    {
        const auto it = connections.find(address);
        if (it != connections.end() && it->second == connection) {
            connections.erase(it);
        }
    }

    asio::io_context &context;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Own<capnp::TwoPartyServer> server;
    kj::Promise<void> listening = nullptr;
    std::map<std::string, ConnectionPtr> connections;
    kj::Own<kj::TaskSet> requests;
    std::unique_ptr<KjThread> thread;
};

PeerNode::PeerNode(asio::io_context &context, const Endpoint &listen, HeartbeatHandler onHeartbeat,
                   ForwardHandler onForward)
    : m_private(std::make_shared<Private>(context))
{
    Private *state = m_private.get();
    auto setUp = [state, listen, onHeartbeat = std::move(onHeartbeat),
                  onForward = std::move(onForward)](kj::AsyncIoContext &io) {
        state->setUp(io, listen, kj::heap<PeerServer>(state->context, onHeartbeat, onForward));
    };
    auto tearDown = [state](kj::AsyncIoContext &) { state->tearDown(); };
    m_private->thread = std::make_unique<KjThread>(std::move(setUp), std::move(tearDown));
}

PeerNode::~PeerNode() = default;

void PeerNode::heartbeat(const Endpoint &peer, const Heartbeat &heartbeat, Duration timeout,
                         std::function<void(std::optional<HeartbeatReplyWithLists>)> done)
{
    auto send = [heartbeat](wire::Peer::Client &client) {
        auto request = client.heartbeatRequest();
        internal::writeHeartbeat(heartbeat, request.initBeat());
        return request.send().then(
            [](auto &&response) { return internal::readHeartbeatReply(response); });
    };
    auto onSuccess = [done](HeartbeatReplyWithLists reply) { done(std::move(reply)); };
    auto onFailure = [done = std::move(done)](bool) { done(std::nullopt); };
    Private *state = m_private.get();
    state->thread->post([state, address = addressOf(peer), timeout, send, onSuccess,
                         onFailure](kj::AsyncIoContext &io) {
        state->performRequest<HeartbeatReplyWithLists>(io, address, timeout, send, onSuccess,
                                                       onFailure);
    });
}

void PeerNode::forward(const Endpoint &peer, ForwardedCall call, Duration timeout,
                       ForwardCallback done)
{
    auto onFailure = [done, request = call.request](bool mayHaveBeenSent) {
        const auto result = mayHaveBeenSent ? WorkerResult::Uncertain : WorkerResult::NotSent;
        done(ForwardedResult{request, result, {}, {}});
    };
    auto send = [call = std::move(call)](wire::Peer::Client &client) {
        auto request = client.forwardRequest();
        internal::writeCall(call, request.initCall());
        return request.send().then(
            [](auto &&response) { return internal::readResult(response.getResult()); });
    };
    Private *state = m_private.get();
    state->thread->post([state, address = addressOf(peer), timeout, send, done = std::move(done),
                         onFailure](kj::AsyncIoContext &io) {
        state->performRequest<ForwardedResult>(io, address, timeout, send, done, onFailure);
    });
}

} // namespace firefly
