#include "pool_fixture.h"

#include <map>
#include <set>

namespace
{

TEST_F(Pool, RunsStepsInOrder)
{
	create_pool();
	add_worker("w");
	struct wp_job *job = add(kJob, {{1}, {1, 1000, 0, {0}}});

	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.step, 0U);
	EXPECT_EQ(orders[0]->run, 1U);
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);

	now += kS;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.step, 1U);
	now += kS;
	renew_lease("w", {}, {{2, kJob, 1, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
}

/* Callers are told how many jobs still wait. */
TEST_F(Pool, JobWhoseStartGotNoAnswerIsNotShownAsRunning)
{
	create_pool();
	add_worker("w");
	struct wp_job *job = add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(wp_public_state(job), JB_PENDING);
	answer(orders[0], WP_NO_ANSWER);
	commit();
	EXPECT_EQ(wp_public_state(job), JB_PENDING);
	now += 2 * kS;
	renew_lease("w");
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	EXPECT_EQ(wp_public_state(job), JB_PENDING);
	run_all(200 * kMs);
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
}

TEST_F(Pool, JobWhoseUnansweredStartIsListedIsShownAsRunning)
{
	create_pool();
	add_worker("w");
	struct wp_job *job = add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	answer(orders[0], WP_NO_ANSWER);
	renew_lease("w", {{kJob, 0, 0, 1, 0, 10}});
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
	struct jb_progress progress = {};
	now += kS;
	ASSERT_NE(wp_next_dirty(p, p, now, &progress), nullptr);
	EXPECT_TRUE(progress.started);
}

TEST_F(Pool, JobOfWhichOnlyAnEndWasListedIsShownAsRunning)
{
	create_pool();
	add_worker("w");
	struct wp_job *job = add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	answer(orders[0], WP_NO_ANSWER);
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
}

TEST_F(Pool, PlacementNeverExceedsAWorkersCapacity)
{
	create_pool();
	add_worker("w", 4000);
	add(kJob, {{3, 1500}});

	auto orders = run_all();
	EXPECT_EQ(orders.size(), 2U);
	/* A run that is being stopped still takes resources. */
	wp_cancel_job(p, wp_find_job(p, kJob.c_str()), now);
	add(kOther, {{1, 1500}});
	orders = run_all();
	EXPECT_EQ(orders.size(), 2U);
	for (const struct wp_order *o : orders)
		EXPECT_EQ(o->kind, WP_ORDER_STOP);
	now += kS;
	renew_lease(
	    "w", {{kJob, 0, 1, 1, 0}}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	orders = tick();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_STREQ(orders[0]->ref.job, kJob.c_str());
	EXPECT_EQ(orders[0]->ref.index, 1U);
	EXPECT_EQ(orders[1]->kind, WP_ORDER_START);
	EXPECT_STREQ(orders[1]->ref.job, kOther.c_str());
}

TEST_F(Pool, RunEndsAreAcknowledgedOnceStored)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});

	struct wp_worker *w = wp_find_worker(p, "w");
	EXPECT_EQ(w->acked_end, 0U);
	/* A commit that began before the end does not contain it. */
	wp_commit_end(p, now);
	EXPECT_EQ(w->acked_end, 0U);
	commit();
	EXPECT_EQ(w->acked_end, 7U);
}

/*
 * The end of a job is stored before the progress of many others, since its
 * caller waits for it. Run ends of other jobs must not delay its
 * acknowledgement.
 */
TEST_F(Pool, EndedJobsAreStoredFirstAndAcknowledged)
{
	struct jb_progress progress;

	create_pool();
	add_worker("w", 80000);
	for (int n = 0; n < 40; n++)
		add(job_id(n), {{2}});
	run_all();
	now += 400 * kMs;
	commit();
	struct wp_worker *w = wp_find_worker(p, "w");
	now += 10 * kMs;
	renew_lease("w", {},
	    {{1, job_id(0), 0, 0, 1, WP_END_DONE},
		{2, job_id(1), 0, 0, 1, WP_END_DONE},
		{3, job_id(0), 0, 1, 1, WP_END_DONE}});
	EXPECT_TRUE(wp_is_store_due(p, now));
	struct wp_job *first = wp_next_dirty(p, p, now, &progress);
	ASSERT_NE(first, nullptr);
	EXPECT_STREQ(first->spec->id, job_id(0).c_str());
	EXPECT_EQ(progress.state, JB_COMPLETED);
	EXPECT_EQ(wp_next_dirty(p, p, now, &progress), nullptr);
	wp_commit_begin(p);
	wp_commit_end(p, now);
	EXPECT_EQ(w->acked_end, 1U);
	now += 400 * kMs;
	commit();
	EXPECT_EQ(w->acked_end, 3U);
}

TEST_F(Pool, UnregisteredWorkerReceivesNoTasks)
{
	create_pool();
	list_worker("w");
	renew_lease("w");
	add(kJob, {{1}});
	EXPECT_TRUE(tick().empty());
	EXPECT_TRUE(p->registry_dirty);
	commit();
	EXPECT_EQ(tick().size(), 1U);
}

/*
 * Unreconciled tasks waited for workers that had left long ago. Found by
 * kps-dies trouble-2.
 */
TEST_F(Pool, DepartedWorkerIsUnregistered)
{
	create_pool();
	add_worker("w");
	now += kS;
	renew_lease("w");
	wp_unlist_worker(p, "w");
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NOT_SENT, now);
	tick();
	commit();
	tick();
	EXPECT_TRUE(wp_find_worker(p, "w")->registered);
	EXPECT_FALSE(p->registry_dirty);
	tick(5 * kS);
	EXPECT_TRUE(p->registry_dirty);
	EXPECT_FALSE(wp_needs_registration(wp_find_worker(p, "w"), now));
}

/* LOST: the stop was lost, and the start before it was never answered. */
TEST_F(Pool, StopIsRepeatedAfterAStartWithoutAResponse)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	auto start = tick();
	ASSERT_EQ(start.size(), 1U);
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	answer(start[0], WP_NO_ANSWER);
	wp_cancel_job(p, wp_find_job(p, kJob.c_str()), now);
	auto stop = tick(kMs);
	ASSERT_EQ(stop.size(), 1U);
	answer(stop[0], WP_NO_ANSWER);
	EXPECT_EQ(tick(500 * kMs).size(), 1U);
}

TEST_F(Pool, StopIsRepeatedWhileAStartIsInFlight)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	auto start = tick();
	ASSERT_EQ(start.size(), 1U);
	wp_cancel_job(p, wp_find_job(p, kJob.c_str()), now);
	ASSERT_EQ(tick(kMs).size(), 1U);
	answer(start[0]);
	EXPECT_EQ(tick(500 * kMs).size(), 1U);
}

/* TWICE after a takeover, if the response to that commit is late. */
TEST_F(Pool, WorkerReceivesNoTasksWhileTheRegistryWithoutItIsBeingStored)
{
	create_pool();
	add_worker("w");
	wp_unlist_worker(p, "w");
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	tick(5 * kS);
	ASSERT_TRUE(p->registry_dirty);
	wp_registry_begin(p, now);
	list_worker("w");
	renew_lease("w");
	add(kJob, {{1}});
	EXPECT_TRUE(tick().empty());
	wp_registry_end(p, 1);
	commit();
	EXPECT_EQ(tick().size(), 1U);
}

/*
 * After a network partition, returning workers have to be registered again.
 * Found by piskdag mix --seed 662680087766.
 */
TEST_F(Pool, ReturningWorkerIsRegisteredAndUsedAgain)
{
	create_pool();
	add_worker("w");
	wp_unlist_worker(p, "w");
	tick(5 * kS);
	wp_find_worker(p, "w")->registered = false;
	p->registry_dirty = false;
	list_worker("w");
	EXPECT_TRUE(p->registry_dirty);
	renew_lease("w");
	commit();
	add(kJob, {{1}});
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, GangStartsTogetherOrNotAtAll)
{
	create_pool();
	add_worker("w", 2000);
	add(kJob, {{3, 1000, JB_GANG}});
	EXPECT_TRUE(tick().empty());
	add_worker("v", 2000);
	EXPECT_EQ(run_all().size(), 3U);
}

TEST_F(Pool, GangRestartsWithACommonRunNumberAfterAFailure)
{
	create_pool();
	add_worker("w", 2000);
	add(kJob, {{2, 1000, JB_GANG}});
	ASSERT_EQ(run_all().size(), 2U);
	add_worker("v", 2000);
	now += kS;
	renew_lease("w", {},
	    {{1, kJob, 0, 0, 1, WP_END_FAILED},
		{2, kJob, 0, 1, 1, WP_END_PEER_ENDED}});
	auto orders = run_all(200 * kMs);
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->run, 2U);
	EXPECT_EQ(orders[1]->run, 2U);
	EXPECT_EQ(task(kJob, 0, 0)->step->gang_failed_count, 1U);
}

