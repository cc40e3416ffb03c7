#include "pool_fixture.h"

namespace
{

constexpr int64_t kHoldsAll = 14 * kS;

/* Workers that have ended, and a later one that runs on their VM. */
class PoolGone : public Pool
{
      protected:
	void
	list_on(const std::string &id, const std::string &vm,
	    int64_t incarnation, bool draining = false)
	{
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    "kind", "rack", {4000, 1000, 0}, draining, 0, vm.c_str(),
		    incarnation};

		wp_set_worker(p, &info, now);
	}

	/* As the registry of the last owner names it. */
	void
	register_on(
	    const std::string &id, const std::string &vm, int64_t incarnation)
	{
		wp_add_registered_worker(p, id.c_str(), "127.0.0.1:1", now);
		wp_describe_registered_worker(
		    p, id.c_str(), vm.c_str(), incarnation, now);
	}

	void
	answer_from(const std::string &id, int64_t incarnation)
	{
		now += 1 * kMs;
		renew_lease(id, {}, {}, incarnation);
	}

	void
	lose(const std::string &id)
	{
		struct wp_renewal renewal;

		worker(id)->renew_at_us = now;
		wp_renewal_due(p, worker(id), now, &renewal);
		wp_on_renewal_failed(p, worker(id), WP_NO_ANSWER, now);
	}

	/* A task runs on "a", incarnation 100 of VM "vm", which falls silent. */
	void
	lose_worker_with_a_task()
	{
		create_pool();
		list_on("a", "vm", 100);
		answer_from("a", 100);
		commit();
		add(kJob, {{1}});
		ASSERT_EQ(run_all().size(), 1u);
		now += 10 * kMs;
		renew_lease("a", {{kJob, 0, 0, 1, 0}}, {}, 100);
		lose("a");
	}

	/* A new owner of a pool with a task that may run on "a". */
	void
	take_over()
	{
		create_pool(1, kStart + kHoldsAll);
		register_on("a", "vm", 100);
		wp_registry_loaded(p);
		add(kJob, {{1}}, nullptr, false);
	}

	bool
	is_over_after(const std::string &id, int64_t us = 100 * kMs)
	{
		run_all(us);
		return worker(id)->over;
	}

	struct wp_worker *
	worker(const std::string &id)
	{
		return wp_find_worker(p, id.c_str());
	}
};

TEST_F(PoolGone, LaterWorkerOnTheVmEndsTheRunsOfTheEarlierOne)
{
	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	commit();
	EXPECT_TRUE(tick(100 * kMs).empty());
	answer_from("b", 200);
	std::vector<struct wp_order *> starts = run_all(100 * kMs);
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_STREQ(starts[0]->worker, "b");
	EXPECT_EQ(worker("a")->tasks, nullptr);
	EXPECT_EQ(p->stats.leases_expired, 0u);
	EXPECT_EQ(p->stats.over, 1u);
}

TEST_F(PoolGone, NextOwnerDoesNotWaitForAWorkerWhoseVmShowsALaterOne)
{
	take_over();
	list_on("b", "vm", 200);
	commit();
	EXPECT_FALSE(is_over_after("a"));
	EXPECT_FALSE(p->reconciled);
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
	EXPECT_TRUE(p->reconciled);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
}

TEST_F(PoolGone, WorkerThatIsOverIsNotRegisteredOrCalledThoughItIsListed)
{
	struct wp_renewal renewal;

	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
	EXPECT_TRUE(p->registry_dirty);
	commit();
	EXPECT_FALSE(worker("a")->registered);
	now += 1 * kS;
	EXPECT_FALSE(wp_renewal_due(p, worker("a"), now, &renewal));
	list_on("a", "vm", 100);
	run_all(1 * kS);
	EXPECT_FALSE(p->registry_dirty);
}

TEST_F(PoolGone, EntryAloneEndsNothing)
{
	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	EXPECT_FALSE(is_over_after("a"));
	lose("b");
	EXPECT_FALSE(is_over_after("a"));
}

TEST_F(PoolGone, WorkerOnAnotherVmEndsNothing)
{
	lose_worker_with_a_task();
	list_on("b", "other", 200);
	answer_from("b", 200);
	EXPECT_FALSE(is_over_after("a"));
}

