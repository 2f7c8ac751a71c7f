#pragma once

#include "Adapters/CurlLoop.h"
#include "Fleet/CallerRequest.h"
#include "Http/HttpServer.h"
#include "Node/CellHost.h"

#include <string>

namespace firefly {

/// A client's request on its way to the owner of the job's cell.
struct ForwardedRequest
{
    CallerVerb verb = CallerVerb::Query;
    JobId job;
    std::string body;   ///< As the client sent it; for Submit.
    QueuePolicy policy; ///< For Submit.
};

/// Requests between our own processes: HTTP with JSON, one exchange each.
///
/// All of them may be repeated: the id that the client chose makes a job unique.
class PeerJobs
{
public:
    using JobParser = std::function<JobSpec(std::string_view body)>;

    PeerJobs(CurlLoop &loop, CellHost &cell, JobParser parser);

    /// Asks \a owner.  A reply Unknown means that no answer came.
    void forward(const Endpoint &owner, const ForwardedRequest &request, Duration timeout,
                 OnCallerReply done);
    /// Answers in this process; the cell must be served here.
    void answer(const ForwardedRequest &request, OnCallerReply done);
    /// Answers a request that another process forwarded.
    void handle(const HttpRequest &request, HttpServer::Respond respond);

private:
    CurlLoop &m_loop;
    CellHost &m_cell;
    JobParser m_parser;
};

} // namespace firefly