TEST_F(Pool, GangIsStoppedWhenAMemberIsRefused)
{
	create_pool();
	add_worker("w", 1000);
	add_worker("v", 1000);
	add(kJob, {{2, 1000, JB_GANG}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 2U);
	answer(orders[0]);
	answer(orders[1], WP_REFUSED_NO_RESOURCES);
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
}

TEST_F(Pool, GangIsDoneWhenOneMemberIsDone)
{
	create_pool();
	add_worker("w", 2000);
	struct wp_job *job = add(kJob, {{2, 1000, JB_GANG}});
	run_all();
	now += kS;
	renew_lease(
	    "w", {{kJob, 0, 1, 1, 0}}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
	/* The other member keeps its resources until its end is reported. */
	EXPECT_EQ(wp_find_worker(p, "w")->used.cpu_mcpu, 1000);
}

/*
 * A new owner read the end of run 1 before another worker reported run 2.
 * Found by kps-dies trouble-1.
 */
TEST_F(Pool, FailedRunDoesNotReconcileATaskWithALaterRun)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	list_worker("w");
	list_worker("v");
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	commit();
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_UNRECONCILED);
	EXPECT_EQ(task(kJob, 0, 0)->failed_count, 1U);
	renew_lease("v", {{kJob, 0, 0, 2, 0}});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_EQ(task(kJob, 0, 0)->run, 2U);
	EXPECT_TRUE(tick().empty());
}

/*
 * A new owner reads failed runs from several workers out of order. Found by
 * kps-dies hunt-1092-3.
 */
TEST_F(Pool, FailedRunsAreCountedInAnyOrder)
{
	create_pool(1, kStart + 14 * kS);
	struct wp_job *job = add(kJob, {{1}}, nullptr, false);
	list_worker("w");
	list_worker("v");
	renew_lease("w", {}, {{1, kJob, 0, 0, 3, WP_END_FAILED}});
	renew_lease("v", {},
	    {{1, kJob, 0, 0, 1, WP_END_FAILED},
		{2, kJob, 0, 0, 2, WP_END_FAILED}});
	commit();
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(wp_public_state(job), JB_FAILED);
}

/*
 * Run 3 was adopted before the ends of runs 1 and 2 were read. Found by
 * piskdag hunt-c0cd-3.
 */
TEST_F(Pool, EarlierFailedRunsAreCountedBesideAnAdoptedRun)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	list_worker("w");
	list_worker("v");
	renew_lease("w", {{kJob, 0, 0, 3, 0}});
	renew_lease("v", {},
	    {{1, kJob, 0, 0, 1, WP_END_FAILED},
		{2, kJob, 0, 0, 2, WP_END_FAILED}});
	EXPECT_EQ(task(kJob, 0, 0)->failed_count, 2U);
	now += kS;
	renew_lease("w", {}, {{1, kJob, 0, 0, 3, WP_END_FAILED}});
	commit();
	EXPECT_TRUE(tick(kS).empty());
	EXPECT_EQ(wp_public_state(wp_find_job(p, kJob.c_str())), JB_FAILED);
}

/*
 * BUDGET: the adopted run 3 failed and was replaced before another worker
 * reported that run 1 had failed. Found by random takeovers, seed 1364.
 */
TEST_F(Pool, FailedAdoptedRunIsNotReplacedBeforeEarlierFailuresAreKnown)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	add_worker("u");
	list_worker("w");
	list_worker("v");
	renew_lease(
	    "w", {{kJob, 0, 0, 3, 0}}, {{1, kJob, 0, 0, 2, WP_END_FAILED}});
	commit();
	renew_lease("w", {}, {{2, kJob, 0, 0, 3, WP_END_FAILED}});
	EXPECT_TRUE(tick(kS).empty());
	renew_lease("v", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	EXPECT_TRUE(tick(kS).empty());
	EXPECT_EQ(wp_public_state(wp_find_job(p, kJob.c_str())), JB_FAILED);
}

TEST_F(Pool, FailedAdoptedRunIsReplacedAtOnceIfItWasTheFirst)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	add_worker("w");
	list_worker("v");
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	list_worker("u");
	renew_lease("u");
	commit();
	EXPECT_EQ(tick(kS).size(), 1U);
}

TEST_F(Pool, StoredFailedRunIsNotCountedAgain)
{
	uint32_t failed[] = {1};
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 1;
	row.failed_run = failed;
	row.failed = 1;
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, &progress, false);
	list_worker("w");
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	EXPECT_EQ(task(kJob, 0, 0)->failed_count, 1U);
}

/*
 * The earlier owner stored this while it was still stopping other tasks.
 * Found by kps-dies hunt-8a9d-15.
 */
/* A task that always failed was started without end: 8 failures were counted. */
TEST_F(Pool, JobFailsAfterMoreAttemptsThanATaskRemembers)
{
	create_pool();
	struct jb_spec *s = spec(kJob, {{1}});
	uint64_t attempts = 0;

	s->policy.max_attempts = 12;
	struct wp_job *job = wp_add_job(p, s, nullptr, true, 0, now);
	add_worker("w");
	while (attempts < 20 && !jb_has_ended(wp_public_state(job))) {
		now += 10 * kS;
		renew_lease("w");
		std::vector<struct wp_order *> orders = run_all();
		ASSERT_EQ(orders.size(), 1u);
		renew_lease("w", {},
		    {{++attempts, kJob, 0, 0, orders[0]->run, WP_END_FAILED}});
		commit();
	}
	EXPECT_EQ(attempts, 12u);
	EXPECT_EQ(wp_public_state(job), JB_FAILED);
}

TEST_F(Pool, NextOwnerCountsAttemptsWhoseNumbersAreForgotten)
{
	for (uint32_t flags : {0u, (uint32_t)JB_GANG}) {
		uint32_t failed[8] = {4, 5, 6, 7, 8, 9, 10, 11};
		struct jb_task_progress row = {};
		struct jb_progress progress = {};

		create_pool(1);
		struct jb_spec *s = spec(kJob, {{1, 1000, flags}});
		s->policy.max_attempts = 12;
		row.run = 11;
		row.failed_run = failed;
		row.failed = 8;
		row.failed_earlier = 3;
		progress.state = JB_RUNNING;
		progress.started = true;
		progress.task = &row;
		progress.task_count = 1;
		struct wp_job *job = wp_add_job(p, s, &progress, false, 0, now);
		add_worker("w");
		EXPECT_FALSE(jb_has_ended(wp_public_state(job)));
		now += 20 * kS;
		renew_lease("w");
		std::vector<struct wp_order *> orders = run_all();
		ASSERT_EQ(orders.size(), 1u);
		renew_lease(
		    "w", {}, {{1, kJob, 0, 0, orders[0]->run, WP_END_FAILED}});
		EXPECT_EQ(wp_public_state(job), JB_FAILED) << flags;
		talloc_free(p);
		p = nullptr;
	}
}

TEST_F(Pool, JobWithoutAttemptsLeftFailsUnderTheNextOwner)
{
	uint32_t failed[] = {1, 2, 3};
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 3;
	row.failed_run = failed;
	row.failed = 3;
	create_pool(1, kStart + 14 * kS);
	struct wp_job *job = add(kJob, {{2}}, &progress, false);
	add_worker("w");
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(wp_public_state(job), JB_FAILED);
}

/*
 * A takeover while a failure domain is partitioned from the new owner. Found
 * by kps-dies scale-1 --seed 1001253358689.
 */
