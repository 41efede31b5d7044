#pragma once

/// Public header of the Net library: threads of fibers, and HTTP/1.1 for them.

#include <Net/CallCancellation.h>
#include <Net/FiberThreads.h>
#include <Net/HttpClient.h>
#include <Net/HttpMessage.h>
#include <Net/HttpServer.h>
#include <Net/Process.h>
