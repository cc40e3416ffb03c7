#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "state/pool_internal.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;
constexpr int64_t kBegin = 100 * kS;

struct Step {
	uint32_t count = 1;
	uint32_t cpu = 1000;
	uint32_t flags = 0;
	std::vector<uint32_t> after;
	uint32_t gpu = 0;
	uint32_t target_ms = 0;
};

struct End {
	uint64_t number;
	std::string job;
	uint32_t step;
	uint32_t index;
	uint32_t run;
	enum wp_run_outcome how;
};

struct Running {
	std::string job;
	uint32_t step;
	uint32_t index;
	uint32_t run;
	uint32_t figure;
	uint32_t percent = 0;
};

/* Plays the host of a pool and its workers, one call at a time. */
class Pool : public testing::Test
{
      protected:
	void
	begin(uint32_t term = 0, int64_t earlier_until_us = 0)
	{
		struct wp_settings settings = {term, earlier_until_us};

		now = kBegin;
		p = wp_create(nullptr, "pool", &settings);
	}

	void
	TearDown() override
	{
		talloc_free(p);
	}

	struct jb_spec *
	spec(const std::string &id, const std::vector<Step> &steps,
	    uint32_t advice_valid_ms = 0)
	{
		struct jb_spec *s = talloc_zero(nullptr, struct jb_spec);

		snprintf(s->id, sizeof(s->id), "%s", id.c_str());
		s->queue = talloc_strdup(s, "queue");
		s->pool = talloc_strdup(s, "pool");
		s->payload = talloc_strdup(s, "payload");
		s->step = talloc_zero_array(s, struct jb_step, steps.size());
		s->step_count = (uint32_t)steps.size();
		for (size_t i = 0; i < steps.size(); i++) {
			struct jb_step *to = &s->step[i];

			to->count = steps[i].count;
			to->cpu_mcpu = steps[i].cpu;
			to->mem_mb = 1;
			to->gpu = steps[i].gpu;
			to->flags = steps[i].flags;
			to->target_ms = steps[i].target_ms;
			to->after_count = (uint32_t)steps[i].after.size();
			to->after =
			    (uint32_t *)talloc_memdup(s, steps[i].after.data(),
				steps[i].after.size() * sizeof(uint32_t));
		}
		s->policy.max_attempts = 3;
		s->policy.stretch_milli = 2000;
		s->policy.advice_valid_ms = advice_valid_ms;
		return s;
	}

	struct wp_job *
	add(const std::string &id, const std::vector<Step> &steps,
	    const struct jb_progress *progress = nullptr, bool fresh = true,
	    uint32_t advice_valid_ms = 0)
	{
		return wp_add_job(p, spec(id, steps, advice_valid_ms), progress,
		    fresh, 0, now);
	}

	void
	list_worker(const std::string &id, int64_t cpu = 4000,
	    bool draining = false, int64_t gpu = 0)
	{
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    "kind", "rack", {cpu, 1000, gpu}, draining, 0};

		wp_set_worker(p, &info, now);
	}

	/* A renewal that the worker answers with these lists. */
	void
	hold(const std::string &id, const std::vector<Running> &running = {},
	    const std::vector<End> &ends = {}, int64_t born = 1)
	{
		struct wp_worker *w = wp_find_worker(p, id.c_str());
		std::vector<struct wp_running_task> rows;
		std::vector<struct wp_run_end> done;
		struct wp_renewal_reply reply = {};
		struct wp_renewal h;

		ASSERT_NE(w, nullptr);
		w->renew_at_us = now;
		if (!w->renewal_in_flight)
			wp_renewal_due(p, w, now, &h);
		for (const Running &r : running) {
			struct wp_running_task row = {};

			fill(&row.ref, r.job, r.step, r.index);
			row.run = r.run;
			row.load = r.figure;
			row.percent = r.percent;
			rows.push_back(row);
		}
		for (const End &e : ends) {
			struct wp_run_end row = {};

			fill(&row.ref, e.job, e.step, e.index);
			row.number = e.number;
			row.run = e.run;
			row.outcome = e.how;
			done.push_back(row);
		}
		reply.incarnation_ms = born;
		reply.clock_ms = now / kMs;
		reply.running = rows.data();
		reply.running_count = (uint32_t)rows.size();
		reply.end = done.data();
		reply.end_count = (uint32_t)done.size();
		wp_on_renewal(p, w, &reply, now);
	}

	static void
	fill(struct jb_ref *ref, const std::string &job, uint32_t step,
	    uint32_t index)
	{
		snprintf(ref->job, sizeof(ref->job), "%s", job.c_str());
		ref->step = step;
		ref->index = index;
	}

	/* Everything dirty is stored at once. */
	void
	commit()
	{
		struct jb_progress progress;
		struct wp_worker *w;
		struct wp_worker *tmp;

		p->registry_dirty = false;
		while (wp_next_dirty(p, p, now, &progress) != nullptr)
			;
		HASH_ITER(hh, p->workers, w, tmp)
			w->registered = true;
		wp_commit_begin(p);
		wp_commit_end(p, now);
	}

	int64_t
	clock_of(const std::string &id)
	{
		return wp_worker_clock_ms(wp_find_worker(p, id.c_str()), now);
	}

	/* A worker that is listed, fenced and known to later owners. */
	void
	ready_worker(const std::string &id, int64_t cpu = 4000)
	{
		list_worker(id, cpu);
		hold(id);
		commit();
	}

	std::vector<struct wp_order *>
	tick(int64_t after_us = 0)
	{
		std::vector<struct wp_order *> orders;
		struct wp_order *o;

		now += after_us;
		wp_tick(p, now);
		while ((o = wp_next_order(p)) != nullptr)
			orders.push_back(o);
		return orders;
	}

	void
	answer(
	    const struct wp_order *o, enum wp_order_result result = WP_ACCEPTED)
	{
		wp_on_order_result(p, o, result, now / kMs, now);
	}

	/* Starts whatever can start; all starts are confirmed. */
	std::vector<struct wp_order *>
	run_all(int64_t after_us = 0)
	{
		std::vector<struct wp_order *> orders = tick(after_us);

		for (const struct wp_order *o : orders)
			answer(o);
		return orders;
	}

	struct wp_task *
	task(const std::string &job, uint32_t step, uint32_t index)
	{
		struct wp_job *j = wp_find_job(p, job.c_str());

		return &j->occ[0]->step[step].task[index];
	}

	struct wp_pool *p = nullptr;
	int64_t now = 0;
};