TEST_F(Pool, UnreconciledTasksWaitForRegisteredUnlistedWorkers)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	add_worker("w");
	EXPECT_TRUE(tick(10 * kS).empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_UNRECONCILED);
	now += 5 * kS;
	renew_lease("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, WorkerThatNoEarlierOwnerRegisteredHoldsNoTasks)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "w", "127.0.0.1:2", now);
	wp_registry_loaded(p);
	list_worker("left-by-another-writer");
	EXPECT_TRUE(tick().empty());
	add_worker("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, TasksStayUnreconciledWhileOwnershipIsUnconfirmed)
{
	create_pool(1, kStart + 3 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	add_worker("w");
	p->ownership_unconfirmed = true;
	now += 5 * kS;
	renew_lease("w");
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_UNRECONCILED);
	p->ownership_unconfirmed = false;
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, StoppedEarlierOwnerShortensTheWait)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	add_worker("w");
	wp_earlier_owners_stopped(p, kStart + 3 * kS);
	EXPECT_TRUE(tick(2 * kS).empty());
	now += 2 * kS;
	renew_lease("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, JobsAcceptedAfterATakeoverStartAtOnce)
{
	create_pool(1, kStart + 14 * kS);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	add_worker("w");
	add(kJob, {{1}}, nullptr, true);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	/* Run numbers of different owners differ. */
	EXPECT_GT(orders[0]->run, 1000U);
}

TEST_F(Pool, CompletedRunOfAWaitingTaskIsAccepted)
{
	create_pool();
	add_worker("w");
	struct wp_job *job = add(kJob, {{1}});
	run_all();
	struct wp_worker *w = wp_find_worker(p, "w");
	wp_on_renewal_failed(p, w, WP_NO_ANSWER, now);
	now += 5 * kS;
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
}

TEST_F(Pool, TasksOfAnUnreachableWorkerMoveOnlyOnceItsLeaseExpires)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	add_worker("v", 1000);
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	EXPECT_TRUE(tick(2900 * kMs).empty());
	/* The worker's clock may be slow by 2%. */
	now += 400 * kMs;
	renew_lease("v");
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Pool, LeaseThatExpiresIsCountedAndItsWorkerIsUnreachable)
{
	struct wp_counts n;

	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	wp_get_counts(p, now, &n);
	EXPECT_EQ(n.unreachable, 0U);
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	wp_get_counts(p, now, &n);
	EXPECT_EQ(n.unreachable, 1U);
	EXPECT_EQ(p->stats.leases_expired, 0U);
	tick(4 * kS);
	EXPECT_EQ(p->stats.leases_expired, 1U);
}

/* Found on a calm day: the owner's link was full, and its timeouts short. */
TEST_F(Pool, RunEndInAnOverdueReplyIsNotLost)
{
	create_pool();
	add_worker("w", 1000);
	add_worker("v", 1000);
	struct wp_job *job = add(kJob, {{1}});
	auto orders = run_all();
	std::string at = orders[0]->worker;
	now += 100 * kMs;
	renew_lease(at, {{kJob, 0, 0, 1, 0}});
	now += 100 * kMs;
	renewal_overdue(at);
	now += kS;
	overdue_reply(at, now - 500 * kMs, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
	now += 4 * kS;
	renew_lease(at == "w" ? "v" : "w");
	EXPECT_TRUE(tick().empty());
}

TEST_F(Pool, OverdueReplyDoesNotUndoWhatALaterReplyReported)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	now += 100 * kMs;
	renewal_overdue("w");
	now += 500 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	/* Made before the task was there. */
	overdue_reply("w", kStart, {});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	/* Of an incarnation that is not the worker's. */
	overdue_reply("w", now + kS, {}, 2);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_EQ(wp_find_worker(p, "w")->incarnation_ms, 1);
}

/* The lease that an earlier owner renewed is not known to its successor. */
TEST_F(Pool, LeaseOfAnEarlierOwnerHasNotExpiredAfterAnOverdueReply)
{
	create_pool(1, kStart + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	add_worker("v", 1000);
	list_worker("w", 1000);
	renewal_overdue("w");
	now += 300 * kMs;
	overdue_reply("w", now, {}, 1, {{kJob, 0, 0, 1, 0}});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	/* A renewal that was sent before. */
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_OVERDUE, now);
	commit();
	EXPECT_TRUE(tick(2900 * kMs).empty());
	now += 400 * kMs;
	renew_lease("v");
	EXPECT_EQ(tick().size(), 1U);
}

/* The worker may have been restarted since it made an overdue reply. */
TEST_F(Pool, NoRunEndIsAcknowledgedAfterAnOverdueReply)
{
	struct wp_renewal renewal;

	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	now += 100 * kMs;
	renewal_overdue("w");
	now += kS;
	overdue_reply("w", now, {{7, kJob, 0, 0, 1, WP_END_DONE}});
	commit();
	struct wp_worker *w = wp_find_worker(p, "w");
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_EQ(renewal.acked_end, 0U);
	EXPECT_GT(renewal.deadline_clock_ms, 0);
}

/*
 * A partitioned owner took a lease to have expired that its successor had
 * renewed, and ran the task a second time. Found by kps-dies hunt-15f4-19.
 */
TEST_F(Pool, LeaseDoesNotExpireWhileOwnershipIsUnconfirmed)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}});
	add_worker("v", 1000);
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	p->ownership_unconfirmed = true;
	now += 5 * kS;
	renew_lease("v");
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	p->ownership_unconfirmed = false;
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
}

/* Soak seed 502: a restarted worker carried out a superseded owner's start. */
TEST_F(Pool, OwnerThatResumesStartsNothingBeforeAWorkerHasAnswered)
{
	struct wp_renewal renewal;

	create_pool();
	add_worker("w");
	ASSERT_TRUE(tick(100 * kMs).empty());
	wp_renewal_due(p, wp_find_worker(p, "w"), now, &renewal);
	add(kJob, {{1}});
	p->ownership_unconfirmed = true;
	now += 4 * kS;
	EXPECT_TRUE(tick().empty());
	/* The worker answered before the pause ended. */
	renew_lease("w");
	EXPECT_TRUE(tick(10 * kMs).empty());
	renew_lease("w");
	EXPECT_EQ(tick(200 * kMs).size(), 1U);
}

TEST_F(Pool, WorkerThatRestartedReceivesNoTasksWhileOwnershipIsUnconfirmed)
{
	create_pool();
	add_worker("w");
	p->ownership_unconfirmed = true;
	now += kS;
	renew_lease("w", {}, {}, 2);
	admit_restarted("w", 2);
	add(kJob, {{1}});
	EXPECT_TRUE(tick(200 * kMs).empty());
	p->ownership_unconfirmed = false;
	EXPECT_EQ(tick(200 * kMs).size(), 1U);
}

TEST_F(Pool, OwnerThatResumesResendsNoStartBeforeTheWorkerHasAnswered)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	answer(orders[0], WP_NO_ANSWER);
	p->ownership_unconfirmed = true;
	now += 4 * kS;
	EXPECT_TRUE(tick().empty());
}

TEST_F(Pool, TasksStartWhileOwnershipIsUnconfirmed)
{
	create_pool();
	add_worker("w");
	add_worker("v");
	p->ownership_unconfirmed = true;
	now += kS;
	renew_lease("w");
	add(kJob, {{1}});
	EXPECT_EQ(tick(200 * kMs).size(), 1U);
}

TEST_F(Pool, UnansweredStartIsResentWithTheSameRun)
{
	create_pool();
	add_worker("w", 1000);
	add_worker("v", 1000);
	add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	std::string worker = orders[0]->worker;
	answer(orders[0], WP_NO_ANSWER);
	orders = tick(kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->run, 1U);
	EXPECT_EQ(orders[0]->worker, worker);
	answer(orders[0]);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
}

/* What clears these marks is sent while they last. */
TEST_F(Pool, WorkerThatAnsweredNoOrdersIsUsedAgainAfterItsNextRenewal)
{
	create_pool();
	add_worker("w");
	add(kJob, {{2}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 2U);
	for (struct wp_order *o : orders)
		answer(o, WP_NO_ANSWER);
	add(kOther, {{1}});
	for (int i = 0; i < 5; i++) {
		for (const struct wp_order *o : tick(20 * kMs))
			EXPECT_STREQ(o->ref.job, kJob.c_str());
	}
	struct wp_renewal renewal;
	ASSERT_TRUE(
	    wp_renewal_due(p, wp_find_worker(p, "w"), now + kS, &renewal));
	renew_lease("w");
	run_all();
	EXPECT_EQ(task(kOther, 0, 0)->state, WP_TASK_RUNNING);
}

TEST_F(Pool, WorkerWhoseReplyWasLateIsUsedAgainAfterItsNextRenewal)
{
	create_pool();
	add_worker("w");
	int64_t made_us = now;

	renewal_overdue("w");
	now += 3 * kS;
	overdue_reply("w", made_us, {});
	add(kOther, {{1}});
	EXPECT_TRUE(tick(20 * kMs).empty());
	struct wp_renewal renewal;
	ASSERT_TRUE(
	    wp_renewal_due(p, wp_find_worker(p, "w"), now + kS, &renewal));
	renew_lease("w");
	run_all();
	EXPECT_EQ(task(kOther, 0, 0)->state, WP_TASK_RUNNING);
}

TEST_F(Pool, StartInDoubtKeepsItsResourcesUntilTheWorkerReports)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	auto orders = tick();
	answer(orders[0], WP_NO_ANSWER);
	orders = tick(kMs);
	answer(orders[0], WP_REFUSED_NO_RESOURCES);
	EXPECT_EQ(wp_find_worker(p, "w")->used.cpu_mcpu, 1000);
	/* The first start may still be carried out. */
	now += 100 * kMs;
	renew_lease("w");
	EXPECT_TRUE(tick().empty());
	now += 2 * kS;
	renew_lease("w");
	EXPECT_EQ(tick(200 * kMs).size(), 1U);
}

/* Whatever the second answer is, the first start may have been carried out. */
TEST_F(Pool, NoRefusalOfASecondSendProvesThatTheFirstWasNotCarriedOut)
{
	for (int r = WP_REFUSED_STALE_RUN; r <= WP_NO_ANSWER; r++) {
		SCOPED_TRACE(r);
		create_pool();
		add_worker("w", 1000);
		add_worker("v", 1000);
		add(kJob, {{1}});
		auto orders = tick();
		ASSERT_EQ(orders.size(), 1U);
		std::string first = orders[0]->worker;
		answer(orders[0], WP_NO_ANSWER);
		orders = tick(kMs);
		ASSERT_EQ(orders.size(), 1U);
		now += 100 * kMs;
		answer(orders[0], (enum wp_order_result)r);
		for (const struct wp_order *o : tick(300 * kMs))
			EXPECT_EQ(o->worker, first);
		EXPECT_EQ(task(kJob, 0, 0)->failed_count, 0U);
		/* It was, and its end is all that is left of it. */
		renew_lease(first, {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
		EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_DONE);
		talloc_free(p);
		p = nullptr;
	}
}

TEST_F(Pool, RefusedSecondSendIsGivenUpOnceTheWorkerShowsThatNothingRuns)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	answer(tick()[0], WP_NO_ANSWER);
	answer(tick(kMs)[0], WP_REFUSED_MALFORMED);
	now += 3 * kS;
	renew_lease("w");
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->run, 2U);
}

