#include <gtest/gtest.h>

extern "C" {
#include "coordination/drain.h"
}

namespace
{

constexpr int64_t kStart = 1000;
constexpr dr_limits kLimits = {
    .unready_us = 250, .end_us = 520, .flush_us = 20, .fresh_us = 50};

struct Step {
	int64_t at; /* since the start */
	dr_view view;
	dr_step expected;
};

struct Case {
	const char *name;
	std::vector<Step> steps;
};

class DrainSteps : public testing::TestWithParam<Case>
{
};

TEST_P(DrainSteps, FollowWhatIsOpen)
{
	struct dr_drain d = {};

	dr_begin(&d, &kLimits, kStart);
	for (const Step &s : GetParam().steps)
		EXPECT_EQ(dr_next(&d, &s.view, kStart + s.at), s.expected)
		    << "at " << s.at;
}

constexpr dr_view kNothing = {0, 0, false};
constexpr dr_view kRequest = {1, 0, false};
constexpr dr_view kFresh = {0, 1, false};
constexpr dr_view kDuty = {0, 0, true};

INSTANTIATE_TEST_SUITE_P(Cases, DrainSteps,
    testing::Values(
	Case{"NothingOpenStillWaitsForLoadBalancers",
	    {{0, kNothing, DR_SERVING}, {249, kNothing, DR_SERVING},
		{250, kNothing, DR_CLOSING}, {251, kNothing, DR_ENDED},
		{252, kNothing, DR_ENDED}}},
	Case{"RequestIsWaitedFor",
	    {{250, kRequest, DR_CLOSING}, {500, kRequest, DR_CLOSING},
		{519, kRequest, DR_CLOSING}, {519, kNothing, DR_ENDED}}},
	Case{"EndsInTimeWhateverIsOpen",
	    {{250, {9, 9, true}, DR_CLOSING}, {519, {9, 9, true}, DR_CLOSING},
		{520, {9, 9, true}, DR_ENDED}}},
	Case{"ConnectionWithoutARequestIsWaitedForBriefly",
	    {{260, kFresh, DR_CLOSING}, {309, kFresh, DR_CLOSING},
		{310, kFresh, DR_ENDED}}},
	Case{"RequestOnItIsWaitedForLonger",
	    {{260, kFresh, DR_CLOSING}, {310, kRequest, DR_CLOSING},
		{311, kNothing, DR_ENDED}}},
	Case{"PoolsAreHandedOverFirst",
	    {{250, kDuty, DR_CLOSING}, {400, kDuty, DR_CLOSING},
		{401, kNothing, DR_ENDED}}},
	Case{"FrozenProcessStillStopsAcceptingBeforeItEnds",
	    {{9999, kRequest, DR_CLOSING}, {9999, kRequest, DR_ENDED}}}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(DrainDeadlines, WhatWaitsIsAnsweredBeforeTheEnd)
{
	struct dr_drain d = {};

	dr_begin(&d, &kLimits, kStart);
	EXPECT_FALSE(dr_is_overdue(&d, kStart + 499));
	EXPECT_TRUE(dr_is_overdue(&d, kStart + 500));
}

TEST(DrainDeadlines, ShortGracePeriodEndsBeforeLoadBalancersNotice)
{
	struct dr_limits limits = kLimits;
	struct dr_drain d = {};

	limits.end_us = 10;
	dr_begin(&d, &limits, kStart);
	EXPECT_TRUE(dr_is_overdue(&d, kStart));
	EXPECT_EQ(dr_next(&d, &kRequest, kStart), DR_CLOSING);
	EXPECT_EQ(dr_next(&d, &kRequest, kStart + 9), DR_CLOSING);
	EXPECT_EQ(dr_next(&d, &kRequest, kStart + 10), DR_ENDED);
}

} // namespace
