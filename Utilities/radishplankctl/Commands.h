#pragma once

#include "ControlClient.h"

namespace Radishplank {

/// `batch submit|status|results|cancel|list`.
CommandResult runBatchCommand(ControlClient &client, const CommandSettings &settings,
                              Arguments arguments);

/// `catalogue check|put|get|list|delete|status`.
CommandResult runCatalogueCommand(ControlClient &client, const CommandSettings &settings,
                                  Arguments arguments);

/// `state ADDRESS`.
CommandResult runStateCommand(ControlClient &client, const CommandSettings &settings,
                              Arguments arguments);

/// `explain ID [LOG-FILE...]`: the story of a request, a job or an item, from log lines.
CommandResult runExplainCommand(const CommandSettings &settings, Arguments arguments);

/// Prints the JSON of an answer as it is, or as a table.
[[nodiscard]] CommandResult show(const CommandSettings &settings,
                                 const Result<HttpResponse> &answer);

} // namespace Radishplank
