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

/// `explain ID [LOG-FILE...]`: prints the log lines that explain a request, a job or an item.
CommandResult runExplainCommand(const CommandSettings &settings, Arguments arguments);

/// Formats the JSON of a response as a table, or leaves it as it is if JSON output is selected.
[[nodiscard]] CommandResult show(const CommandSettings &settings,
                                 const Result<HttpResponse> &answer);

} // namespace Radishplank
