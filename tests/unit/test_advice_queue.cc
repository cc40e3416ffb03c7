#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "state/advice_queue.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;

TEST(AdviceQueue, UrgentThenCheapRequestsGoFirst)
{
	struct aq_entry urgent = {0, 900, 50};
	struct aq_entry cheap = {1, 100, 50};
	struct aq_entry costly = {1, 900, 20};

	EXPECT_TRUE(aq_goes_before(&urgent, &cheap, 0));
	EXPECT_FALSE(aq_goes_before(&cheap, &urgent, 0));
	EXPECT_TRUE(aq_goes_before(&cheap, &costly, 0));
	EXPECT_FALSE(aq_goes_before(&costly, &cheap, 0));
}

TEST(AdviceQueue, OverdueRequestsGoFirstAndOldestFirst)
{
	struct aq_entry urgent = {0, 100, 50};
	struct aq_entry overdue = {2, 900, 20};
	struct aq_entry older = {2, 900, 10};

	EXPECT_TRUE(aq_goes_before(&overdue, &urgent, 30));
	EXPECT_FALSE(aq_goes_before(&urgent, &overdue, 30));
	EXPECT_TRUE(aq_goes_before(&older, &overdue, 30));
	EXPECT_FALSE(aq_goes_before(&overdue, &older, 30));
}

TEST(AdviceQueue, RequestsForLostTasksGoBeforeOverdueOnes)
{
	struct aq_entry overdue = {0, 100, 20};
	struct aq_entry lost = {2, 900, 50, true};
	struct aq_entry older = {2, 900, 40, true};

	EXPECT_TRUE(aq_goes_before(&lost, &overdue, 30));
	EXPECT_FALSE(aq_goes_before(&overdue, &lost, 30));
	EXPECT_TRUE(aq_goes_before(&older, &lost, 45));
}

struct Forwarded {
	struct aq_entry entry;
	int64_t deadline_us;
	bool is_urgent;
};

/*
 * A daemon that serves two owners and has two calls at the service, which takes
 * them one at a time. One owner keeps two urgent requests of 1.4 s there, the
 * other one a cheap one of a less urgent queue.
 */
TEST(AdviceQueue, RequestsOfAnotherOwnerAreAnsweredBeforeTheirDeadline)
{
	constexpr int64_t kUrgentUs = 1400 * kMs;
	constexpr int64_t kCheapUs = 250 * kMs;
	std::vector<Forwarded> queue;
	std::vector<Forwarded> calls;
	int64_t urgent = 0;
	int64_t cheap = 0;
	int64_t now = 0;
	int64_t answered = 0;

	while (now < 60 * kS) {
		for (; urgent < 2; urgent++)
			queue.push_back({{1, kUrgentUs, now},
			    aq_answer_deadline_us(
				now, 2 * kUrgentUs, kUrgentUs),
			    true});
		for (; cheap < 1; cheap++)
			queue.push_back({{2, kCheapUs, now},
			    aq_answer_deadline_us(now, kCheapUs, kUrgentUs),
			    false});
		while (calls.size() < 2 && !queue.empty()) {
			auto next = std::min_element(queue.begin(), queue.end(),
			    [&](const Forwarded &a, const Forwarded &b) {
				    return aq_goes_before(
					&a.entry, &b.entry, now - 500 * kMs);
			    });
			calls.push_back(*next);
			queue.erase(next);
		}
		now += calls[0].entry.cost_us;
		ASSERT_LE(now, calls[0].deadline_us);
		answered += !calls[0].is_urgent;
		(calls[0].is_urgent ? urgent : cheap)--;
		calls.erase(calls.begin());
	}
	EXPECT_GE(answered, 12);
}

/* Seven daemons as a cell has them: 0, 3 and 6 are kept for short requests. */
class AdviceTargets : public testing::Test
{
      protected:
	AdviceTargets()
	{
		for (uint32_t i = 0; i < load.size(); i++) {
			load[i].usable = true;
			load[i].for_short = i % 3 == 0;
			load[i].lends = i % 3 == 0 && i > 0;
		}
	}

	uint32_t
	choose(bool is_short, int64_t waited_us)
	{
		return aq_choose_target(load.data(), (uint32_t)load.size(),
		    is_short, waited_us, now);
	}

	void
	fail(uint32_t target)
	{
		aq_on_answer(&load[target], false, now);
	}

	void
	send(uint32_t target, int64_t cost_us)
	{
		load[target].in_flight++;
		load[target].in_flight_cost_us += cost_us;
	}

	void
	fill_with_long_requests()
	{
		uint32_t target;

		while ((target = choose(false, 0)) != AQ_NONE) {
			EXPECT_FALSE(load[target].for_short);
			send(target, 600 * kMs);
		}
	}

	std::vector<struct aq_load> load = std::vector<struct aq_load>(7);
	int64_t now = 1000 * kS;
};

/* A pool stood still with room free, and three of seven daemons were idle. */
TEST_F(AdviceTargets, LongRequestsThatWaitUseIdleDaemonsKeptForShortOnes)
{
	fill_with_long_requests();
	EXPECT_EQ(choose(false, 400 * kMs), AQ_NONE);
	EXPECT_EQ(choose(false, 2 * kS), 3u);
	send(3, 600 * kMs);
	EXPECT_EQ(choose(false, 2 * kS), 6u);
	send(6, 600 * kMs);
	EXPECT_EQ(choose(false, 2 * kS), AQ_NONE);
}

