#include <gtest/gtest.h>

#include "../soak/cancelled_runs.h"

namespace
{

constexpr int64_t kEndMs = 60000;
const Cancellations kAcked = {{"0000000000000001", 10000}};

std::vector<LastingRun>
run_between(int64_t began_ms, int64_t ended_ms)
{
	return {{"0000000000000001.0.0.0", "w-1", began_ms, ended_ms, ""}};
}

size_t
runs_on(int64_t began_ms, int64_t ended_ms,
    const std::vector<FaultSpan> &faults = {})
{
	return judge_cancelled_runs(
	    run_between(began_ms, ended_ms), kAcked, faults, kEndMs)
	    .runs_on.size();
}

size_t
starts(int64_t began_ms, const std::vector<FaultSpan> &faults = {})
{
	return judge_cancelled_runs(
	    run_between(began_ms, began_ms + 1), kAcked, faults, kEndMs)
	    .started.size();
}

TEST(CancelledRuns, RunMayGoOnFor3200MsOfCalm)
{
	EXPECT_EQ(runs_on(5000, 13200), 0U);
	EXPECT_EQ(runs_on(5000, 13201), 1U);
	EXPECT_EQ(runs_on(5000, 0), 1U);
}

TEST(CancelledRuns, CalmBeginsThreeSecondsAfterAFault)
{
	EXPECT_EQ(runs_on(5000, 13201, {{6000, 7000}}), 0U);
	EXPECT_EQ(runs_on(5000, 13201, {{6000, 6999}}), 1U);
	EXPECT_EQ(runs_on(5000, 18201, {{12000, 12000}}), 0U);
	EXPECT_EQ(runs_on(5000, 18202, {{12000, 12000}}), 1U);
}

TEST(CancelledRuns, CalmBeforeALaterFaultCounts)
{
	EXPECT_EQ(runs_on(5000, 0, {{13201, kEndMs}}), 1U);
	EXPECT_EQ(runs_on(5000, 0, {{13200, kEndMs}}), 0U);
}

TEST(CancelledRuns, FaultsThatOverlapAreOne)
{
	EXPECT_EQ(runs_on(5000, 19201, {{9000, 13000}, {9500, 10000}}), 0U);
	EXPECT_EQ(runs_on(5000, 19202, {{9000, 13000}, {9500, 10000}}), 1U);
}

TEST(CancelledRuns, RunThatBeganLaterHasThreeSecondsMore)
{
	EXPECT_EQ(runs_on(11000, 17200), 0U);
	EXPECT_EQ(runs_on(11000, 17201), 1U);
}

TEST(CancelledRuns, NothingStartsThreeSecondsAfterTheAcknowledgement)
{
	EXPECT_EQ(starts(13000), 0U);
	EXPECT_EQ(starts(13001), 1U);
	EXPECT_EQ(starts(13001, {{10001, 10001}}), 0U);
	EXPECT_EQ(starts(13001, {{9000, 10000}}), 1U);
}

TEST(CancelledRuns, LateStartIsJudgedFromThreeSecondsAfterIt)
{
	std::vector<LastingRun> runs = run_between(20000, 26201);
	CancelledJudgement j;

	runs[0].is_late = true;
	j = judge_cancelled_runs(runs, kAcked, {}, kEndMs);
	EXPECT_TRUE(j.started.empty());
	EXPECT_EQ(j.runs_on.size(), 1U);
	runs[0].ended_ms--;
	EXPECT_TRUE(
	    judge_cancelled_runs(runs, kAcked, {}, kEndMs).runs_on.empty());
}

TEST(CancelledRuns, JobsThatNobodyCancelledAreNotJudged)
{
	EXPECT_TRUE(judge_cancelled_runs(run_between(5000, 0), {}, {}, kEndMs)
			.runs_on.empty());
}

} // namespace