/* After an outage of the store a worker has more ends than a reply lists. */
TEST_F(Pool, RunWhoseEndHasNoPlaceInTheReplyIsNotStartedAgain)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, full_list(1));
	EXPECT_TRUE(tick(200 * kMs).empty());
	commit();
	now += kS;
	renew_lease("w", {}, {{501, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_TRUE(tick(200 * kMs).empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_DONE);
}

TEST_F(Pool, UnreportedRunIsStartedAgain)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w");
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Pool, RestartedWorkerRunsNoEarlierTasks)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, {}, 2);
	/* The start may still reach the new incarnation: rule it out. */
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	wp_on_order_result(p, orders[0], WP_ACCEPTED, clock_of("w"), now);
	now += 100 * kMs;
	admit_restarted("w", 2);
	EXPECT_EQ(wp_find_worker(p, "w")->used.cpu_mcpu, 0);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Pool, CancelledJobEndsWhenItsLastTaskCompletes)
{
	create_pool();
	add_worker("w", 4000);
	struct wp_job *job = add(kJob, {{2}});
	run_all();
	now += kS;
	wp_cancel_job(p, job, now);
	EXPECT_EQ(run_all().size(), 2U);
	renew_lease(
	    "w", {{kJob, 0, 1, 1, 0}}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	now += 100 * kMs;
	renew_lease("w", {}, {{2, kJob, 0, 1, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_CANCELLED);
}

/*
 * A new incarnation numbers its run ends anew, so a number of the earlier one
 * could acknowledge ends that were never read.
 */
TEST_F(Pool, NoRunEndIsAcknowledgedAfterALostRenewal)
{
	struct wp_renewal renewal;

	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});
	commit();
	struct wp_worker *w = wp_find_worker(p, "w");
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_EQ(renewal.acked_end, 7U);
	wp_on_renewal_failed(p, w, WP_NO_ANSWER, now);
	now += kS;
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_EQ(renewal.acked_end, 0U);
}

/*
 * A renewal that waits at the worker may wait at its next incarnation, and drop
 * run ends there that were never read (soak seed 309: tasks ran again).
 */
TEST_F(Pool, RenewalThatWaitsAcknowledgesNothing)
{
	struct wp_renewal renewal;

	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});
	commit();
	struct wp_worker *w = wp_find_worker(p, "w");
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_EQ(renewal.acked_end, 7U);
	EXPECT_EQ(renewal.wait_ms, 0U);
	renew_lease("w");
	now += 200 * kMs;
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_GT(renewal.wait_ms, 0U);
	EXPECT_EQ(renewal.acked_end, 0U);
}

/* The worker may have been restarted while the owner was paused. */
TEST_F(Pool, NoRunEndIsAcknowledgedLongAfterTheLastReply)
{
	struct wp_renewal renewal;

	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});
	commit();
	now += 2 * kS;
	struct wp_worker *w = wp_find_worker(p, "w");
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_EQ(renewal.acked_end, 0U);
	EXPECT_EQ(renewal.wait_ms, 0U);
	renew_lease("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});
	now += 200 * kMs;
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	EXPECT_EQ(renewal.acked_end, 7U);
}

/* The new incarnation carried out a start before its first reply arrived. */
TEST_F(Pool, RunStartedByANewIncarnationEndsBeforeTheNextStarts)
{
	create_pool();
	add_worker("w", 1000);
	add_worker("v", 1000);
	add(kJob, {{1}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	std::string at = orders[0]->worker;
	now += kS;
	renew_lease(at, {{kJob, 0, 0, 1, 0}}, {}, 2);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_EQ(orders[0]->worker, at);
	wp_on_order_result(p, orders[0], WP_ACCEPTED, clock_of(at), now);
	now += 100 * kMs;
	renew_lease(at, {{kJob, 0, 0, 1, 0}}, {}, 2);
	EXPECT_TRUE(tick(200 * kMs).empty());
	renew_lease(at, {}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}}, 2);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
}

TEST_F(Pool, OrphanedRunIsStoppedAndKeepsItsResources)
{
	create_pool();
	add_worker("w", 1000);
	now += kS;
	renew_lease("w", {{kOther, 0, 0, 1, 0}});
	add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	now += kS;
	renew_lease("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, LongRunningTaskIsRestartedHoweverItEnds)
{
	create_pool();
	add_worker("w", 1000);
	struct wp_job *job = add(kJob, {{1, 1000, JB_LONG_RUNNING}});
	run_all();
	enum wp_run_outcome outcomes[] = {
	    WP_END_DONE, WP_END_FAILED, WP_END_LEASE_EXPIRED, WP_END_FAILED};

	for (uint32_t i = 0; i < 4; i++) {
		now += 5 * kS;
		renew_lease("w", {}, {{i + 1, kJob, 0, 0, i + 1, outcomes[i]}});
		EXPECT_EQ(run_all(5 * kS).size(), 1U) << i;
	}
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
}

TEST_F(Pool, StartsWaitForTicketsAndCarryThem)
{
	create_pool();
	add_worker("w");
	add_worker("v");
	add(kJob, {{1}}, nullptr, true, 2000);
	EXPECT_TRUE(tick().empty());
	struct wp_advice_request request;
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	EXPECT_EQ(request.worker_count, 2U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &request));
	struct wp_approval approval = {"v", "ticket-1"};
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_STREQ(orders[0]->ticket, "ticket-1");
}

TEST_F(Pool, ExpiredTicketsAreRequestedAgainForApprovedWorkers)
{
	create_pool();
	add_worker("w");
	add_worker("v");
	add(kJob, {{1}}, nullptr, true, 2000);
	struct wp_advice_request request;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	struct wp_approval approval = {"v", "ticket-1"};
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	now += 3 * kS;
	renew_lease("w");
	renew_lease("v");
	EXPECT_TRUE(tick().empty());
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	ASSERT_EQ(request.worker_count, 1U);
	EXPECT_STREQ(request.worker[0], "v");
}

TEST_F(Pool, UnansweredAdviceRequestIsRepeated)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}}, nullptr, true, 2000);
	struct wp_advice_request request;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	wp_on_advice(p, &request, false, nullptr, 0, now, now);
	EXPECT_FALSE(wp_next_advice_request(p, now, &request));
	now += kS;
	EXPECT_TRUE(wp_next_advice_request(p, now, &request));
}

TEST_F(Pool, OpportunisticTasksAreThrottledBesideATaskThatMissesItsTarget)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1, 1000, JB_LONG_RUNNING, {}, 0, 100}});
	add(kOther, {{1, 1000, JB_OPPORTUNISTIC}});
	ASSERT_EQ(run_all().size(), 2U);
	now += kS;
	renew_lease("w", {{kJob, 0, 0, 1, 150}, {kOther, 0, 0, 1, 900}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_PACE);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
	EXPECT_LE(orders[0]->percent, 25U);
	uint32_t low = orders[0]->percent;
	now += kS;
	renew_lease("w", {{kJob, 0, 0, 1, 40}, {kOther, 0, 0, 1, 100}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_GT(orders[0]->percent, low);
}

/* HARM: a filler goes on at full pace, as the order that slows it was lost. */
TEST_F(Pool, PaceIsRepeatedUntilTheWorkerAcceptsIt)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1, 1000, JB_LONG_RUNNING, {}, 0, 100}});
	add(kOther, {{1, 1000, JB_OPPORTUNISTIC}});
	ASSERT_EQ(run_all().size(), 2U);
	uint32_t percent = 100;
	for (int i = 0; i < 6; i++) {
		now += 400 * kMs;
		renew_lease("w", {{kJob, 0, 0, 1, 200}, {kOther, 0, 0, 1, 10}});
		std::vector<struct wp_order *> orders = tick();
		ASSERT_EQ(orders.size(), 1U) << i;
		percent = orders[0]->percent;
		answer(orders[0], i < 5 ? WP_NO_ANSWER : WP_ACCEPTED);
	}
	EXPECT_EQ(percent, 0U);
	now += 400 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 200}, {kOther, 0, 0, 1, 10}});
	EXPECT_TRUE(tick().empty());
}

/* An earlier owner may have slowed it down. */
TEST_F(Pool, NewOwnerTellsTheFillersThatItTakesOverTheirPace)
{
	create_pool(1, kStart + 14 * kS);
	add(kOther, {{1, 1000, JB_OPPORTUNISTIC}}, nullptr, false);
	list_worker("w");
	renew_lease("w", {{kOther, 0, 0, 1, 0}});
	std::vector<struct wp_order *> orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_PACE);
	EXPECT_EQ(orders[0]->percent, 100U);
	answer(orders[0]);
	now += 400 * kMs;
	renew_lease("w", {{kOther, 0, 0, 1, 0}});
	EXPECT_TRUE(tick().empty());
}

TEST_F(Pool, CancelledJobEndsOnceItsTasksAreStopped)
{
	create_pool();
	add_worker("w");
	struct wp_job *job = add(kJob, {{2, 1000}, {1, 1000, 0, {0}}});
	run_all();
	wp_cancel_job(p, job, now);
	EXPECT_EQ(tick().size(), 2U);
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
	now += kS;
	renew_lease("w", {},
	    {{1, kJob, 0, 0, 1, WP_END_STOPPED},
		{2, kJob, 0, 1, 1, WP_END_STOPPED}});
	EXPECT_EQ(wp_public_state(job), JB_CANCELLED);
	EXPECT_TRUE(tick(kS).empty());
}

