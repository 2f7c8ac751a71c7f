#pragma once

#include "Entry/EntryCore.h"
#include "Http/HttpServer.h"

#include <functional>
#include <string>

namespace firefly {

/// The callers' HTTP interface, and the balancer's health check.
///
///     POST   /v1/services/{service}/calls     one urgent request
///     POST   /v1/jobs                         submit a batch job
///     GET    /v1/jobs/{job}                   its status
///     GET    /v1/jobs/{job}/result            its result
///     DELETE /v1/jobs/{job}                   cancel it
///     GET    /health                          200 while this entry takes callers
///
/// Each urgent request is answered with a `Firefly-Outcome` header: answer (200), failed (502),
/// not-run (503 with Retry-After, 400 or 413), unknown (504).
class CallerApi
{
public:
    /// Runs a step of the core and carries out what it wants sent.
    using Feed = std::function<void(const std::function<void(TimePoint)> &)>;

    CallerApi(EntryCore &core, std::size_t maxInFlight, Feed feed);

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
    Feed m_feed;
};

} // namespace firefly
