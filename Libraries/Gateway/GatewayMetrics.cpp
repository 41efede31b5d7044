#include <Gateway/GatewayMetrics.h>

namespace Radishplank {

void GatewayMetrics::renderPrometheus(std::string &text) const
{
    renderCounter(text, "radishplank_calls_answered_total", callsAnswered);
    renderCounter(text, "radishplank_calls_refused_total", callsRefused);
    renderCounter(text, "radishplank_calls_refused_for_wait_total", callsRefusedForWait);
    renderCounter(text, "radishplank_calls_refused_for_share_total", callsRefusedForShare);
    renderCounter(text, "radishplank_calls_refused_without_upstream_total",
                  callsRefusedWithoutUpstream);
    renderCounter(text, "radishplank_calls_refused_for_upstream_limit_total",
                  callsRefusedForUpstreamLimit);
    renderCounter(text, "radishplank_calls_unread_total", callsUnread);
    renderCounter(text, "radishplank_calls_refused_as_crashing_total", callsRefusedAsCrashing);
    renderCounter(text, "radishplank_calls_failed_total", callsFailed);
    renderCounter(text, "radishplank_calls_cut_off_total", callsCutOff);
    renderCounter(text, "radishplank_calls_abandoned_total", callsAbandoned);
    renderCounter(text, "radishplank_calls_unauthorized_total", callsUnauthorized);
    renderCounter(text, "radishplank_calls_unconfirmed_total", callsUnconfirmed);
    renderCounter(text, "radishplank_calls_resumed_total", callsResumed);
    renderCounter(text, "radishplank_attempts_sent_total", attemptsSent);
    renderCounter(text, "radishplank_attempts_not_run_total", attemptsNotRun);
    renderCounter(text, "radishplank_attempts_failed_total", attemptsFailed);
    renderCounter(text, "radishplank_crashes_suspected_total", crashesSuspected);
    renderCounter(text, "radishplank_item_runs_total", itemRuns);
    renderCounter(text, "radishplank_items_preempted_total", itemsPreempted);
    renderCounter(text, "radishplank_items_completed_total", itemsCompleted);
    renderCounter(text, "radishplank_items_given_up_total", itemsGivenUp);
    renderCounter(text, "radishplank_jobs_adopted_total", jobsAdopted);
    renderCounter(text, "radishplank_jobs_ended_total", jobsEnded);
    renderCounter(text, "radishplank_jobs_over_limit_total", jobsOverLimit);
    renderCounter(text, "radishplank_result_segments_total", resultSegments);
    renderCounter(text, "radishplank_log_lines_written_total", logLinesWritten());
    renderCounter(text, "radishplank_log_lines_left_out_total", logLinesDropped());
    firstEvent.renderPrometheus(text, "radishplank_first_event_seconds");
    wholeCall.renderPrometheus(text, "radishplank_call_seconds");
    expectedWait.renderPrometheus(text, "radishplank_expected_wait_seconds");
    firstEventAfterWait.renderPrometheus(text, "radishplank_first_event_after_wait_seconds");
    itemAge.renderPrometheus(text, "radishplank_item_age_seconds");
}

} // namespace Radishplank