TEST_F(Pool, UrgentTaskPreemptsAsFewCheckpointedTasksAsNeeded)
{
	create_pool();
	add_worker("w", 4000);
	struct jb_spec *slow = spec(kJob, {{4, 1000, JB_CHECKPOINTS}});
	slow->policy.priority = 2;
	wp_add_job(p, slow, nullptr, true, 0, now);
	ASSERT_EQ(run_all().size(), 4U);
	now += kS;
	renew_lease("w",
	    {{kJob, 0, 0, 1, 0}, {kJob, 0, 1, 1, 0}, {kJob, 0, 2, 1, 0},
		{kJob, 0, 3, 1, 0}});
	add(kOther, {{1, 2000}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_EQ(orders[1]->kind, WP_ORDER_STOP);
	/* No further tasks are preempted while these are being stopped. */
	EXPECT_TRUE(run_all(100 * kMs).empty());
	now += 200 * kMs;
	renew_lease("w", {{kJob, 0, 2, 1, 0}, {kJob, 0, 3, 1, 0}},
	    {{1, kJob, 0, 0, 1, WP_END_STOPPED},
		{2, kJob, 0, 1, 1, WP_END_STOPPED}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
}

TEST_F(Pool, TasksWithoutCheckpointsOrLongRunningAreNotPreempted)
{
	create_pool();
	add_worker("w", 2000);
	struct jb_spec *slow = spec(
	    kJob, {{1, 1000}, {1, 1000, JB_CHECKPOINTS | JB_LONG_RUNNING}});
	slow->policy.priority = 2;
	wp_add_job(p, slow, nullptr, true, 0, now);
	ASSERT_EQ(run_all().size(), 2U);
	now += kS;
	renew_lease("w", {{kJob, 0, 0, 1, 0}, {kJob, 1, 0, 1, 0}});
	add(kOther, {{1, 2000}});
	EXPECT_TRUE(run_all().empty());
}

TEST_F(Pool, CheckpointedAndLongRunningTasksLeaveADrainingWorker)
{
	create_pool();
	add_worker("w", 3000);
	add(kJob,
	    {{1, 1000}, {1, 1000, JB_CHECKPOINTS}, {1, 1000, JB_LONG_RUNNING}});
	ASSERT_EQ(run_all().size(), 3U);
	add_worker("v", 3000);
	list_worker("w", 3000, true);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_EQ(orders[0]->ref.step, 1U);
	EXPECT_EQ(orders[1]->ref.step, 2U);
	now += 200 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0}},
	    {{1, kJob, 1, 0, 1, WP_END_STOPPED},
		{2, kJob, 2, 0, 1, WP_END_STOPPED}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_STREQ(orders[1]->worker, "v");
}

TEST_F(Pool, StalledTaskIsMoved)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	add_worker("v", 1000);
	now += kS;
	renew_lease("w", {{kJob, 0, 0, 1, 0, 40}});
	EXPECT_TRUE(tick(kS).empty());
	/* It makes progress, however slowly. */
	renew_lease("w", {{kJob, 0, 0, 1, 0, 41}});
	EXPECT_TRUE(tick(kS).empty());
	renew_lease("w", {{kJob, 0, 0, 1, 0, 41}});
	EXPECT_TRUE(tick(kS).empty());
	renew_lease("w", {{kJob, 0, 0, 1, 0, 41}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	now += 100 * kMs;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
}

/* One percent of a task of ten minutes takes six seconds. */
TEST_F(Pool, LongTaskIsNotTakenForStalled)
{
	create_pool();
	add_worker("w", 1000);
	struct jb_spec *s = spec(kJob, {{1}});
	s->step[0].estimate_ms = 600000;
	wp_add_job(p, s, nullptr, true, 0, now);
	run_all();
	for (uint32_t second = 1; second < 40; second++) {
		now += kS;
		renew_lease("w", {{kJob, 0, 0, 1, 0, second / 6}});
		EXPECT_TRUE(tick().empty()) << second;
	}
}

/* While a worker is silent, the progress of its tasks is not known. */
TEST_F(Pool, TaskOnASilentWorkerIsNotTakenForStalled)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0, 40}});
	EXPECT_TRUE(tick(2500 * kMs).empty());
}

TEST_F(Pool, OccurrencesStartWhenTheyAreDue)
{
	create_pool();
	add_worker("w");
	struct jb_spec *s = spec(kJob, {{1}});
	s->repeat_count = 2;
	s->first_due_ms = (now + 2 * kS) / kMs;
	s->interval_ms = 3000;
	struct wp_job *job = wp_add_job(p, s, nullptr, true, 0, now);

	EXPECT_TRUE(tick(kS).empty());
	renew_lease("w");
	EXPECT_TRUE(tick(900 * kMs).empty());
	auto orders = run_all(100 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.occurrence, 0U);
	now += kS;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
	EXPECT_TRUE(tick().empty());
	now += 2 * kS;
	renew_lease("w");
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.occurrence, 1U);
}

TEST_F(Pool, LabelsAndLimitsPerWorkerAreRespected)
{
	create_pool();
	add_worker("w");
	add_worker("v");
	struct jb_spec *s = spec(kJob, {{3, 100}});
	s->step[0].max_per_worker = 1;
	wp_add_job(p, s, nullptr, true, 0, now);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_STRNE(orders[0]->worker, orders[1]->worker);

	struct jb_spec *labelled = spec(kOther, {{1, 100}});
	labelled->step[0].label = talloc_strdup(labelled, "other-kind");
	wp_add_job(p, labelled, nullptr, true, 0, now);
	EXPECT_TRUE(run_all().empty());
	struct wp_worker_info info = {"u", "127.0.0.1:1", "a", "other-kind",
	    "rack", {4000, 1000, 0}, false, 0};
	wp_set_worker(p, &info, now);
	renew_lease("u");
	commit();
	orders = run_all();
	/* The third task of the first job may go there, too. */
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_STREQ(orders[0]->worker, "u");
	EXPECT_STREQ(orders[1]->worker, "u");
}

TEST_F(Pool, TasksGoToTheRackOfTheirData)
{
	create_pool();
	add_worker("w");
	struct wp_worker_info info = {"u", "127.0.0.1:1", "a", "kind",
	    "data-rack", {64000, 1000, 0}, false, 0};
	wp_set_worker(p, &info, now);
	renew_lease("u");
	commit();
	struct jb_spec *s = spec(kJob, {{1, 100}});
	s->step[0].rack = talloc_strdup(s, "data-rack");
	wp_add_job(p, s, nullptr, true, 0, now);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "u");
}

TEST_F(Pool, AcceleratorsArePackedSoThatWholeWorkersStayFree)
{
	create_pool();
	for (const char *id : {"w", "v"}) {
		list_worker(id, 64000, false, 8);
		renew_lease(id);
	}
	commit();
	Step one;
	one.count = 3;
	one.gpu = 1;
	add(kJob, {one});
	ASSERT_EQ(run_all().size(), 3U);
	Step whole;
	whole.gpu = 8;
	add(kOther, {whole});
	EXPECT_EQ(run_all().size(), 1U);
}

TEST_F(Pool, NextRunReceivesTheCheckpoint)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1, 1000, JB_CHECKPOINTS}});
	run_all();
	now += kS;
	struct wp_worker *w = wp_find_worker(p, "w");
	struct wp_run_end end = {};
	fill_ref(&end.ref, kJob, 0, 0);
	end.number = 1;
	end.run = 1;
	end.outcome = WP_END_STOPPED;
	end.checkpoint = "saved-7";
	struct wp_renewal_reply reply = {};
	reply.incarnation_ms = 1;
	reply.clock_ms = now / kMs;
	reply.end = &end;
	reply.end_count = 1;
	wp_on_renewal(p, w, &reply, now);
	auto orders = run_all(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->checkpoint, "saved-7");
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Pool, SupersededOwnerSendsNoMoreOrders)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	auto orders = tick();
	answer(orders[0], WP_REFUSED_STALE_TOKEN);
	EXPECT_TRUE(p->superseded);
	add(kOther, {{1}});
	EXPECT_TRUE(tick(kS).empty());
	struct wp_renewal renewal;
	EXPECT_FALSE(
	    wp_renewal_due(p, wp_find_worker(p, "w"), now + 10 * kS, &renewal));
}

TEST_F(Pool, WorkerOnWhichTwoJobsFailIsQuarantined)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	add(kOther, {{1}});
	ASSERT_EQ(run_all(200 * kMs).size(), 1U);
	now += kS;
	renew_lease("w", {}, {{2, kOther, 0, 0, 1, WP_END_FAILED}});
	EXPECT_TRUE(tick(200 * kMs).empty());
	EXPECT_FALSE(tick(5 * kS).empty());
}