TEST_F(AdviceTargets, LongRequestsLeaveADaemonToShortOnes)
{
	fill_with_long_requests();
	for (uint32_t target; (target = choose(false, 9 * kS)) != AQ_NONE;)
		send(target, 600 * kMs);
	EXPECT_EQ(choose(true, 0), 0u);
}

TEST_F(AdviceTargets, DaemonsWithShortRequestsAreNotLent)
{
	fill_with_long_requests();
	send(3, 20 * kMs);
	EXPECT_EQ(choose(false, 2 * kS), 6u);
}

/* It would get each long request again, as it is idle again soonest. */
TEST_F(AdviceTargets, IdleDaemonThatFailedIsLentAfterOthers)
{
	fill_with_long_requests();
	fail(3);
	EXPECT_EQ(choose(false, 2 * kS), 6u);
	send(6, 600 * kMs);
	EXPECT_EQ(choose(false, 2 * kS), 3u);
}

/*
 * LOST: the last task of a step asks for advice again and again, and an idle
 * cell passes each request to the first daemon, whose calls fail.
 */
TEST_F(AdviceTargets, DaemonWhoseLastRequestFailedIsAskedOnlyIfOthersAreBusy)
{
	EXPECT_EQ(choose(false, 0), 1u);
	fail(1);
	EXPECT_EQ(choose(false, 0), 2u);
	for (uint32_t i : {2u, 4u, 5u}) {
		send(i, 600 * kMs);
		send(i, 600 * kMs);
	}
	EXPECT_EQ(choose(false, 0), 1u);
	send(1, 600 * kMs);
	send(1, 600 * kMs);
	EXPECT_EQ(choose(false, 0), AQ_NONE);
}

TEST_F(AdviceTargets, DaemonsAreAskedThoughAllOfThemFail)
{
	for (auto &l : load)
		aq_on_answer(&l, false, now);
	EXPECT_EQ(choose(false, 0), 1u);
	EXPECT_EQ(choose(true, 0), 0u);
}

/* A short request costs less than the wait for one that fails. */
TEST_F(AdviceTargets, ShortRequestsAvoidADaemonThatFailsAsWell)
{
	fail(0);
	EXPECT_EQ(choose(true, 0), 3u);
	fail(3);
	fail(6);
	EXPECT_EQ(choose(true, 0), 0u);
}

/*
 * Nothing may be sent there that could succeed: others are idle, or have less to
 * do than the mark counts for.
 */
TEST_F(AdviceTargets, DaemonThatFailedIsAskedAgainByItselfOnceOthersHaveWork)
{
	fail(1);
	for (uint32_t i : {2u, 4u, 5u})
		send(i, 70 * kMs);
	EXPECT_EQ(choose(false, 0), 2u);
	now += 4 * kS;
	EXPECT_EQ(choose(false, 0), 2u);
	now += 1 * kS;
	EXPECT_EQ(choose(false, 0), 1u);
	fail(1);
	EXPECT_EQ(choose(false, 0), 2u);
}

/* In an idle cell each request would meet the first of many that fail. */
TEST_F(AdviceTargets, DaemonThatFailedLastIsTheLastOfEqualOnes)
{
	for (uint32_t i : {0u, 1u, 2u, 3u})
		fail(i);
	now += 60 * kS;
	EXPECT_EQ(choose(false, 0), 4u);
	EXPECT_EQ(choose(true, 0), 6u);
	aq_on_answer(&load[1], true, now);
	EXPECT_EQ(choose(false, 0), 1u);
}

/* LOST: one daemon served all short requests while twelve were idle. */
TEST_F(AdviceTargets, FullDaemonDoesNotHideIdleOnesWhoseLastRequestFailed)
{
	fail(3);
	fail(6);
	send(0, 20 * kMs);
	send(0, 20 * kMs);
	EXPECT_EQ(choose(true, 0), 3u);
	send(3, 20 * kMs);
	send(3, 20 * kMs);
	EXPECT_EQ(choose(true, 0), 6u);
}

TEST_F(AdviceTargets, FullLongDaemonDoesNotHideIdleOnesWhoseLastRequestFailed)
{
	for (uint32_t i : {2u, 4u, 5u})
		fail(i);
	send(1, 70 * kMs);
	send(1, 70 * kMs);
	EXPECT_EQ(choose(false, 0), 2u);
}

TEST_F(AdviceTargets, ShortRequestsWaitWhileAllDaemonsKeptForThemAreFull)
{
	for (uint32_t i : {0u, 3u, 6u}) {
		send(i, 20 * kMs);
		send(i, 20 * kMs);
	}
	EXPECT_EQ(choose(true, 0), AQ_NONE);
	EXPECT_EQ(choose(true, 9 * kS), AQ_NONE);
}

TEST_F(AdviceTargets, RequestsGoToTheOtherKindOnlyIfNoneOfTheirsIsReachable)
{
	for (uint32_t i : {0u, 3u, 6u})
		load[i].usable = false;
	EXPECT_EQ(choose(true, 0), 1u);
	load[6].usable = true;
	EXPECT_EQ(choose(true, 0), 6u);
	load[6].usable = false;
	for (uint32_t i : {1u, 2u, 4u, 5u}) {
		send(i, 600 * kMs);
		send(i, 600 * kMs);
	}
	EXPECT_EQ(choose(true, 0), AQ_NONE);
}

} // namespace
