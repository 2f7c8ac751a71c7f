#pragma once

#include "Adapters/CurlLoop.h"
#include "Fleet/CallerRequest.h"
#include "Http/HttpServer.h"
#include "Node/CellSet.h"

#include <string>
#include <string_view>

namespace firefly {

/// A client's request as it is forwarded to the owner of the job's cell.
struct ForwardedRequest
{
    CallerVerb verb = CallerVerb::Query;
    JobId job;
    std::string body;        ///< The client's request body, unchanged; for Submit.
    QueuePolicy policy;      ///< For Submit.
    bool isReferred = false; ///< Redirected by the first cell; not redirected again.
};

/// Forwards clients' requests and delegation requests between node processes, as HTTP with JSON;
/// the tasks of a delegation are a CBOR body.
///
/// All requests are idempotent, since the client chooses the job's id, and may be retried.
class RequestForwarder
{
public:
    using JobParser = std::function<JobSpec(std::string_view body)>;

    RequestForwarder(CurlLoop &loop, CellSet &cells, JobParser parser);

    /// Forwards \a request to \a owner, the owner of \a cell.
    ///
    /// The outcome is Unknown when no valid answer came within \a timeout.
    void forward(const Endpoint &owner, int cell, const ForwardedRequest &request, Duration timeout,
                 OnCallerReply done);
    /// Answers \a request from \a cell, which must be serving in this process.
    void answer(CellHost &cell, const ForwardedRequest &request, OnCallerReply done);
    /// The cell responsible for the job of \a request.
    /// \throws what the parser throws for an invalid body of a Submit.
    int cellFor(const CellLayout &layout, const ForwardedRequest &request) const;
    /// The reply that the answer of another node process carries.  The outcome is NotRun only if
    /// the request wasn't sent or its receiver says so, and Unknown without a valid answer.
    static CallerReply toReply(const HttpResult &result);
    /// Response that carries \a reply to another node process.
    static HttpResponse toResponse(const CallerReply &reply);
    /// Decodes the body of such an answer; one that is malformed has an unknown outcome.
    static CallerReply decodeReply(std::string_view body);
    /// Sends \a request to \a owner, the owner of its cell.
    ///
    /// The outcome is Unknown when no valid answer came in time.
    void forwardDelegation(const Endpoint &owner, const DelegationRequest &request,
                           OnCallerReply done);
    /// Answers a request that another node process forwarded.
    void handle(const HttpRequest &request, HttpServer::Respond respond);

private:
    void handleJob(const HttpRequest &request, const OnCallerReply &reply);
    void handleDelegation(const HttpRequest &request, const OnCallerReply &reply);

    CurlLoop &m_loop;
    CellSet &m_cells;
    JobParser m_parser;
};

} // namespace firefly
