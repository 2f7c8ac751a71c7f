#pragma once

#include "Adapters/CurlLoop.h"
#include "Fleet/CallerRequest.h"
#include "Http/HttpServer.h"
#include "Node/CellSet.h"

#include <string>

namespace firefly {

/// A client's request on its way to the owner of the job's cell.
struct ForwardedRequest
{
    CallerVerb verb = CallerVerb::Query;
    JobId job;
    std::string body;        ///< As the client sent it; for Submit.
    QueuePolicy policy;      ///< For Submit.
    bool isReferred = false; ///< By the cell that was asked first; this one keeps it.
};

/// Requests between our own processes: HTTP with JSON, one exchange each.
///
/// All of them may be repeated: the id that the client chose makes a job unique.
class PeerJobs
{
public:
    using JobParser = std::function<JobSpec(std::string_view body)>;

    PeerJobs(CurlLoop &loop, CellSet &cells, JobParser parser);

    /// Asks \a owner, the owner of \a cell.  A reply Unknown means that no answer came.
    void forward(const Endpoint &owner, int cell, const ForwardedRequest &request, Duration timeout,
                 OnCallerReply done);
    /// Answers by \a cell, which must be served in this process.
    void answer(CellHost &cell, const ForwardedRequest &request, OnCallerReply done);
    /// The cell for the job that \a body describes.
    /// \throws what the parser throws for a body that can't be read.
    int cellFor(const CellLayout &layout, const ForwardedRequest &request) const;
    /// Answers a request that another process forwarded.
    void handle(const HttpRequest &request, HttpServer::Respond respond);

private:
    CurlLoop &m_loop;
    CellSet &m_cells;
    JobParser m_parser;
};

} // namespace firefly
