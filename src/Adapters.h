#pragma once

/// \file HTTP clients of the platform's services, run by an asio::io_context.

#include "Adapters/CurlLoop.h"
#include "Adapters/HttpLogClient.h"
#include "Adapters/HttpVmListClient.h"
#include "Adapters/HttpWorkerClient.h"
