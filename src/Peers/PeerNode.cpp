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

/// An open connection to a peer; exchanges in flight keep it alive.
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

/// Serves the calls of other entries; lives on the kj thread.
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
        asio::post(m_context, [this, asked = internal::readHeartbeat(context.getParams().getBeat()),
                               fulfiller = kj::mv(pair.fulfiller)]() mutable {
            fulfiller->fulfill(m_onHeartbeat(asked));
        });
        return pair.promise.then([context](const HeartbeatReplyWithLists &reply) mutable {
            internal::writeReply(reply, context.getResults());
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

/// All members but the io_context and the thread belong to the kj thread.
struct PeerNode::Private : kj::TaskSet::ErrorHandler
{
    explicit Private(asio::io_context &contextIn)
        : context(contextIn)
    {}

    /// Every exchange handles its own errors.
    void taskFailed(kj::Exception && /*exception*/) override {}

    void setUp(kj::AsyncIoContext &io, const Endpoint &listen, kj::Own<PeerServer> peerServer)
    {
        auto address = io.provider->getNetwork().parseAddress(addressOf(listen)).wait(io.waitScope);
        receiver = address->listen();
        exchanges = kj::heap<kj::TaskSet>(*this);
        server = kj::heap<capnp::TwoPartyServer>(kj::mv(peerServer));
        listening = server->listen(*receiver).eagerlyEvaluate([](kj::Exception &&) {});
    }

    /// Drops the exchanges in flight first: they hold connections, which need the event loop.
    void tearDown()
    {
        exchanges = nullptr;
        listening = nullptr;
        server = nullptr;
        receiver = nullptr;
        connections.clear();
    }

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

    /// Runs one exchange on the kj thread: connects, calls \a exchange, and gives \a succeed or
    /// \a fail its end.  \a fail learns whether the request may have been sent.
    template <typename Result, typename Exchange, typename Succeed, typename Fail>
    void run(kj::AsyncIoContext &io, const std::string &address, Duration timeout,
             Exchange exchange, Succeed succeed, Fail fail)
    {
        auto used = std::make_shared<ConnectionPtr>();
        auto work = connect(io, address).then([exchange, used](ConnectionPtr connection) {
            *used = connection;
            return exchange(connection->peer).attach(kj::mv(connection));
        });
        auto onResult = [this, succeed](Result &&result) {
            asio::post(context,
                       [succeed, result = kj::mv(result)]() mutable { succeed(kj::mv(result)); });
        };
        auto onError = [this, address, fail, used](kj::Exception &&) {
            drop(address, *used);
            asio::post(context, [fail, sent = *used != nullptr] { fail(sent); });
        };
        exchanges->add(io.provider->getTimer()
                           .timeoutAfter(toKj(timeout), kj::mv(work))
                           .then(kj::mv(onResult), kj::mv(onError)));
    }

    /// Keeps new exchanges off \a connection; a newer one to the same address stays.
    void drop(const std::string &address, const ConnectionPtr &connection)
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
    kj::Own<kj::TaskSet> exchanges;
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
    auto exchange = [heartbeat](wire::Peer::Client &client) {
        auto request = client.heartbeatRequest();
        internal::writeHeartbeat(heartbeat, request.initBeat());
        return request.send().then([](auto &&response) { return internal::readReply(response); });
    };
    auto succeed = [done](HeartbeatReplyWithLists reply) { done(std::move(reply)); };
    auto fail = [done = std::move(done)](bool) { done(std::nullopt); };
    Private *state = m_private.get();
    state->thread->post([state, address = addressOf(peer), timeout, exchange, succeed,
                         fail](kj::AsyncIoContext &io) {
        state->run<HeartbeatReplyWithLists>(io, address, timeout, exchange, succeed, fail);
    });
}

void PeerNode::forward(const Endpoint &peer, ForwardedCall call, Duration timeout, ForwardDone done)
{
    auto fail = [done, request = call.request](bool sent) {
        const auto result = sent ? WorkerResult::Uncertain : WorkerResult::NotSent;
        done(ForwardedResult{request, result, {}, {}});
    };
    auto exchange = [call = std::move(call)](wire::Peer::Client &client) {
        auto request = client.forwardRequest();
        internal::writeCall(call, request.initCall());
        return request.send().then(
            [](auto &&response) { return internal::readResult(response.getResult()); });
    };
    Private *state = m_private.get();
    state->thread->post([state, address = addressOf(peer), timeout, exchange,
                         done = std::move(done), fail](kj::AsyncIoContext &io) {
        state->run<ForwardedResult>(io, address, timeout, exchange, done, fail);
    });
}

} // namespace firefly
