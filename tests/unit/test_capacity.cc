#include "pool_fixture.h"

/*
 * Workers whose capacity shrinks and grows while they run: no start may exceed
 * it, whatever else happens meanwhile.
 */

namespace
{

class Capacity : public Pool
{
      protected:
	void
	SetUp() override
	{
		create_pool();
	}

	/* The worker's entry in service discovery changes. */
	void
	resize(const std::string &id, int64_t cpu, int64_t gpu = 0,
	    int64_t incarnation = 0)
	{
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    "kind", "rack", {cpu, 1000, gpu}, false, 0, nullptr,
		    incarnation};

		wp_set_worker(p, &info, now);
	}

	static size_t
	count(const std::vector<struct wp_order *> &orders,
	    enum wp_order_kind kind = WP_ORDER_START)
	{
		size_t n = 0;

		for (const struct wp_order *o : orders)
			n += o->kind == kind;
		return n;
	}

	/* What the worker reports of the tasks of a job's first step. */
	std::vector<Running>
	running(const std::string &job, uint32_t from, uint32_t to)
	{
		std::vector<Running> rows;

		for (uint32_t i = from; i < to; i++)
			rows.push_back({job, 0, i, 1, 0, 10});
		return rows;
	}

	/* Starts tasks of one core each, which then run on the worker. */
	void
	run_tasks(const std::string &job, uint32_t tasks)
	{
		add(job, {{tasks, 1000}});
		EXPECT_EQ(count(run_all()), tasks);
		renew_lease("w-1", running(job, 0, tasks));
	}
};

TEST_F(Capacity, RestartedWorkerReceivesNothingOnTheEntryOfItsEarlierLife)
{
	add_worker("w-1");
	resize("w-1", 4000, 0, 1);
	add(kJob, {{4, 1000}});
	renew_lease("w-1", {}, {}, 2);
	EXPECT_EQ(count(run_all()), 0U);
	resize("w-1", 1000, 0, 2);
	EXPECT_EQ(count(run_all(10 * kMs)), 1U);
}

TEST_F(Capacity, EntryOfANewLifeIsNotUsedForTheEarlierOne)
{
	add_worker("w-1", 1000);
	resize("w-1", 1000, 0, 1);
	resize("w-1", 4000, 0, 2);
	add(kJob, {{4, 1000}});
	EXPECT_EQ(count(run_all()), 0U);
	renew_lease("w-1", {}, {}, 2);
	EXPECT_EQ(count(run_all(10 * kMs)), 4U);
}

} // namespace