const std::string kJob = "00000000000000a1";
const std::string kOther = "00000000000000b2";

std::string
job_id(int n)
{
	char id[JB_ID_BYTES];

	snprintf(id, sizeof(id), "%016x", n);
	return id;
}

TEST_F(Pool, RunsStepsInTheirOrder)
{
	begin();
	ready_worker("w");
	struct wp_job *job = add(kJob, {{1}, {1, 1000, 0, {0}}});

	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.step, 0U);
	EXPECT_EQ(orders[0]->run, 1U);
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);

	now += kS;
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.step, 1U);
	now += kS;
	hold("w", {}, {{2, kJob, 1, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
}

TEST_F(Pool, NothingIsPlacedBeyondAWorkersRoom)
{
	begin();
	ready_worker("w", 4000);
	add(kJob, {{3, 1500}});

	auto orders = run_all();
	EXPECT_EQ(orders.size(), 2U);
	/* What is being stopped still takes room. */
	wp_cancel_job(p, wp_find_job(p, kJob.c_str()), now);
	add(kOther, {{1, 1500}});
	orders = run_all();
	EXPECT_EQ(orders.size(), 2U);
	for (const struct wp_order *o : orders)
		EXPECT_EQ(o->kind, WP_ORDER_STOP);
	now += kS;
	hold("w", {{kJob, 0, 1, 1, 0}}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
}

TEST_F(Pool, EndsAreAcknowledgedOnceTheyAreStored)
{
	begin();
	ready_worker("w");
	add(kJob, {{1}});
	run_all();
	now += kS;
	hold("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});

	struct wp_worker *w = wp_find_worker(p, "w");
	EXPECT_EQ(w->acked_end, 0U);
	/* A commit that was made before the end says nothing about it. */
	wp_commit_end(p, now);
	EXPECT_EQ(w->acked_end, 0U);
	commit();
	EXPECT_EQ(w->acked_end, 7U);
}

/*
 * Load: many jobs go on while one ends. Its end is what its caller waits for,
 * and ends of others must not hold its acknowledgement up.
 */
TEST_F(Pool, EndedJobsAreStoredBeforeOthersAndAcknowledged)
{
	struct jb_progress progress;

	begin();
	ready_worker("w", 80000);
	for (int n = 0; n < 40; n++)
		add(job_id(n), {{2}});
	run_all();
	now += 400 * kMs;
	commit();
	struct wp_worker *w = wp_find_worker(p, "w");
	now += 10 * kMs;
	hold("w", {},
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

TEST_F(Pool, WorkerUnknownToLaterOwnersGetsNoWork)
{
	begin();
	list_worker("w");
	hold("w");
	add(kJob, {{1}});
	EXPECT_TRUE(tick().empty());
	EXPECT_TRUE(p->registry_dirty);
	commit();
	EXPECT_EQ(tick().size(), 1U);
}

/* kps-dies trouble-2: held tasks waited for workers that had left long ago. */
TEST_F(Pool, WorkerThatHasLeftIsTakenOffTheList)
{
	begin();
	ready_worker("w");
	now += kS;
	hold("w");
	wp_unlist_worker(p, "w");
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NOT_SENT, now);
	tick();
	EXPECT_FALSE(p->registry_dirty);
	tick(5 * kS);
	EXPECT_TRUE(p->registry_dirty);
	EXPECT_FALSE(wp_needs_registration(wp_find_worker(p, "w"), now));
}

/* piskdag mix --seed 662680087766: a domain's workers came back after a cut. */
TEST_F(Pool, WorkerThatComesBackIsUsedAgain)
{
	begin();
	ready_worker("w");
	wp_unlist_worker(p, "w");
	tick(5 * kS);
	wp_find_worker(p, "w")->registered = false;
	p->registry_dirty = false;
	list_worker("w");
	EXPECT_TRUE(p->registry_dirty);
	hold("w");
	commit();
	add(kJob, {{1}});
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, GangStartsTogetherOrNotAtAll)
{
	begin();
	ready_worker("w", 2000);
	add(kJob, {{3, 1000, JB_GANG}});
	EXPECT_TRUE(tick().empty());
	ready_worker("v", 2000);
	EXPECT_EQ(run_all().size(), 3U);
}

TEST_F(Pool, GangThatLosesAMemberStartsAnewWithOneRun)
{
	begin();
	ready_worker("w", 2000);
	add(kJob, {{2, 1000, JB_GANG}});
	ASSERT_EQ(run_all().size(), 2U);
	ready_worker("v", 2000);
	now += kS;
	hold("w", {},
	    {{1, kJob, 0, 0, 1, WP_END_FAILED},
		{2, kJob, 0, 1, 1, WP_END_PEER_ENDED}});
	auto orders = run_all(200 * kMs);
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->run, 2U);
	EXPECT_EQ(orders[1]->run, 2U);
	EXPECT_EQ(task(kJob, 0, 0)->step->gang_failed_count, 1U);
}

TEST_F(Pool, GangWhoseMemberWasRefusedIsStopped)
{
	begin();
	ready_worker("w", 1000);
	ready_worker("v", 1000);
	add(kJob, {{2, 1000, JB_GANG}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 2U);
	answer(orders[0]);
	answer(orders[1], WP_REFUSED_NO_RESOURCES);
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
}

TEST_F(Pool, OneDoneMemberSpeaksForItsGang)
{
	begin();
	ready_worker("w", 2000);
	struct wp_job *job = add(kJob, {{2, 1000, JB_GANG}});
	run_all();
	now += kS;
	hold("w", {{kJob, 0, 1, 1, 0}}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
	/* The other member's room is free once its end is listed. */
	EXPECT_EQ(wp_find_worker(p, "w")->used.cpu_mcpu, 1000);
}

/* kps-dies trouble-1: a new owner heard the end of run 1 before run 2. */
TEST_F(Pool, EndOfAHeldTaskSaysNothingOfLaterRuns)
{
	begin(1, kBegin + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	list_worker("w");
	list_worker("v");
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	commit();
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_UNRECONCILED);
	EXPECT_EQ(task(kJob, 0, 0)->failed_count, 1U);
	hold("v", {{kJob, 0, 0, 2, 0}});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_EQ(task(kJob, 0, 0)->run, 2U);
	EXPECT_TRUE(tick().empty());
}

/* kps-dies hunt-1092-3: failures that a new owner hears out of order. */
TEST_F(Pool, FailedRunsCountInAnyOrder)
{
	begin(1, kBegin + 14 * kS);
	struct wp_job *job = add(kJob, {{1}}, nullptr, false);
	list_worker("w");
	list_worker("v");
	hold("w", {}, {{1, kJob, 0, 0, 3, WP_END_FAILED}});
	hold("v", {},
	    {{1, kJob, 0, 0, 1, WP_END_FAILED},
		{2, kJob, 0, 0, 2, WP_END_FAILED}});
	commit();
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(wp_public_state(job), JB_FAILED);
}

/* piskdag hunt-c0cd-3: run 3 was adopted before runs 1 and 2 were heard of. */
TEST_F(Pool, FailuresOfEarlierRunsCountBesideAnAdoptedOne)
{
	begin(1, kBegin + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	list_worker("w");
	list_worker("v");
	hold("w", {{kJob, 0, 0, 3, 0}});
	hold("v", {},
	    {{1, kJob, 0, 0, 1, WP_END_FAILED},
		{2, kJob, 0, 0, 2, WP_END_FAILED}});
	EXPECT_EQ(task(kJob, 0, 0)->failed_count, 2U);
	now += kS;
	hold("w", {}, {{1, kJob, 0, 0, 3, WP_END_FAILED}});
	commit();
	EXPECT_TRUE(tick(kS).empty());
	EXPECT_EQ(wp_public_state(wp_find_job(p, kJob.c_str())), JB_FAILED);
}

TEST_F(Pool, FailureThatIsStoredIsNotCountedAgain)
{
	uint32_t failed[] = {1};
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 1;
	row.failed_run = failed;
	row.failed = 1;
	begin(1, kBegin + 14 * kS);
	add(kJob, {{1}}, &progress, false);
	list_worker("w");
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	EXPECT_EQ(task(kJob, 0, 0)->failed_count, 1U);
}

/* kps-dies hunt-8a9d-15: stored while other tasks were still being stopped. */
TEST_F(Pool, JobWithoutAttemptsLeftIsNotStartedByTheNextOwner)
{
	uint32_t failed[] = {1, 2, 3};
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 3;
	row.failed_run = failed;
	row.failed = 3;
	begin(1, kBegin + 14 * kS);
	struct wp_job *job = add(kJob, {{2}}, &progress, false);
	ready_worker("w");
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(wp_public_state(job), JB_FAILED);
}

/* kps-dies scale-1 --seed 1001253358689: a domain was cut off meanwhile. */
TEST_F(Pool, HeldTasksWaitForWorkersThatAreKnownButNotListed)
{
	begin(1, kBegin + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	ready_worker("w");
	EXPECT_TRUE(tick(10 * kS).empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_UNRECONCILED);
	now += 5 * kS;
	hold("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, HeldTasksStayHeldForAnOwnerThatMayHaveASuccessor)
{
	begin(1, kBegin + 3 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	ready_worker("w");
	p->ownership_unconfirmed = true;
	now += 5 * kS;
	hold("w");
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_UNRECONCILED);
	p->ownership_unconfirmed = false;
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, EarlierOwnerThatIsGoneShortensTheWait)
{
	begin(1, kBegin + 14 * kS);
	add(kJob, {{1}}, nullptr, false);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	ready_worker("w");
	wp_earlier_owners_stopped(p, kBegin + 3 * kS);
	EXPECT_TRUE(tick(2 * kS).empty());
	now += 2 * kS;
	hold("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, JobsAcceptedAfterTheTakeoverStartAtOnce)
{
	begin(1, kBegin + 14 * kS);
	wp_add_registered_worker(p, "cut-off", "127.0.0.1:2", now);
	ready_worker("w");
	add(kJob, {{1}}, nullptr, true);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	/* Runs of different owners can't be mistaken for each other. */
	EXPECT_GT(orders[0]->run, 1000U);
}

TEST_F(Pool, DoneEndOfATaskThatWaitsIsTaken)
{
	begin();
	ready_worker("w");
	struct wp_job *job = add(kJob, {{1}});
	run_all();
	struct wp_worker *w = wp_find_worker(p, "w");
	wp_on_renewal_failed(p, w, WP_NO_ANSWER, now);
	now += 5 * kS;
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_COMPLETED);
}

TEST_F(Pool, SilentWorkersTasksMoveOnlyOnceItsLeaseHasLapsed)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0}});
	now += 100 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0}});
	ready_worker("v", 1000);
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	EXPECT_TRUE(tick(2900 * kMs).empty());
	/* The worker's clock may be slow by 2%. */
	now += 400 * kMs;
	hold("v");
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_EQ(orders[0]->run, 2U);
}

/*
 * kps-dies hunt-15f4-19: an owner that was cut off took a lease for lapsed
 * that its successor had renewed, and ran the task a second time.
 */
TEST_F(Pool, LeaseHasNotLapsedForAnOwnerThatMayHaveASuccessor)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0}});
	ready_worker("v", 1000);
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	p->ownership_unconfirmed = true;
	now += 5 * kS;
	hold("v");
	EXPECT_TRUE(tick().empty());
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	p->ownership_unconfirmed = false;
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
}