/* A step whose task may run in several copies; its worker is unreachable. */
class Copies : public Pool
{
      protected:
	void
	lose_worker()
	{
		create_pool();
		add_worker("w", 1000);
		add(kJob, {{1, 1000, JB_SPECULATIVE}});
		ASSERT_EQ(run_all().size(), 1U);
		now += 100 * kMs;
		renew_lease("w", {{kJob, 0, 0, 1, 0, 10}});
		wp_on_renewal_failed(
		    p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
		add_worker("v", 1000);
	}
};

TEST_F(Copies, StartWhileAWorkerIsUnreachable)
{
	lose_worker();
	EXPECT_EQ(run_all(200 * kMs).size(), 0U);
	auto orders = run_all(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Copies, FirstToCompleteCounts)
{
	lose_worker();
	run_all(400 * kMs);
	ASSERT_EQ(task(kJob, 0, 0)->run, 2U);
	/* The first run goes on beside its copy. */
	renew_lease("w", {{kJob, 0, 0, 1, 0, 60}});
	EXPECT_EQ(run_all().size(), 0U);
	now += 100 * kMs;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(wp_find_job(p, kJob.c_str())), JB_COMPLETED);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_STREQ(orders[0]->worker, "v");
	/* Its resources are released once it is no longer reported. */
	EXPECT_EQ(wp_find_worker(p, "v")->used.cpu_mcpu, 1000);
	now += 2 * kS;
	renew_lease("v", {}, {{1, kJob, 0, 0, 2, WP_END_STOPPED}});
	EXPECT_EQ(wp_find_worker(p, "v")->used.cpu_mcpu, 0);
}

TEST_F(Copies, CopyOfAForgottenJobCountsUntilItsWorkerNoLongerListsIt)
{
	lose_worker();
	run_all(400 * kMs);
	ASSERT_STREQ(task(kJob, 0, 0)->worker->id, "v");
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	list_worker("w", 1000, true);
	wp_forget_job(p, wp_find_job(p, kJob.c_str()), now);
	add(kOther, {{1, 1000}});
	for (const struct wp_order *o : tick())
		EXPECT_NE(o->kind, WP_ORDER_START);
	renew_lease("v", {{kJob, 0, 0, 2, 0}});
	for (const struct wp_order *o : tick(200 * kMs))
		EXPECT_EQ(o->kind, WP_ORDER_STOP);
	renew_lease("v", {}, {{1, kJob, 0, 0, 2, WP_END_STOPPED}});
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
}

TEST_F(Copies, RunReportedBeforeItsCopyStartsIsAdopted)
{
	lose_worker();
	list_worker("v", 1000, true);
	run_all(400 * kMs);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	renew_lease("w", {{kJob, 0, 0, 1, 0, 60}});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_EQ(run_all().size(), 0U);
}

/* Its worker may hold one task of the step, and has room for more. */
TEST_F(Copies, EarlierRunCountsTowardsTheLimitPerWorker)
{
	create_pool();
	add_worker("w", 3000);
	struct jb_spec *spec = this->spec(kJob, {{1, 1000, JB_SPECULATIVE}});
	spec->step[0].max_per_worker = 1;
	wp_add_job(p, spec, nullptr, true, 0, now);
	ASSERT_EQ(run_all().size(), 1U);
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0, 10}});
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	add_worker("v", 1000);
	ASSERT_EQ(run_all(400 * kMs).size(), 1U);
	renew_lease("v", {{kJob, 0, 0, 2, 0, 10}});
	renew_lease("w", {{kJob, 0, 0, 1, 0, 60}});
	wp_on_renewal_failed(p, wp_find_worker(p, "v"), WP_NO_ANSWER, now);
	for (const struct wp_order *o : run_all(400 * kMs))
		EXPECT_NE(o->kind, WP_ORDER_START) << o->worker;
	now += 100 * kMs;
	renew_lease("w");
	auto orders = run_all(100 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->run, 3U);
	EXPECT_STREQ(orders[0]->worker, "w");
}

TEST_F(Copies, TasksWithoutCopiesWaitForTheLease)
{
	create_pool();
	add_worker("w", 1000);
	add(kJob, {{1}});
	ASSERT_EQ(run_all().size(), 1U);
	now += 100 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0, 10}});
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	add_worker("v", 1000);
	EXPECT_EQ(run_all(kS).size(), 0U);
}

TEST_F(Copies, NextOwnerDoesNotWaitForSilentWorkers)
{
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 1;
	create_pool(1, kStart + 13 * kS);
	wp_add_registered_worker(p, "silent", "127.0.0.1:1", now);
	add_worker("v", 2000);
	add(kJob, {{1, 1000, JB_SPECULATIVE}}, &progress, false);
	add(kOther, {{1}}, &progress, false);
	EXPECT_EQ(run_all().size(), 0U);
	auto orders = run_all(500 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(std::string(orders[0]->ref.job), kJob);
	EXPECT_GT(orders[0]->run, 1U);
}

/* Each worker named delays the answers to all waiting requests. */
TEST_F(Pool, AdviceRequestNamesNoMoreWorkersThanNeeded)
{
	struct wp_advice_request request;

	create_pool();
	for (int i = 0; i < 60; i++)
		add_worker("w" + std::to_string(i), 4000);
	struct jb_spec *s = spec(kJob, {{2}}, 2000);
	s->policy.advice_decide_us = 60000;
	s->policy.advice_period_us = 1000;
	wp_add_job(p, s, nullptr, true, 0, now);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	EXPECT_LT(request.worker_count, 10U);
	EXPECT_GE(request.worker_count, 2U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &request));
}

TEST_F(Pool, FullWorkersAreNamedWhenNoTaskFits)
{
	struct wp_advice_request request;

	create_pool();
	add_worker("w", 1000);
	add(kOther, {{1}});
	ASSERT_EQ(run_all().size(), 1U);
	add(kJob, {{1}}, nullptr, true, 2000);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	EXPECT_EQ(request.worker_count, 1U);
}

TEST_F(Pool, AdviceIsPrefetchedBeforeAStepIsReady)
{
	struct wp_advice_request request;
	struct wp_approval approval = {"w", "ticket"};

	create_pool();
	add_worker("w");
	add(kJob, {{1}, {1, 1000, 0, {0}}}, nullptr, true, 2000);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	ASSERT_EQ(run_all().size(), 1U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &request));
	/* Half done after a second: too early. */
	now += kS;
	renew_lease("w", {{kJob, 0, 0, 1, 0, 50}});
	run_all();
	EXPECT_FALSE(wp_next_advice_request(p, now, &request));
	now += 900 * kMs;
	renew_lease("w", {{kJob, 0, 0, 1, 0, 95}});
	run_all();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	EXPECT_EQ(request.step, 1U);
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	EXPECT_EQ(run_all().size(), 0U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &request));
	now += 100 * kMs;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(run_all().size(), 1U);
}

/*
 * One of several long-running tasks fails, of which each worker may run one.
 * Tickets for workers that run another of them are of no use to it.
 */
TEST_F(Pool, FailedTaskNamesOnlyWorkersBelowTheStepsLimit)
{
	struct wp_advice_request request;
	struct wp_approval approvals[] = {{"w0", "t0"}, {"w1", "t1"}};

	create_pool();
	add_worker("w0");
	add_worker("w1");
	struct jb_spec *s = spec(kJob, {{2, 1000, JB_LONG_RUNNING}}, 2000);
	s->step[0].max_per_worker = 1;
	wp_add_job(p, s, nullptr, true, 0, now);
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	wp_on_advice(p, &request, true, approvals, 2, now, now);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	uint32_t on_w0 = std::string(orders[0]->worker) == "w0"
	    ? orders[0]->ref.index
	    : orders[1]->ref.index;
	add_worker("x");
	renew_lease("w0", {}, {{1, kJob, 0, on_w0, 1, WP_END_FAILED}});
	renew_lease("w1", {{kJob, 0, 1 - on_w0, 1, 0, 100}});
	now += 500 * kMs;
	EXPECT_TRUE(tick().empty());
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	ASSERT_EQ(request.worker_count, 1U);
	EXPECT_STREQ(request.worker[0], "x");
}

/* A step with more tasks than fit on the workers that one request names. */
TEST_F(Pool, WideStepSendsSeveralAdviceRequestsAtOnce)
{
	std::set<std::string> named;
	struct wp_advice_request request;
	int requests = 0;

	create_pool();
	for (int i = 0; i < 200; i++)
		add_worker("w" + std::to_string(i), 1000);
	struct jb_spec *s = spec(kJob, {{60}}, 2000);
	s->policy.advice_decide_us = 500000;
	s->policy.advice_period_us = 10000;
	wp_add_job(p, s, nullptr, true, 0, now);
	tick();
	while (wp_next_advice_request(p, now, &request)) {
		requests++;
		for (uint32_t i = 0; i < request.worker_count; i++)
			EXPECT_TRUE(named.insert(request.worker[i]).second);
		now += 50 * kMs;
		ASSERT_LT(requests, 20);
	}
	EXPECT_GT(requests, 2);
	EXPECT_GE(named.size(), 150U);
	/* One is not answered: its workers may be named again. */
	wp_on_advice(p, &request, false, nullptr, 0, now, now);
	now += kS;
	EXPECT_TRUE(wp_next_advice_request(p, now, &request));
}

/*
 * Far more steps wait than there are resources. Advice requests for steps that
 * get none would delay those for steps that do.
 */
