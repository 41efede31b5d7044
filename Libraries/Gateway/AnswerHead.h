#pragma once

#include <Gateway/CallHeaderNames.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

#include <string>

namespace Radishplank {

/// Notes what the head of an answer tells about its upstream. Returns whether the upstream states
/// that it has not run the request with this id; the rest of the answer is then skipped.
[[nodiscard]] bool noteAnswerHead(UpstreamTable::Reservation &reservation,
                                  HttpResponseStream &answer, const CallHeaderNames &names,
                                  const std::string &id);

} // namespace Radishplank
