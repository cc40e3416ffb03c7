#include "cancelled_runs.h"

#include <algorithm>

namespace
{

constexpr int64_t kContactMs = 3000;
constexpr int64_t kCancelMs = 3000;
constexpr int64_t kStopMs = 200;
constexpr size_t kIdLength = 16;

/* The end of the last fault that touches [from, to], or -1. */
int64_t
touched_until(
    const std::vector<FaultSpan> &faults, int64_t from_ms, int64_t to_ms)
{
	int64_t until_ms = -1;

	for (const FaultSpan &f : faults) {
		if (f.from_ms <= to_ms && f.to_ms >= from_ms)
			until_ms = std::max(until_ms, f.to_ms);
	}
	return until_ms;
}

/* Whether [from, to] has the calm that a stop may take, and more. */
bool
outlasts_calm(
    const std::vector<FaultSpan> &faults, int64_t from_ms, int64_t to_ms)
{
	while (to_ms - from_ms > kCancelMs + kStopMs) {
		int64_t until_ms = touched_until(faults, from_ms - kContactMs,
		    from_ms + kCancelMs + kStopMs);

		if (until_ms < 0)
			return true;
		from_ms = until_ms + kContactMs + 1;
	}
	return false;
}

void
judge_run(CancelledJudgement &j, const LastingRun &r, int64_t acked_ms,
    const std::vector<FaultSpan> &faults)
{
	int64_t from_ms = acked_ms;

	if (r.began_ms > acked_ms)
		from_ms = r.began_ms + kContactMs;
	if (!r.is_late && r.began_ms > acked_ms + kCancelMs &&
	    touched_until(faults, r.began_ms - kContactMs, r.began_ms) < 0)
		j.started.push_back(r);
	if (outlasts_calm(faults, from_ms, r.ended_ms))
		j.runs_on.push_back(r);
	j.stopped += r.began_ms <= acked_ms && r.ended_ms > acked_ms;
	j.longest_ms = std::max(j.longest_ms, r.ended_ms - acked_ms);
}

} // namespace

CancelledJudgement
judge_cancelled_runs(const std::vector<LastingRun> &runs,
    const Cancellations &acked, const std::vector<FaultSpan> &faults,
    int64_t until_ms)
{
	CancelledJudgement j;

	for (LastingRun r : runs) {
		auto job = acked.find(r.task.substr(0, kIdLength));

		if (job == acked.end())
			continue;
		if (r.ended_ms == 0)
			r.ended_ms = until_ms;
		judge_run(j, r, job->second, faults);
	}
	return j;
}
