#include "pool_fixture.h"

namespace
{

constexpr uint32_t kLasting = JB_LONG_RUNNING;

class Stops : public Pool
{
      protected:
	/* A run that is listed, and whose job has just been cancelled. */
	struct wp_order *
	begin(enum wp_order_result started)
	{
		create_pool();
		add_worker("w");
		add(kJob, {{1, 1000, kLasting}});
		std::vector<struct wp_order *> start = tick();
		EXPECT_EQ(start.size(), 1U);
		if (started != WP_NO_ANSWER)
			answer(start[0], started);
		list_run("w", 1);
		return cancel();
	}

	struct wp_order *
	cancel()
	{
		wp_cancel_job(p, wp_find_job(p, kJob.c_str()), now);
		std::vector<struct wp_order *> stop = tick();

		EXPECT_EQ(stop.size(), 1U);
		return stop[0];
	}

	void
	list_run(const std::string &id, uint32_t run)
	{
		renew_lease(id, {{kJob, 0, 0, run, 0}});
	}

	size_t
	stops(int64_t after_us)
	{
		size_t n = 0;

		for (const struct wp_order *o : run_all(after_us))
			n += o->kind == WP_ORDER_STOP;
		return n;
	}
};

/* UNASKED: it was not sent, and no result of the start was noted. */
TEST_F(Stops, StopIsRepeatedThoughAStartOfAListedRunHasNoResult)
{
	struct wp_order *stop = begin(WP_NO_ANSWER);

	answer(stop, WP_NOT_SENT);
	EXPECT_EQ(stops(450 * kMs), 1U);
}

TEST_F(Stops, StopThatWasAcceptedIsRepeatedWhileTheRunIsListed)
{
	answer(begin(WP_ACCEPTED));
	now += 400 * kMs;
	list_run("w", 1);
	EXPECT_EQ(stops(0), 0U);
	for (int i = 0; i < 3; i++) {
		now += 600 * kMs;
		list_run("w", 1);
		EXPECT_EQ(stops(0), 1U);
	}
	now += 300 * kMs;
	renew_lease("w");
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_CANCELLED);
	EXPECT_EQ(stops(kS), 0U);
}

/* Its earlier run has completed elsewhere. */
TEST_F(Stops, StopOfACopyOfADoneTaskIsRepeatedWhileItIsListed)
{
	create_pool();
	add_worker("v");
	add(kJob, {{1, 1000, JB_SPECULATIVE}});
	ASSERT_EQ(run_all().size(), 1U);
	list_run("v", 1);
	add_worker("w");
	wp_on_renewal_failed(p, wp_find_worker(p, "v"), WP_NO_ANSWER, now);
	ASSERT_EQ(run_all(400 * kMs).size(), 1U);
	list_run("w", 2);
	renew_lease("v", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(stops(0), 1U);
	now += 600 * kMs;
	list_run("w", 2);
	EXPECT_EQ(stops(0), 1U);
}

/* UNASKED: each went through relays whose links were full. */
TEST_F(Stops, StopThatARelayDoesNotDeliverGoesDirectlyTheNextTime)
{
	struct wp_order *stop = begin(WP_ACCEPTED);

	for (bool direct : {false, true, false, true}) {
		EXPECT_EQ(wp_bypasses_relays(stop), direct);
		answer(stop, direct ? WP_NO_ANSWER : WP_NOT_SENT);
		now += 100 * kMs;
		list_run("w", 1);
		std::vector<struct wp_order *> orders = tick(400 * kMs);
		ASSERT_EQ(orders.size(), 1U);
		stop = orders[0];
	}
	answer(stop);
	EXPECT_EQ(wp_find_worker(p, "w")->unanswered_stops, 0U);
}

} // namespace
