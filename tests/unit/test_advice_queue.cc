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

} // namespace
