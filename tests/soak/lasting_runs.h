#ifndef TESTS_SOAK_LASTING_RUNS_H
#define TESTS_SOAK_LASTING_RUNS_H

/* Judges the runs of long-running tasks by rules LOST and TWICE. */

#include <cstdint>
#include <string>
#include <vector>

struct LastingRun {
	std::string task;
	std::string worker;
	int64_t began_ms = 0;
	int64_t ended_ms = 0; /* 0: goes on */
	std::string how;
	int run = 0;
	/* Orders to stop it, and the last one's time. */
	int stops = 0;
	int64_t stop_ms = 0;
	/* Fence of the last renewal of its worker's lease, and the time. */
	int renewed_by = 0;
	int64_t renewed_ms = 0;
	bool is_late = false; /* the order was carried out late */
};

/* A fault, from its begin until what it ails is back or gone for good. */
struct FaultSpan {
	int64_t from_ms;
	int64_t to_ms;
};

struct LastingJudgement {
	int64_t longest_ms = 0;	       /* without a run, of any task */
	std::vector<std::string> lost; /* a line for each case */
	std::vector<std::string> twice;
};

/*
 * LOST: later than 6 s after a task's last run, 3 s on end without a run, which
 * no fault touches, nor the 4 s before. TWICE: runs of a task overlap. Tasks
 * that have had no run yet aren't judged.
 */
LastingJudgement judge_lasting_runs(std::vector<LastingRun> runs,
    const std::vector<FaultSpan> &faults, int64_t until_ms);

#endif