TEST_F(Pool, StepsBeyondTheExpectedResourcesRequestNoAdvice)
{
	struct wp_advice_request request;
	int requests = 0;

	create_pool();
	for (int i = 0; i < 4; i++)
		add_worker("w" + std::to_string(i), 8000);
	for (int n = 0; n < 50; n++)
		add(job_id(n), {{4, 1000}}, nullptr, true, 2000);
	tick();
	while (wp_next_advice_request(p, now, &request))
		requests++;
	/* 32 cores, and an eighth more expected, for jobs of four each. */
	EXPECT_GE(requests, 8);
	EXPECT_LE(requests, 10);
}

/* The first step takes all cores, but only once advice on it is answered. */
class AdviceFarOff : public Pool
{
      protected:
	void
	SetUp() override
	{
		create_pool();
		add_worker("w", 8000);
		add_step(kJob, 16, 0, 3000 * kMs, 4000);
		tick();
		ASSERT_TRUE(wp_next_advice_request(p, now, &request));
		ASSERT_STREQ(request.job, kJob.c_str());
	}

	void
	add_step(const std::string &id, uint32_t tasks, uint32_t priority,
	    uint32_t decide_us, int64_t estimate_ms)
	{
		struct jb_spec *s = spec(id, {{tasks, 1000}}, 2000);

		s->policy.priority = priority;
		s->policy.advice_decide_us = decide_us;
		s->step[0].estimate_ms = estimate_ms;
		wp_add_job(p, s, nullptr, true, 0, now);
	}

	/* Whether a step that is added now requests advice. */
	bool
	is_requested(const std::string &id, int64_t estimate_ms)
	{
		bool found = false;

		add_step(id, 2, 1, 10 * kMs, estimate_ms);
		tick();
		while (wp_next_advice_request(p, now, &request))
			found |= id == request.job;
		return found;
	}

	struct wp_advice_request request;
};

TEST_F(AdviceFarOff, StepThatEndsBeforeTheAnswerIsNotHeldBack)
{
	EXPECT_TRUE(is_requested(kOther, 800));
}

TEST_F(AdviceFarOff, StepThatWouldStillRunAtTheAnswerWaitsItsTurn)
{
	EXPECT_FALSE(is_requested(kOther, 4000));
}

TEST_F(Pool, LongRunningTasksRequestAdviceInAFullPool)
{
	struct wp_advice_request request;

	create_pool();
	add_worker("w", 4000);
	add_worker("v", 4000);
	for (int n = 0; n < 20; n++)
		add(job_id(n), {{4, 1000}}, nullptr, true, 2000);
	add(kJob, {{1, 1000, JB_LONG_RUNNING}}, nullptr, true, 2000);
	tick();
	bool asked = false;
	while (wp_next_advice_request(p, now, &request))
		asked |= kJob == request.job;
	EXPECT_TRUE(asked);
}

TEST_F(Pool, AdviceRequestsNameMoreWorkersWhenFewAreApproved)
{
	struct wp_advice_request request;
	uint32_t first = 0;

	create_pool();
	for (int i = 0; i < 200; i++)
		add_worker("w" + std::to_string(i), 1000);
	for (int n = 0; n < 40; n++) {
		struct jb_spec *s = spec(job_id(n), {{4, 1000}}, 2000);
		struct wp_approval approval;
		s->policy.advice_decide_us = 100000;
		s->policy.advice_period_us = 1000;
		struct wp_job *job = wp_add_job(p, s, nullptr, true, 0, now);
		tick();
		ASSERT_TRUE(wp_next_advice_request(p, now, &request));
		if (n == 0)
			first = request.worker_count;
		/* Hardly any worker is approved. */
		approval = {request.worker[0], "t"};
		wp_on_advice(p, &request, true, &approval, n % 2, now, now);
		wp_cancel_job(p, job, now);
		run_all();
	}
	EXPECT_GT(request.worker_count, 2 * first);
}

/*
 * Under lasting overload, steps that can't be on time any more must not make
 * the others late as well.
 */
TEST_F(Pool, LateStepsGoAfterStepsThatCanBeOnTime)
{
	create_pool();
	struct jb_spec *late = spec(kJob, {{1, 4000}});
	struct jb_spec *on_time = spec(kOther, {{1, 4000}});
	late->step[0].estimate_ms = 1000;
	on_time->step[0].estimate_ms = 1000;
	wp_add_job(p, late, nullptr, true, 0, now);
	now += 3 * kS;
	on_time->accepted_wall_ms = now / kMs;
	wp_add_job(p, on_time, nullptr, true, 0, now);
	add_worker("w", 4000);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
}