TEST_F(PoolGone, WorkersOfUnknownVmsEndNothing)
{
	create_pool(1, kStart + kHoldsAll);
	register_on("a", "", 100);
	wp_registry_loaded(p);
	list_on("b", "", 200);
	answer_from("b", 200);
	EXPECT_FALSE(is_over_after("a"));
	EXPECT_FALSE(p->reconciled);
}

TEST_F(PoolGone, WorkerOfUnknownStartIsNotEnded)
{
	create_pool(1, kStart + kHoldsAll);
	register_on("a", "vm", 0);
	wp_registry_loaded(p);
	list_on("b", "vm", 200);
	answer_from("b", 200);
	EXPECT_FALSE(is_over_after("a"));
}

/* The VM's clock was set back, or the answer is the earlier one's. */
TEST_F(PoolGone, WorkerThatDidNotStartLaterEndsNothing)
{
	lose_worker_with_a_task();
	for (int64_t incarnation : {50, 100}) {
		list_on("b", "vm", incarnation);
		answer_from("b", incarnation);
		EXPECT_FALSE(is_over_after("a")) << incarnation;
	}
}

/* "b" ended and the clock was set back before "a" began. */
TEST_F(PoolGone, AnswerFromBeforeAWorkerWasKnownDoesNotEndIt)
{
	create_pool();
	list_on("b", "vm", 200);
	answer_from("b", 200);
	now += 1 * kMs;
	list_on("a", "vm", 100);
	EXPECT_FALSE(is_over_after("a"));
	answer_from("a", 100);
	commit();
	lose("a");
	EXPECT_FALSE(is_over_after("a"));
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
}

TEST_F(PoolGone, CallFromBeforeTheLastAnswerDoesNotEndAWorker)
{
	struct wp_renewal renewal;

	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	ASSERT_TRUE(wp_renewal_due(p, worker("b"), now, &renewal));
	now += 1 * kMs;
	worker("a")->renewal_in_flight = true;
	renew_lease("a", {{kJob, 0, 0, 1, 0}}, {}, 100);
	lose("a");
	now += 1 * kMs;
	renew_lease("b", {}, {}, 200);
	EXPECT_FALSE(is_over_after("a"));
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
}

TEST_F(PoolGone, WorkerThatBeginsAgainUnderItsIdIsUsedAgain)
{
	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
	wp_unlist_worker(p, "b");
	list_on("a", "vm", 300);
	EXPECT_FALSE(worker("a")->over);
	answer_from("a", 300);
	commit();
	EXPECT_FALSE(is_over_after("a"));
	EXPECT_TRUE(wp_is_usable(worker("a"), now));
}

/* The next owner has not forgotten that earlier ones may act there. */
TEST_F(PoolGone, WorkerThatBeginsAgainUnderItsIdHoldsUntilItAnswers)
{
	take_over();
	list_on("b", "vm", 200);
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
	EXPECT_FALSE(wp_is_holding(worker("a"), now));
	list_on("a", "vm", 300);
	EXPECT_TRUE(wp_is_holding(worker("a"), now));
	answer_from("a", 300);
	EXPECT_FALSE(wp_is_holding(worker("a"), now));
}

TEST_F(PoolGone, NothingIsOverWhileALaterOwnerMayExist)
{
	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	answer_from("b", 200);
	p->ownership_unconfirmed = true;
	EXPECT_FALSE(is_over_after("a"));
	p->ownership_unconfirmed = false;
	EXPECT_TRUE(is_over_after("a"));
}

/* As at the end of its lease: the task had just been started. */
TEST_F(PoolGone, TasksOfAWorkerThatIsOverAreSuspected)
{
	lose_worker_with_a_task();
	list_on("b", "vm", 200);
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
	EXPECT_EQ(task(kJob, 0, 0)->crash_count, 1u);
	EXPECT_EQ(task(kJob, 0, 0)->crashed_workers, 0u);
}

TEST_F(PoolGone, TasksOfAWorkerThatWasDrainingAreNotSuspected)
{
	lose_worker_with_a_task();
	list_on("a", "vm", 100, true);
	list_on("b", "vm", 200);
	answer_from("b", 200);
	EXPECT_TRUE(is_over_after("a"));
	EXPECT_EQ(task(kJob, 0, 0)->crash_count, 0u);
}

} // namespace
