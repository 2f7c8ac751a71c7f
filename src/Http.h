#pragma once

/// \file HTTP server of a process, by RESTinio, which stays out of the public headers.

#include "Http/HttpServer.h"
