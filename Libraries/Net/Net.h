#pragma once

/// Public header of the Net library: fiber threads, an HTTP/1.1 client and an HTTP/1.1 server.

#include <Net/CallCancellation.h>
#include <Net/FiberThreads.h>
#include <Net/HttpClient.h>
#include <Net/HttpGrammar.h>
#include <Net/HttpMessage.h>
#include <Net/HttpServer.h>
#include <Net/Process.h>
