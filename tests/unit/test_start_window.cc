#include <gtest/gtest.h>

#include <deque>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "state/start_window.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;

class StartWindow : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		sw_init(&win);
	}

	/* Sends as many orders as the window allows. */
	std::vector<struct sw_sent>
	fill()
	{
		std::vector<struct sw_sent> sent;

		while (sw_is_open(&win))
			sent.push_back(sw_send(&win, now));
		return sent;
	}

	/* All orders that fit are answered after some time. */
	void
	round(int64_t latency_us)
	{
		std::vector<struct sw_sent> sent = fill();

		now += latency_us;
		for (const struct sw_sent &s : sent)
			sw_on_answer(&win, &s, now);
	}

	struct sw_window win;
	int64_t now = 100 * kMs;
};

TEST_F(StartWindow, SlowAnswersDoNotStopStartsAltogether)
{
	for (int i = 0; i < 50; i++)
		round(2000 * kMs);
	EXPECT_GE(fill().size(), 8U);
}

TEST_F(StartWindow, FastAnswersLetALargePoolStartManyTasks)
{
	for (int i = 0; i < 50; i++)
		round(2000 * kMs);
	for (int i = 0; i < 20; i++)
		round(5 * kMs);
	EXPECT_GE(fill().size(), 500U);
}

TEST_F(StartWindow, OneBurstOfTimeoutsShrinksItOnce)
{
	uint32_t limit;

	for (int i = 0; i < 20; i++)
		round(5 * kMs);
	limit = win.limit;
	std::vector<struct sw_sent> sent = fill();
	now += 250 * kMs;
	for (const struct sw_sent &s : sent)
		sw_on_timeout(&win, &s, now);
	EXPECT_LT(win.limit, limit);
	EXPECT_GE(win.limit, limit / 2);
	EXPECT_EQ(win.in_flight, 0U);
}

/* Every second order goes to a worker that is cut off. */
TEST_F(StartWindow, UnansweredOrdersOfDeadWorkersDoNotDelayOthers)
{
	std::deque<struct sw_sent> live;
	std::deque<struct sw_sent> dead;
	int sent = 0;
	int64_t begin = now;

	while (sent < 400) {
		while (sent < 400 && sw_is_open(&win)) {
			(sent % 2 ? dead : live).push_back(sw_send(&win, now));
			sent++;
		}
		now += kMs;
		while (!live.empty() && now - live[0].at_us >= 5 * kMs) {
			sw_on_answer(&win, &live[0], now);
			live.pop_front();
		}
		while (!dead.empty() && now - dead[0].at_us >= 250 * kMs) {
			sw_on_timeout(&win, &dead[0], now);
			dead.pop_front();
		}
	}
	EXPECT_LT(now - begin, 250 * kMs);
}

/* A relay that was cut off answered late, and hardly any task started. */
TEST_F(StartWindow, SlowAnswersOfOneRelayDoNotDelayOthers)
{
	uint32_t limit;

	for (int i = 0; i < 20; i++)
		round(5 * kMs);
	limit = win.limit;
	for (int i = 0; i < 20; i++) {
		struct sw_sent slow = sw_send(&win, now);

		now += kMs;
		round(5 * kMs);
		now += 200 * kMs;
		sw_on_answer(&win, &slow, now);
	}
	EXPECT_GE(win.limit, limit);
}

TEST_F(StartWindow, SlowAnswersToFewOrdersDoNotShrinkIt)
{
	uint32_t limit;

	for (int i = 0; i < 20; i++)
		round(5 * kMs);
	limit = win.limit;
	for (int i = 0; i < 50; i++) {
		struct sw_sent sent = sw_send(&win, now);

		now += 200 * kMs;
		sw_on_answer(&win, &sent, now);
	}
	EXPECT_EQ(win.limit, limit);
}

TEST_F(StartWindow, FewFastAnswersDoNotOpenIt)
{
	uint32_t limit = win.limit;

	for (int i = 0; i < 500; i++) {
		struct sw_sent sent = sw_send(&win, now);

		sw_on_answer(&win, &sent, now + kMs);
	}
	EXPECT_EQ(win.limit, limit);
}

} // namespace