TEST_F(Pool, UnansweredStartIsSentAgainWithItsRun)
{
	begin();
	ready_worker("w", 1000);
	ready_worker("v", 1000);
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

TEST_F(Pool, StartInDoubtKeepsItsRoomUntilAListSettlesIt)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	auto orders = tick();
	answer(orders[0], WP_NO_ANSWER);
	orders = tick(kMs);
	answer(orders[0], WP_REFUSED_NO_RESOURCES);
	EXPECT_EQ(wp_find_worker(p, "w")->used.cpu_mcpu, 1000);
	/* The first start may still be carried out. */
	now += 100 * kMs;
	hold("w");
	EXPECT_TRUE(tick().empty());
	now += 2 * kS;
	hold("w");
	EXPECT_EQ(tick(200 * kMs).size(), 1U);
}

TEST_F(Pool, RunThatNoListNamesIsStartedAgain)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	hold("w");
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Pool, WorkerInANewLifeRunsNothingOfBefore)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	hold("w", {}, {}, 2);
	/* Its start may yet reach the new life: a stop rules that out. */
	auto orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	wp_on_order_result(p, orders[0], WP_ACCEPTED, clock_of("w"), now);
	now += 100 * kMs;
	hold("w", {}, {}, 2);
	EXPECT_EQ(wp_find_worker(p, "w")->used.cpu_mcpu, 0);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Pool, CancelledJobEndsThoughItsLastTaskWasDone)
{
	begin();
	ready_worker("w", 4000);
	struct wp_job *job = add(kJob, {{2}});
	run_all();
	now += kS;
	wp_cancel_job(p, job, now);
	EXPECT_EQ(run_all().size(), 2U);
	hold("w", {{kJob, 0, 1, 1, 0}}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	now += 100 * kMs;
	hold("w", {}, {{2, kJob, 0, 1, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_CANCELLED);
}

/* The numbers of another life's ends begin anew and may be as high. */
TEST_F(Pool, NothingIsAcknowledgedAfterALostRenewal)
{
	struct wp_renewal h;

	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	hold("w", {}, {{7, kJob, 0, 0, 1, WP_END_DONE}});
	commit();
	struct wp_worker *w = wp_find_worker(p, "w");
	ASSERT_TRUE(wp_renewal_due(p, w, now, &h));
	EXPECT_EQ(h.acked_end, 7U);
	wp_on_renewal_failed(p, w, WP_NO_ANSWER, now);
	now += kS;
	ASSERT_TRUE(wp_renewal_due(p, w, now, &h));
	EXPECT_EQ(h.acked_end, 0U);
}

/* A start that the new life has carried out before its first list arrived. */
TEST_F(Pool, RunThatBeganInANewLifeEndsBeforeTheNextBegins)
{
	begin();
	ready_worker("w", 1000);
	ready_worker("v", 1000);
	add(kJob, {{1}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	std::string at = orders[0]->worker;
	now += kS;
	hold(at, {{kJob, 0, 0, 1, 0}}, {}, 2);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_EQ(orders[0]->worker, at);
	wp_on_order_result(p, orders[0], WP_ACCEPTED, clock_of(at), now);
	now += 100 * kMs;
	hold(at, {{kJob, 0, 0, 1, 0}}, {}, 2);
	EXPECT_TRUE(tick(200 * kMs).empty());
	hold(at, {}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}}, 2);
	orders = tick(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
}

TEST_F(Pool, StrayRunIsStoppedAndKeepsItsRoom)
{
	begin();
	ready_worker("w", 1000);
	now += kS;
	hold("w", {{kOther, 0, 0, 1, 0}});
	add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	now += kS;
	hold("w");
	EXPECT_EQ(tick().size(), 1U);
}

TEST_F(Pool, LastingTaskIsStartedAgainHoweverItEnds)
{
	begin();
	ready_worker("w", 1000);
	struct wp_job *job = add(kJob, {{1, 1000, JB_LONG_RUNNING}});
	run_all();
	enum wp_run_outcome hows[] = {
	    WP_END_DONE, WP_END_FAILED, WP_END_LEASE_EXPIRED, WP_END_FAILED};

	for (uint32_t i = 0; i < 4; i++) {
		now += 5 * kS;
		hold("w", {}, {{i + 1, kJob, 0, 0, i + 1, hows[i]}});
		EXPECT_EQ(run_all(5 * kS).size(), 1U) << i;
	}
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
}

TEST_F(Pool, StartsWaitForTicketsAndCarryThem)
{
	begin();
	ready_worker("w");
	ready_worker("v");
	add(kJob, {{1}}, nullptr, true, 2000);
	EXPECT_TRUE(tick().empty());
	struct wp_advice_request ask;
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	EXPECT_EQ(ask.worker_count, 2U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	struct wp_approval good = {"v", "ticket-1"};
	wp_on_advice(p, &ask, true, &good, 1, now, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_STREQ(orders[0]->ticket, "ticket-1");
}

TEST_F(Pool, ExpiredTicketsAreAskedForAgainAmongGoodWorkers)
{
	begin();
	ready_worker("w");
	ready_worker("v");
	add(kJob, {{1}}, nullptr, true, 2000);
	struct wp_advice_request ask;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	struct wp_approval good = {"v", "ticket-1"};
	wp_on_advice(p, &ask, true, &good, 1, now, now);
	now += 3 * kS;
	hold("w");
	hold("v");
	EXPECT_TRUE(tick().empty());
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	ASSERT_EQ(ask.worker_count, 1U);
	EXPECT_STREQ(ask.worker[0], "v");
}

TEST_F(Pool, UnansweredQuestionIsAskedAgain)
{
	begin();
	ready_worker("w");
	add(kJob, {{1}}, nullptr, true, 2000);
	struct wp_advice_request ask;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	wp_on_advice(p, &ask, false, nullptr, 0, now, now);
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	now += kS;
	EXPECT_TRUE(wp_next_advice_request(p, now, &ask));
}

TEST_F(Pool, FillersSlowDownBesideATaskThatMissesItsTarget)
{
	begin();
	ready_worker("w");
	add(kJob, {{1, 1000, JB_LONG_RUNNING, {}, 0, 100}});
	add(kOther, {{1, 1000, JB_OPPORTUNISTIC}});
	ASSERT_EQ(run_all().size(), 2U);
	now += kS;
	hold("w", {{kJob, 0, 0, 1, 150}, {kOther, 0, 0, 1, 900}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_PACE);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
	EXPECT_LE(orders[0]->percent, 25U);
	uint32_t low = orders[0]->percent;
	now += kS;
	hold("w", {{kJob, 0, 0, 1, 40}, {kOther, 0, 0, 1, 100}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_GT(orders[0]->percent, low);
}

TEST_F(Pool, CancelledJobEndsOnceItsTasksAreGone)
{
	begin();
	ready_worker("w");
	struct wp_job *job = add(kJob, {{2, 1000}, {1, 1000, 0, {0}}});
	run_all();
	wp_cancel_job(p, job, now);
	EXPECT_EQ(tick().size(), 2U);
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
	now += kS;
	hold("w", {},
	    {{1, kJob, 0, 0, 1, WP_END_STOPPED},
		{2, kJob, 0, 1, 1, WP_END_STOPPED}});
	EXPECT_EQ(wp_public_state(job), JB_CANCELLED);
	EXPECT_TRUE(tick(kS).empty());
}

TEST_F(Pool, UrgentTaskDisplacesAsFewSavingTasksAsItNeeds)
{
	begin();
	ready_worker("w", 4000);
	struct jb_spec *slow = spec(kJob, {{4, 1000, JB_CHECKPOINTS}});
	slow->policy.priority = 2;
	wp_add_job(p, slow, nullptr, true, 0, now);
	ASSERT_EQ(run_all().size(), 4U);
	now += kS;
	hold("w",
	    {{kJob, 0, 0, 1, 0}, {kJob, 0, 1, 1, 0}, {kJob, 0, 2, 1, 0},
		{kJob, 0, 3, 1, 0}});
	add(kOther, {{1, 2000}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_EQ(orders[1]->kind, WP_ORDER_STOP);
	/* Room that is coming is not asked for twice. */
	EXPECT_TRUE(run_all(100 * kMs).empty());
	now += 200 * kMs;
	hold("w", {{kJob, 0, 2, 1, 0}, {kJob, 0, 3, 1, 0}},
	    {{1, kJob, 0, 0, 1, WP_END_STOPPED},
		{2, kJob, 0, 1, 1, WP_END_STOPPED}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
}

TEST_F(Pool, TasksThatSaveNothingOrLastAreNotDisplaced)
{
	begin();
	ready_worker("w", 2000);
	struct jb_spec *slow = spec(
	    kJob, {{1, 1000}, {1, 1000, JB_CHECKPOINTS | JB_LONG_RUNNING}});
	slow->policy.priority = 2;
	wp_add_job(p, slow, nullptr, true, 0, now);
	ASSERT_EQ(run_all().size(), 2U);
	now += kS;
	hold("w", {{kJob, 0, 0, 1, 0}, {kJob, 1, 0, 1, 0}});
	add(kOther, {{1, 2000}});
	EXPECT_TRUE(run_all().empty());
}

TEST_F(Pool, TasksThatCanGoOnElsewhereLeaveADrainingWorker)
{
	begin();
	ready_worker("w", 3000);
	add(kJob,
	    {{1, 1000}, {1, 1000, JB_CHECKPOINTS}, {1, 1000, JB_LONG_RUNNING}});
	ASSERT_EQ(run_all().size(), 3U);
	ready_worker("v", 3000);
	list_worker("w", 3000, true);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_EQ(orders[0]->ref.step, 1U);
	EXPECT_EQ(orders[1]->ref.step, 2U);
	now += 200 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0}},
	    {{1, kJob, 1, 0, 1, WP_END_STOPPED},
		{2, kJob, 2, 0, 1, WP_END_STOPPED}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_STREQ(orders[1]->worker, "v");
}

TEST_F(Pool, TaskThatStandsStillRunsElsewhere)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	ready_worker("v", 1000);
	now += kS;
	hold("w", {{kJob, 0, 0, 1, 0, 40}});
	EXPECT_TRUE(tick(kS).empty());
	/* It moves, however slowly. */
	hold("w", {{kJob, 0, 0, 1, 0, 41}});
	EXPECT_TRUE(tick(kS).empty());
	hold("w", {{kJob, 0, 0, 1, 0, 41}});
	EXPECT_TRUE(tick(kS).empty());
	hold("w", {{kJob, 0, 0, 1, 0, 41}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	now += 100 * kMs;
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_STOPPED}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
}

/* One percent of a task of ten minutes takes six seconds. */
TEST_F(Pool, LongTaskIsJudgedByItsOwnPace)
{
	begin();
	ready_worker("w", 1000);
	struct jb_spec *s = spec(kJob, {{1}});
	s->step[0].estimate_ms = 600000;
	wp_add_job(p, s, nullptr, true, 0, now);
	run_all();
	for (uint32_t second = 1; second < 40; second++) {
		now += kS;
		hold("w", {{kJob, 0, 0, 1, 0, second / 6}});
		EXPECT_TRUE(tick().empty()) << second;
	}
}

/* No news of a worker says nothing of its tasks. */
TEST_F(Pool, TaskOnASilentWorkerDoesNotCountAsStuck)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += 100 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0, 40}});
	EXPECT_TRUE(tick(2500 * kMs).empty());
}

TEST_F(Pool, OccurrencesStartWhenTheyAreDue)
{
	begin();
	ready_worker("w");
	struct jb_spec *s = spec(kJob, {{1}});
	s->repeat_count = 2;
	s->first_due_ms = (now + 2 * kS) / kMs;
	s->interval_ms = 3000;
	struct wp_job *job = wp_add_job(p, s, nullptr, true, 0, now);

	EXPECT_TRUE(tick(kS).empty());
	hold("w");
	EXPECT_TRUE(tick(900 * kMs).empty());
	auto orders = run_all(100 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.occurrence, 0U);
	now += kS;
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(job), JB_RUNNING);
	EXPECT_TRUE(tick().empty());
	now += 2 * kS;
	hold("w");
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ref.occurrence, 1U);
}

TEST_F(Pool, LabelsAndLimitsAWorkerAreKept)
{
	begin();
	ready_worker("w");
	ready_worker("v");
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
	hold("u");
	commit();
	orders = run_all();
	/* The third task of the first job may go there, too. */
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_STREQ(orders[0]->worker, "u");
	EXPECT_STREQ(orders[1]->worker, "u");
}

TEST_F(Pool, TasksGoToTheRackOfTheirData)
{
	begin();
	ready_worker("w");
	struct wp_worker_info info = {"u", "127.0.0.1:1", "a", "kind",
	    "data-rack", {64000, 1000, 0}, false, 0};
	wp_set_worker(p, &info, now);
	hold("u");
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
	begin();
	for (const char *id : {"w", "v"}) {
		list_worker(id, 64000, false, 8);
		hold(id);
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

TEST_F(Pool, CheckpointGoesWithTheNextRun)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1, 1000, JB_CHECKPOINTS}});
	run_all();
	now += kS;
	struct wp_worker *w = wp_find_worker(p, "w");
	struct wp_run_end end = {};
	fill(&end.ref, kJob, 0, 0);
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

TEST_F(Pool, FencedPoolOrdersNothingMore)
{
	begin();
	ready_worker("w");
	add(kJob, {{1}});
	auto orders = tick();
	answer(orders[0], WP_REFUSED_STALE_TOKEN);
	EXPECT_TRUE(p->superseded);
	add(kOther, {{1}});
	EXPECT_TRUE(tick(kS).empty());
	struct wp_renewal h;
	EXPECT_FALSE(
	    wp_renewal_due(p, wp_find_worker(p, "w"), now + 10 * kS, &h));
}

TEST_F(Pool, WorkerOnWhichTwoJobsFailIsLeftAloneForAWhile)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	run_all();
	now += kS;
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_FAILED}});
	add(kOther, {{1}});
	ASSERT_EQ(run_all(200 * kMs).size(), 1U);
	now += kS;
	hold("w", {}, {{2, kOther, 0, 0, 1, WP_END_FAILED}});
	EXPECT_TRUE(tick(200 * kMs).empty());
	EXPECT_FALSE(tick(5 * kS).empty());
}

/* A step whose tasks may run twice, one of them on a worker that falls silent. */
class Copies : public Pool
{
      protected:
	void
	lose_worker()
	{
		begin();
		ready_worker("w", 1000);
		add(kJob, {{1, 1000, JB_SPECULATIVE}});
		ASSERT_EQ(run_all().size(), 1U);
		now += 100 * kMs;
		hold("w", {{kJob, 0, 0, 1, 0, 10}});
		wp_on_renewal_failed(
		    p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
		ready_worker("v", 1000);
	}
};

TEST_F(Copies, StartWhileAWorkerIsSilent)
{
	lose_worker();
	EXPECT_EQ(run_all(200 * kMs).size(), 0U);
	auto orders = run_all(200 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "v");
	EXPECT_EQ(orders[0]->run, 2U);
}

TEST_F(Copies, FirstToEndCounts)
{
	lose_worker();
	run_all(400 * kMs);
	ASSERT_EQ(task(kJob, 0, 0)->run, 2U);
	/* The first goes on beside the second. */
	hold("w", {{kJob, 0, 0, 1, 0, 60}});
	EXPECT_EQ(run_all().size(), 0U);
	now += 100 * kMs;
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(wp_public_state(wp_find_job(p, kJob.c_str())), JB_COMPLETED);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_STREQ(orders[0]->worker, "v");
	/* Its room is free once it is off the list. */
	EXPECT_EQ(wp_find_worker(p, "v")->used.cpu_mcpu, 1000);
	now += 2 * kS;
	hold("v", {}, {{1, kJob, 0, 0, 2, WP_END_STOPPED}});
	EXPECT_EQ(wp_find_worker(p, "v")->used.cpu_mcpu, 0);
}

TEST_F(Copies, RunThatComesBackBeforeItsCopyStartsIsKept)
{
	lose_worker();
	list_worker("v", 1000, true);
	run_all(400 * kMs);
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	hold("w", {{kJob, 0, 0, 1, 0, 60}});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_EQ(run_all().size(), 0U);
}

TEST_F(Copies, OthersWaitForTheLease)
{
	begin();
	ready_worker("w", 1000);
	add(kJob, {{1}});
	ASSERT_EQ(run_all().size(), 1U);
	now += 100 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0, 10}});
	wp_on_renewal_failed(p, wp_find_worker(p, "w"), WP_NO_ANSWER, now);
	ready_worker("v", 1000);
	EXPECT_EQ(run_all(kS).size(), 0U);
}

