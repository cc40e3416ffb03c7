#ifndef TESTS_SOAK_CANCELLED_RUNS_H
#define TESTS_SOAK_CANCELLED_RUNS_H

/* Judges runs of cancelled jobs by rule UNASKED. */

#include <map>

#include "lasting_runs.h"

/* When the cancellation of each job was acknowledged first. */
using Cancellations = std::map<std::string, int64_t>;

struct CancelledJudgement {
	int64_t longest_ms = 0; /* that a run went on after it */
	size_t stopped = 0;	/* runs that went on at that moment */
	std::vector<LastingRun> runs_on;
	std::vector<LastingRun> started;
};

/*
 * Runs on: for 3.2 s after the acknowledgement, which no fault touches, nor the
 * 3 s before, and where it began later, 3 s after that at the soonest. Started:
 * later than 3 s after the acknowledgement, without a fault in the 3 s before, and
 * not late.
 */
CancelledJudgement judge_cancelled_runs(const std::vector<LastingRun> &runs,
    const Cancellations &acked, const std::vector<FaultSpan> &faults,
    int64_t until_ms);

#endif