TEST_F(Pool, TooLateStepsGoAfterLessUrgentSteps)
{
	create_pool();
	struct jb_spec *too_late = spec(kJob, {{1, 4000}});
	struct jb_spec *other = spec(kOther, {{1, 4000}});
	too_late->step[0].estimate_ms = 1000;
	other->step[0].estimate_ms = 1000;
	other->policy.priority = 2;
	wp_add_job(p, too_late, nullptr, true, 0, now);
	now += 20 * kS;
	other->accepted_wall_ms = now / kMs;
	wp_add_job(p, other, nullptr, true, 0, now);
	add_worker("w", 4000);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
	/* It still runs once resources are free. */
	now += kS;
	renew_lease("w", {}, {{1, kOther, 0, 0, 1, WP_END_DONE}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kJob.c_str());
}

/* Some workers became slow without reporting a fault. */
TEST_F(Pool, TaskOnASlowWorkerIsMoved)
{
	create_pool();
	add_worker("w", 3000);
	add_worker("slow", 1000);
	add(kJob, {{4, 1000}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 4U);
	std::vector<End> ends;
	uint32_t slow_task = 0;
	for (const struct wp_order *o : orders) {
		if (std::string(o->worker) == "slow")
			slow_task = o->ref.index;
		else
			ends.push_back({ends.size() + 1, kJob, 0, o->ref.index,
			    1, WP_END_DONE});
	}
	ASSERT_EQ(ends.size(), 3U);
	now += kS;
	renew_lease("w", {}, ends);
	renew_lease("slow", {{kJob, 0, slow_task, 1, 0, 20}});
	EXPECT_TRUE(tick().empty());
	now += 600 * kMs;
	renew_lease("slow", {{kJob, 0, slow_task, 1, 0, 30}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_STREQ(orders[0]->worker, "slow");
}

TEST_F(Pool, NearlyDoneTaskIsNotMoved)
{
	create_pool();
	add_worker("w", 4000);
	add(kJob, {{4, 1000}});
	ASSERT_EQ(run_all().size(), 4U);
	now += kS;
	renew_lease("w", {{kJob, 0, 3, 1, 0, 40}},
	    {{1, kJob, 0, 0, 1, WP_END_DONE}, {2, kJob, 0, 1, 1, WP_END_DONE},
		{3, kJob, 0, 2, 1, WP_END_DONE}});
	now += 600 * kMs;
	renew_lease("w", {{kJob, 0, 3, 1, 0, 60}});
	EXPECT_TRUE(tick().empty());
}

TEST_F(Pool, ResultOfAStartSaysWhetherTheRunIsKept)
{
	create_pool();
	add_worker("w-1");
	add(kJob, {{1, 1000}});
	std::vector<struct wp_order *> start = tick();

	ASSERT_EQ(start.size(), 1U);
	EXPECT_EQ(start[0]->sends, 1U);
	EXPECT_TRUE(
	    wp_on_order_result(p, start[0], WP_NO_ANSWER, now / kMs, now));
	start = tick(500 * kMs);
	ASSERT_EQ(start.size(), 1U);
	EXPECT_EQ(start[0]->sends, 2U);
	EXPECT_TRUE(wp_on_order_result(
	    p, start[0], WP_REFUSED_NO_RESOURCES, now / kMs, now));
}

TEST_F(Pool, StartThatWasSentOnceAndRefusedIsNotKept)
{
	create_pool();
	add_worker("w-1");
	add(kJob, {{1, 1000}});
	std::vector<struct wp_order *> start = tick();

	ASSERT_EQ(start.size(), 1U);
	EXPECT_FALSE(wp_on_order_result(
	    p, start[0], WP_REFUSED_NO_RESOURCES, now / kMs, now));
}

/* Its start was in flight when it was stopped. */
TEST_F(Pool, StopIsRepeatedUntilAWorkerTakesIt)
{
	create_pool();
	add_worker("w-1");
	struct wp_job *job = add(kJob, {{1, 1000}});
	std::vector<struct wp_order *> start = tick();

	ASSERT_EQ(start.size(), 1U);
	wp_cancel_job(p, job, now);
	std::vector<struct wp_order *> stop = tick();
	ASSERT_EQ(stop.size(), 1U);
	answer(start[0], WP_NO_ANSWER);
	answer(stop[0], WP_REFUSED_UNHEALTHY);
	stop = tick(500 * kMs);
	ASSERT_EQ(stop.size(), 1U);
	EXPECT_EQ(stop[0]->kind, WP_ORDER_STOP);
	answer(stop[0]);
	now += 100 * kMs;
	renew_lease("w-1");
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_CANCELLED);
}

/* A renewal by the clock of its earlier life gives it the longest lease. */
TEST_F(Pool, RestartedWorkerMayHaveTheLongestLease)
{
	create_pool();
	p->max_lease_ms = 10000;
	add_worker("w-1");
	list_worker("w-2");
	renew_lease("w-1", {}, {}, 2);
	commit();
	add(kJob, {{1, 1000}});
	run_all();
	renew_lease("w-1", {{kJob, 0, 0, 1, 0}}, {}, 2);
	wp_on_renewal_failed(
	    p, wp_find_worker(p, "w-1"), WP_NO_ANSWER, now + kMs);
	tick(9 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	tick(2 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
}

/* Its earlier owner renewed it by the clock of its earlier life. */
TEST_F(Pool, WorkerThatRestartedBeforeATakeoverMayHaveTheLongestLease)
{
	create_pool(1, kStart + 3400 * kMs);
	p->max_lease_ms = 10000;
	list_worker("w-1");
	overdue_reply("w-1", 2 * kS, {}, 2);
	commit();
	add(kJob, {{1, 1000}});
	run_all();
	wp_on_renewal_failed(
	    p, wp_find_worker(p, "w-1"), WP_NO_ANSWER, now + kMs);
	tick(9 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	tick(2 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
}

TEST_F(Pool, EarlierOwnersRenewalMayHaveReachedARestartedWorkerLate)
{
	create_pool(1, kStart + 3400 * kMs);
	p->max_lease_ms = 10000;
	list_worker("w-1");
	overdue_reply("w-1", 11 * kS, {}, 2);
	commit();
	add(kJob, {{1, 1000}});
	run_all();
	wp_on_renewal_failed(
	    p, wp_find_worker(p, "w-1"), WP_NO_ANSWER, now + kMs);
	tick(9 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	tick(2 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
}

/* It may have restarted since, and a start reach the next incarnation. */
TEST_F(Pool, WorkerOfWhichOnlyALateReplyIsReadGetsNoTask)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	now += 3 * kS;
	renewal_overdue("w");
	overdue_reply("w", now - 2 * kS, {});
	EXPECT_TRUE(wp_find_worker(p, "w")->reachable);
	EXPECT_TRUE(tick(200 * kMs).empty());
	renew_lease("w");
	EXPECT_EQ(tick(200 * kMs).size(), 1U);
}

/* Starts and renewals that a restarted worker carries out late. */
class LateOrders : public Pool
{
      protected:
	void
	SetUp() override
	{
		create_pool();
		p->max_lease_ms = 10000;
		add_worker("w", 1000);
	}

	/* A start isn't answered; its task is off the worker when it expires. */
	void
	lose_a_start()
	{
		add(kJob, {{1}});
		auto orders = tick();
		ASSERT_EQ(orders.size(), 1U);
		answer(orders[0], WP_NO_ANSWER);
		now += 1600 * kMs;
		renew_lease("w");
		ASSERT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	}

	struct wp_worker *
	worker()
	{
		return wp_find_worker(p, "w");
	}

	int64_t
	free_cpu()
	{
		return wp_free_resources(worker()).cpu_mcpu;
	}
};

TEST_F(LateOrders, StartOfATaskThatHasLeftCountsOnARestartedWorkerUntilStopped)
{
	lose_a_start();
	list_worker("w", 1000, true);
	add_worker("v", 1000);
	ASSERT_EQ(run_all(200 * kMs).size(), 1U);
	ASSERT_STREQ(task(kJob, 0, 0)->worker->id, "v");
	list_worker("w", 1000);
	commit();
	add(kOther, {{1}});
	renew_lease("w", {}, {}, 2);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_STREQ(orders[0]->worker, "w");
	EXPECT_STREQ(orders[0]->ref.job, kJob.c_str());
	EXPECT_EQ(free_cpu(), 0);
	/* It is sent again until it is confirmed. */
	answer(orders[0], WP_NO_ANSWER);
	orders = tick(400 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	answer(orders[0]);
	EXPECT_EQ(free_cpu(), 0);
	now += 100 * kMs;
	renew_lease("w", {}, {}, 2);
	EXPECT_EQ(free_cpu(), 1000);
	admit_restarted("w", 2);
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
}

TEST_F(LateOrders, TaskDoesNotStartElsewhereBeforeARestartedWorkerRulesItOut)
{
	lose_a_start();
	now += 50 * kMs;
	renew_lease("w", {}, {}, 2);
	add_worker("v", 1000);
	auto orders = tick(200 * kMs);
	ASSERT_FALSE(orders.empty());
	for (const struct wp_order *o : orders) {
		EXPECT_EQ(o->kind, WP_ORDER_STOP);
		answer(o);
	}
	now += 100 * kMs;
	renew_lease("w", {}, {}, 2);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
}

TEST_F(LateOrders, StartCountsTowardsTheLimitPerWorkerAfterARestart)
{
	struct jb_spec *s = spec(kJob, {{2, 100}});

	s->step[0].max_per_worker = 1;
	wp_add_job(p, s, nullptr, true, 0, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	answer(orders[0], WP_NO_ANSWER);
	now += 1600 * kMs;
	renew_lease("w");
	renew_lease("w", {}, {}, 2);
	for (const struct wp_order *o : tick(200 * kMs))
		EXPECT_EQ(o->kind, WP_ORDER_STOP);
}

/* A restarted worker is used once it is stored and has accepted a new token. */
TEST_F(LateOrders, StartsThatWereAnsweredDelayNothingAfterARestart)
{
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	renew_lease("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	add(kOther, {{1}});
	renew_lease("w", {}, {}, 2);
	EXPECT_TRUE(tick().empty());
	admit_restarted("w", 2);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
}

TEST_F(LateOrders, StartIsForgottenOnceItIsTooLateForIt)
{
	lose_a_start();
	ASSERT_EQ(run_all(200 * kMs).size(), 1U);
	now += 100 * kMs;
	renew_lease("w", {}, {{1, kJob, 0, 0, 2, WP_END_DONE}});
	now += 13 * kS;
	tick();
	renew_lease("w", {}, {}, 2);
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(free_cpu(), 1000);
}

TEST_F(LateOrders, RenewalByTheClockOfTheEarlierLifeMayComeSecondsAfterARestart)
{
	struct wp_renewal renewal;

	now += kS;
	worker()->renew_at_us = now;
	ASSERT_TRUE(wp_renewal_due(p, worker(), now, &renewal));
	ASSERT_GT(renewal.deadline_clock_ms, 0);
	wp_on_renewal_failed(p, worker(), WP_NO_ANSWER, now);
	now += kS;
	renew_lease("w", {}, {}, 2);
	add(kJob, {{1}});
	run_all();
	renew_lease("w", {{kJob, 0, 0, 1, 0}}, {}, 2);
	wp_on_renewal_failed(p, worker(), WP_NO_ANSWER, now);
	/* It may come 12 s after it was sent, and then lasts for 10 s. */
	tick(20 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	tick(3 * kS);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
}

TEST_F(LateOrders, RunThatIsListedIsTakenOverByItsWaitingTask)
{
	add_worker("v", 1000);
	add(kJob, {{1}});
	task(kJob, 0, 0)->run = 3;
	renew_lease("w", {{kJob, 0, 0, 3, 0}});
	EXPECT_TRUE(tick(200 * kMs).empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_STREQ(task(kJob, 0, 0)->worker->id, "w");
}

TEST_F(LateOrders, EarlierRunThatIsListedEndsBeforeItsTaskStartsAgain)
{
	add_worker("v", 1000);
	add(kJob, {{1}});
	task(kJob, 0, 0)->run = 5;
	renew_lease("w", {{kJob, 0, 0, 3, 0}});
	for (int i = 0; i < 3; i++) {
		for (const struct wp_order *o : tick(100 * kMs)) {
			EXPECT_EQ(o->kind, WP_ORDER_STOP);
			answer(o);
		}
		now += 50 * kMs;
		renew_lease("w", {{kJob, 0, 0, 3, 0}});
	}
	for (const struct wp_order *o : tick(100 * kMs)) {
		EXPECT_EQ(o->kind, WP_ORDER_STOP);
		answer(o);
	}
	now += 50 * kMs;
	renew_lease("w", {}, {{1, kJob, 0, 0, 3, WP_END_STOPPED}});
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
	EXPECT_EQ(orders[0]->run, 6U);
}

TEST_F(LateOrders, TaskIsDoneWhicheverRunOfItHasCompleted)
{
	lose_a_start();
	renew_lease("w", {}, {}, 2);
	for (const struct wp_order *o : tick(200 * kMs))
		answer(o);
	now += 100 * kMs;
	admit_restarted("w", 2);
	ASSERT_EQ(run_all(200 * kMs).size(), 1U);
	ASSERT_EQ(task(kJob, 0, 0)->run, 2U);
	add_worker("v", 1000);
	renew_lease("v", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(wp_find_job(p, kJob.c_str())), JB_COMPLETED);
	/* The newer run is stopped, and counts until it has ended. */
	for (int i = 0; i < 3; i++) {
		auto orders = tick(i == 0 ? 0 : 400 * kMs);
		ASSERT_EQ(orders.size(), 1U);
		EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
		answer(orders[0], WP_NO_ANSWER);
		renew_lease("w", {{kJob, 0, 0, 2, 0}}, {}, 2);
		EXPECT_EQ(free_cpu(), 0);
	}
	renew_lease("w", {}, {{1, kJob, 0, 0, 2, WP_END_STOPPED}}, 2);
	EXPECT_EQ(free_cpu(), 1000);
}

} // namespace
