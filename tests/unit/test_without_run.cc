#include "pool_fixture.h"

/* Long-running tasks without a run are named, with what their next run waits for. */

namespace
{

class WithoutRun : public Pool
{
      protected:
	std::vector<struct wp_without_run>
	rows()
	{
		std::vector<struct wp_without_run> list(4);

		list.resize(
		    wp_find_without_run(p, kStart, now, list.data(), 4));
		return list;
	}

	void
	add_lasting(const std::string &id, uint32_t count)
	{
		add(id, {{count, 1000, JB_LONG_RUNNING}});
	}
};

TEST_F(WithoutRun, TasksThatRunAreNotNamed)
{
	create_pool();
	add_worker("w");
	add_lasting(kJob, 2);
	run_all();
	now += 10 * kS;
	EXPECT_TRUE(rows().empty());
}

TEST_F(WithoutRun, ShortTasksAreNotNamed)
{
	create_pool(1, kStart + 13 * kS);
	list_worker("w");
	add(kJob, {{2}}, nullptr, false);
	tick();
	now += 5 * kS;
	EXPECT_TRUE(rows().empty());
}

TEST_F(WithoutRun, TasksOfASilentWorkerAreNamedWithItsLease)
{
	create_pool();
	add_worker("w");
	add_lasting(kJob, 2);
	run_all();
	renew_lease("w", {{kJob, 0, 0, 1, 0}, {kJob, 0, 1, 1, 0}});
	renewal_overdue("w");
	now += 3 * kS - 1;
	EXPECT_TRUE(rows().empty());
	now += 1;
	ASSERT_EQ(rows().size(), 1u);
	EXPECT_STREQ(wp_without_run_name(rows()[0].why), "silent");
	EXPECT_EQ(rows()[0].tasks, 2u);
	EXPECT_EQ(rows()[0].for_us, 3 * kS);
	EXPECT_STREQ(rows()[0].worker, "w");
	EXPECT_TRUE(rows()[0].listed);
	EXPECT_EQ(rows()[0].left_us,
	    wp_lease_expiry_us(wp_find_worker(p, "w")) - now);
}

/* The worker that is waited for longest: the other has answered. */
TEST_F(WithoutRun, HeldTasksAreNamedWithTheWorkerThatHoldsThem)
{
	create_pool(1, kStart + 13 * kS);
	list_worker("v");
	list_worker("w");
	add(kJob, {{3, 1000, JB_LONG_RUNNING}}, nullptr, false);
	renew_lease("v", {{kJob, 0, 0, 1, 0}});
	tick();
	now += 4 * kS;
	ASSERT_EQ(rows().size(), 1u);
	EXPECT_STREQ(wp_without_run_name(rows()[0].why), "held");
	EXPECT_EQ(rows()[0].state, WP_TASK_UNRECONCILED);
	EXPECT_EQ(rows()[0].tasks, 2u);
	EXPECT_EQ(rows()[0].for_us, 4 * kS);
	EXPECT_STREQ(rows()[0].worker, "w");
	EXPECT_EQ(rows()[0].left_us, 9 * kS);
}

TEST_F(WithoutRun, TasksThatWaitForRoomAreNamed)
{
	create_pool();
	add_worker("w", 1000);
	add_lasting(kJob, 1);
	run_all();
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	add(kOther, {{1, 1000, 0}});
	task(kJob, 0, 0)->not_before_us = now + kS;
	run_all();
	now += 4 * kS - 1;
	EXPECT_TRUE(rows().empty());
	now += 1;
	ASSERT_EQ(rows().size(), 1u);
	EXPECT_STREQ(wp_without_run_name(rows()[0].why), "waits");
	EXPECT_STREQ(rows()[0].worker, "");
}

TEST_F(WithoutRun, TasksThatWaitForATicketAreTold)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1, 1000, JB_LONG_RUNNING}}, nullptr, true, 500);
	task(kJob, 0, 0)->not_before_us = now;
	tick();
	now += 3 * kS;
	ASSERT_EQ(rows().size(), 1u);
	EXPECT_STREQ(wp_without_run_name(rows()[0].why), "advice");
}

/* From when it might start, as its worker had ended. */
TEST_F(WithoutRun, LongestWaitOfATaskThatRunsAgainIsToldOnce)
{
	create_pool();
	add_worker("w", 1000);
	add_lasting(kJob, 1);
	run_all();
	EXPECT_EQ(wp_take_longest_restore_us(p), 0);
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	now += 700 * kMs;
	run_all();
	EXPECT_EQ(p->stats.restored, 1u);
	EXPECT_EQ(wp_take_longest_restore_us(p), 700 * kMs);
	EXPECT_EQ(wp_take_longest_restore_us(p), 0);
}

TEST_F(WithoutRun, RowsAreBounded)
{
	struct wp_without_run row[2];

	create_pool(1, kStart + 13 * kS);
	list_worker("w");
	for (int i = 0; i < 5; i++)
		add(job_id(i), {{1, 1000, JB_LONG_RUNNING}}, nullptr, false);
	now += 4 * kS;
	EXPECT_EQ(wp_find_without_run(p, kStart, now, row, 2), 2u);
}

} // namespace
