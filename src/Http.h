#pragma once

/// \file HTTP server of a process; RESTinio, which implements it, is not exposed in the headers.

#include "Http/HttpServer.h"
