#pragma once

#include "Entry/EntryCore.h"
#include "Http/HttpServer.h"

#include <functional>
#include <string>

namespace firefly {

/// HTTP API for callers, and the health check for the load balancer.
///
///     POST   /v1/services/{service}/calls     make an urgent call
///     POST   /v1/jobs                         submit a batch job
///     GET    /v1/jobs/{job}                   get its status
///     GET    /v1/jobs/{job}/result            get its result
///     DELETE /v1/jobs/{job}                   cancel it
///     GET    /health                          200 while this entry accepts requests
///
/// The response to an urgent call has a `Firefly-Outcome` header: answer (200), failed (502),
/// not-run (503 with Retry-After, 400, 404, 405, 409 or 413), unknown (504).
class CallerApi
{
public:
    /// Runs a step of the core and performs the actions that it requests.
    using StepRunner = std::function<void(const std::function<void(TimePoint)> &)>;

    CallerApi(EntryCore &core, std::size_t maxInFlight, StepRunner runStep);

    void handle(HttpRequest request, HttpServer::Respond respond);

private:
    void call(HttpRequest request, const std::string &service, HttpServer::Respond respond);
    void submit(const HttpRequest &request, HttpServer::Respond respond);
    void cancel(const JobId &job, HttpServer::Respond respond);
    HttpResponse status(const JobId &job) const;
    HttpResponse result(const JobId &job) const;
    HttpResponse health() const;

    EntryCore &m_core;
    std::size_t m_maxInFlight;
    StepRunner m_runStep;
};

} // namespace firefly
