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

} // namespace