TEST_F(Copies, NextOwnerNeedNotWaitForSilentWorkers)
{
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 1;
	begin(1, kBegin + 13 * kS);
	wp_add_registered_worker(p, "silent", "127.0.0.1:1", now);
	ready_worker("v", 2000);
	add(kJob, {{1, 1000, JB_SPECULATIVE}}, &progress, false);
	add(kOther, {{1}}, &progress, false);
	EXPECT_EQ(run_all().size(), 0U);
	auto orders = run_all(500 * kMs);
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(std::string(orders[0]->ref.job), kJob);
	EXPECT_GT(orders[0]->run, 1U);
}

/* Each worker named makes the answer later for all who wait. */
TEST_F(Pool, QuestionNamesAsFewWorkersAsWillDo)
{
	struct wp_advice_request ask;

	begin();
	for (int i = 0; i < 60; i++)
		ready_worker("w" + std::to_string(i), 4000);
	struct jb_spec *s = spec(kJob, {{2}}, 2000);
	s->policy.advice_decide_us = 60000;
	s->policy.advice_period_us = 1000;
	wp_add_job(p, s, nullptr, true, 0, now);
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	EXPECT_LT(ask.worker_count, 10U);
	EXPECT_GE(ask.worker_count, 2U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
}

TEST_F(Pool, FullWorkersAreAskedForWhenNoneHasRoom)
{
	struct wp_advice_request ask;

	begin();
	ready_worker("w", 1000);
	add(kOther, {{1}});
	ASSERT_EQ(run_all().size(), 1U);
	add(kJob, {{1}}, nullptr, true, 2000);
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	EXPECT_EQ(ask.worker_count, 1U);
}

TEST_F(Pool, AdviceIsAskedForBeforeAStepIsReady)
{
	struct wp_advice_request ask;
	struct wp_approval good = {"w", "ticket"};

	begin();
	ready_worker("w");
	add(kJob, {{1}, {1, 1000, 0, {0}}}, nullptr, true, 2000);
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	wp_on_advice(p, &ask, true, &good, 1, now, now);
	ASSERT_EQ(run_all().size(), 1U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	/* Half done after a second: too early. */
	now += kS;
	hold("w", {{kJob, 0, 0, 1, 0, 50}});
	run_all();
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	now += 900 * kMs;
	hold("w", {{kJob, 0, 0, 1, 0, 95}});
	run_all();
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	EXPECT_EQ(ask.step, 1U);
	wp_on_advice(p, &ask, true, &good, 1, now, now);
	EXPECT_EQ(run_all().size(), 0U);
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	now += 100 * kMs;
	hold("w", {}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	EXPECT_EQ(run_all().size(), 1U);
}

/*
 * Load: standing tasks, one a worker, of which one fails. Tickets of workers
 * that have one already are of no use to it.
 */
TEST_F(Pool, FailedTaskAsksForWorkersThatItsStepStillAllows)
{
	struct wp_advice_request ask;
	struct wp_approval good[] = {{"w0", "t0"}, {"w1", "t1"}};

	begin();
	ready_worker("w0");
	ready_worker("w1");
	struct jb_spec *s = spec(kJob, {{2, 1000, JB_LONG_RUNNING}}, 2000);
	s->step[0].max_per_worker = 1;
	wp_add_job(p, s, nullptr, true, 0, now);
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	wp_on_advice(p, &ask, true, good, 2, now, now);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	uint32_t on_w0 = std::string(orders[0]->worker) == "w0"
	    ? orders[0]->ref.index
	    : orders[1]->ref.index;
	ready_worker("x");
	hold("w0", {}, {{1, kJob, 0, on_w0, 1, WP_END_FAILED}});
	hold("w1", {{kJob, 0, 1 - on_w0, 1, 0, 100}});
	now += 500 * kMs;
	EXPECT_TRUE(tick().empty());
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	ASSERT_EQ(ask.worker_count, 1U);
	EXPECT_STREQ(ask.worker[0], "x");
}

/* Load: a step that is wider than one question's workers can take. */
TEST_F(Pool, WideStepAsksSeveralQuestionsAtOnce)
{
	std::set<std::string> named;
	struct wp_advice_request ask;
	int asks = 0;

	begin();
	for (int i = 0; i < 200; i++)
		ready_worker("w" + std::to_string(i), 1000);
	struct jb_spec *s = spec(kJob, {{60}}, 2000);
	s->policy.advice_decide_us = 500000;
	s->policy.advice_period_us = 10000;
	wp_add_job(p, s, nullptr, true, 0, now);
	tick();
	while (wp_next_advice_request(p, now, &ask)) {
		asks++;
		for (uint32_t i = 0; i < ask.worker_count; i++)
			EXPECT_TRUE(named.insert(ask.worker[i]).second);
		now += 50 * kMs;
		ASSERT_LT(asks, 20);
	}
	EXPECT_GT(asks, 2);
	EXPECT_GE(named.size(), 150U);
	/* One comes back unanswered: its workers may be named again. */
	wp_on_advice(p, &ask, false, nullptr, 0, now, now);
	now += kS;
	EXPECT_TRUE(wp_next_advice_request(p, now, &ask));
}

/*
 * Load: far more steps wait than there is room. A question about one that will
 * find none keeps those waiting that would.
 */
TEST_F(Pool, StepsBeyondTheRoomThatComesFreeDoNotAsk)
{
	struct wp_advice_request ask;
	int asks = 0;

	begin();
	for (int i = 0; i < 4; i++)
		ready_worker("w" + std::to_string(i), 8000);
	for (int n = 0; n < 50; n++)
		add(job_id(n), {{4, 1000}}, nullptr, true, 2000);
	tick();
	while (wp_next_advice_request(p, now, &ask))
		asks++;
	/* 32 cores and an eighth of them again, for jobs of four each. */
	EXPECT_GE(asks, 8);
	EXPECT_LE(asks, 10);
}

TEST_F(Pool, StandingTasksAskHoweverFullThePoolIs)
{
	struct wp_advice_request ask;

	begin();
	ready_worker("w", 4000);
	ready_worker("v", 4000);
	for (int n = 0; n < 20; n++)
		add(job_id(n), {{4, 1000}}, nullptr, true, 2000);
	add(kJob, {{1, 1000, JB_LONG_RUNNING}}, nullptr, true, 2000);
	tick();
	bool asked = false;
	while (wp_next_advice_request(p, now, &ask))
		asked |= kJob == ask.job;
	EXPECT_TRUE(asked);
}

/* Load: a gang that has tickets and finds no room for all of its members. */
TEST_F(Pool, GangWhoseTicketsExpiredUnusedPauses)
{
	struct wp_advice_request ask;
	struct wp_approval good[] = {{"w", "t"}, {"v", "t"}};

	begin();
	ready_worker("w", 4000);
	ready_worker("v", 4000);
	add(kJob, {{2, 4000, JB_GANG}}, nullptr, true, 2000);
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
	wp_on_advice(p, &ask, true, good, 2, now, now);
	p->draining = true;
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	now += 3 * kS;
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	now += 200 * kMs;
	EXPECT_FALSE(wp_next_advice_request(p, now, &ask));
	now += 100 * kMs;
	EXPECT_TRUE(wp_next_advice_request(p, now, &ask));
}

TEST_F(Pool, QuestionsNameMoreWorkersWhereFewAreAllowed)
{
	struct wp_advice_request ask;
	uint32_t first = 0;

	begin();
	for (int i = 0; i < 200; i++)
		ready_worker("w" + std::to_string(i), 1000);
	for (int n = 0; n < 40; n++) {
		struct jb_spec *s = spec(job_id(n), {{4, 1000}}, 2000);
		struct wp_approval good;
		s->policy.advice_decide_us = 100000;
		s->policy.advice_period_us = 1000;
		struct wp_job *job = wp_add_job(p, s, nullptr, true, 0, now);
		tick();
		ASSERT_TRUE(wp_next_advice_request(p, now, &ask));
		if (n == 0)
			first = ask.worker_count;
		/* Hardly any is allowed. */
		good = {ask.worker[0], "t"};
		wp_on_advice(p, &ask, true, &good, n % 2, now, now);
		wp_cancel_job(p, job, now);
		run_all();
	}
	EXPECT_GT(ask.worker_count, 2 * first);
}

/*
 * Load: more than the workers can do for long. Work that can't be in time any
 * more must not make the rest late as well.
 */
TEST_F(Pool, LateWorkGoesBehindWhatCanBeInTime)
{
	begin();
	struct jb_spec *late = spec(kJob, {{1, 4000}});
	struct jb_spec *good = spec(kOther, {{1, 4000}});
	late->step[0].estimate_ms = 1000;
	good->step[0].estimate_ms = 1000;
	wp_add_job(p, late, nullptr, true, 0, now);
	now += 3 * kS;
	good->accepted_wall_ms = now / kMs;
	wp_add_job(p, good, nullptr, true, 0, now);
	ready_worker("w", 4000);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
}

TEST_F(Pool, HopelessWorkGoesBehindLessUrgentWork)
{
	begin();
	struct jb_spec *hopeless = spec(kJob, {{1, 4000}});
	struct jb_spec *other = spec(kOther, {{1, 4000}});
	hopeless->step[0].estimate_ms = 1000;
	other->step[0].estimate_ms = 1000;
	other->policy.priority = 2;
	wp_add_job(p, hopeless, nullptr, true, 0, now);
	now += 20 * kS;
	other->accepted_wall_ms = now / kMs;
	wp_add_job(p, other, nullptr, true, 0, now);
	ready_worker("w", 4000);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kOther.c_str());
	/* It is done all the same once there is room. */
	now += kS;
	hold("w", {}, {{1, kOther, 0, 0, 1, WP_END_DONE}});
	orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->ref.job, kJob.c_str());
}

/* Load: some workers have turned slow and report nothing wrong. */
TEST_F(Pool, TaskOnASlowWorkerRunsElsewhere)
{
	begin();
	ready_worker("w", 3000);
	ready_worker("slow", 1000);
	add(kJob, {{4, 1000}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 4U);
	std::vector<End> ends;
	uint32_t crawls = 0;
	for (const struct wp_order *o : orders) {
		if (std::string(o->worker) == "slow")
			crawls = o->ref.index;
		else
			ends.push_back({ends.size() + 1, kJob, 0, o->ref.index,
			    1, WP_END_DONE});
	}
	ASSERT_EQ(ends.size(), 3U);
	now += kS;
	hold("w", {}, ends);
	hold("slow", {{kJob, 0, crawls, 1, 0, 20}});
	EXPECT_TRUE(tick().empty());
	now += 600 * kMs;
	hold("slow", {{kJob, 0, crawls, 1, 0, 30}});
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_STOP);
	EXPECT_STREQ(orders[0]->worker, "slow");
}

TEST_F(Pool, TaskThatIsNearlyDoneStaysWhereItIs)
{
	begin();
	ready_worker("w", 4000);
	add(kJob, {{4, 1000}});
	ASSERT_EQ(run_all().size(), 4U);
	now += kS;
	hold("w", {{kJob, 0, 3, 1, 0, 40}},
	    {{1, kJob, 0, 0, 1, WP_END_DONE}, {2, kJob, 0, 1, 1, WP_END_DONE},
		{3, kJob, 0, 2, 1, WP_END_DONE}});
	now += 600 * kMs;
	hold("w", {{kJob, 0, 3, 1, 0, 60}});
	EXPECT_TRUE(tick().empty());
}

} // namespace
