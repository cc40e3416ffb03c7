#include "pool_fixture.h"

#include <algorithm>
#include <set>

/*
 * Long-running tasks that have lost their run have to run again within 9 s of its
 * end, however full the pool is (issue 48).
 */
namespace
{

constexpr int64_t kFreshCpu = 500;

class Restore : public Pool
{
      protected:
	struct wp_job *
	add_job(const std::string &id, const Step &step, int64_t estimate_ms,
	    uint32_t priority = 0, uint32_t advice_valid_ms = 0)
	{
		struct jb_spec *s = spec(id, {step}, advice_valid_ms);

		s->step[0].estimate_ms = estimate_ms;
		s->policy.priority = priority;
		s->accepted_wall_ms = now / kMs;
		return wp_add_job(p, s, nullptr, true, 0, now);
	}

	/* Answers the renewals of all workers but the silent ones. */
	void
	renew_all(const std::set<std::string> &silent = {})
	{
		struct wp_worker *w;
		struct wp_worker *tmp;

		HASH_ITER(hh, p->workers, w, tmp) {
			if (silent.count(w->id) == 0)
				renew_lease(w->id, runs_on(w), ends[w->id],
				    std::max<int64_t>(w->incarnation_ms, 1));
		}
	}

	/* What the worker runs: all that it was told, and nothing it was told to
	 * stop. */
	std::vector<Running>
	runs_on(const struct wp_worker *w)
	{
		std::vector<Running> rows;

		for (const struct wp_task *t = w->tasks; t != nullptr;
		     t = t->next) {
			if (t->state == WP_TASK_RUNNING && !has_ended(w, t))
				rows.push_back({t->step->occ->job->spec->id,
				    t->step->number, t->index, t->run, 0,
				    percent_of(t)});
		}
		return rows;
	}

	bool
	has_ended(const struct wp_worker *w, const struct wp_task *t)
	{
		const std::vector<End> &list = ends[w->id];

		return std::any_of(list.begin(), list.end(), [t](const End &e) {
			return e.job == t->step->occ->job->spec->id &&
			    e.index == t->index && e.run == t->run;
		});
	}

	uint32_t
	percent_of(const struct wp_task *t) const
	{
		int64_t estimate_us = t->step->spec->estimate_ms * kMs;

		if (estimate_us == 0)
			return 0;
		return (uint32_t)std::min<int64_t>(
		    99, (now - t->started_us) * 100 / estimate_us);
	}

	/* Ticks; workers accept all orders. @per_tick_us apart, for @for_us. */
	void
	play(int64_t for_us, const std::set<std::string> &silent = {})
	{
		int64_t until_us = now + for_us;

		while (now < until_us) {
			for (const struct wp_order *o : tick(50 * kMs)) {
				if (silent.count(o->worker) > 0) {
					answer(o, WP_NO_ANSWER);
					continue;
				}
				count(o);
				answer(o,
				    refuse == o->ref.job ? WP_REFUSED_UNHEALTHY
							 : WP_ACCEPTED);
			}
			answer_advice();
			renew_all(silent);
			commit();
		}
	}

	/* All workers are approved. */
	void
	answer_advice()
	{
		struct wp_advice_request r;

		while (wp_next_advice_request(p, now, &r)) {
			std::vector<struct wp_approval> ok;

			for (uint32_t i = 0; i < r.worker_count; i++) {
				ok.push_back({r.worker[i], "ticket"});
				asked[r.worker[i]]++;
			}
			wp_on_advice(
			    p, &r, true, ok.data(), r.worker_count, now, now);
		}
	}

	void
	count(const struct wp_order *o)
	{
		std::string id = o->ref.job;

		starts[id] += o->kind == WP_ORDER_START;
		stops[id] += o->kind == WP_ORDER_STOP;
	}

	static bool
	is_at_work(const struct wp_task *t, const std::set<std::string> &lost)
	{
		return t->state == WP_TASK_RUNNING &&
		    lost.count(t->worker->id) == 0;
	}

	uint32_t
	running_on(const std::string &job, const std::string &worker)
	{
		const struct wp_worker *w = wp_find_worker(p, worker.c_str());
		uint32_t n = 0;

		for (const struct wp_task *t = w->tasks; t != nullptr;
		     t = t->next)
			n += job == t->step->occ->job->spec->id;
		return n;
	}

	/* Full workers: one with a long-running task of 3,000, others without. */
	void
	fill(
	    const std::vector<std::string> &others, int64_t estimate_ms = 25000)
	{
		create_pool();
		add_worker("lost");
		add_job(kJob, {1, 3000, JB_LONG_RUNNING}, 0);
		run_all();
		ASSERT_EQ(running_on(kJob, "lost"), 1U);
		for (const std::string &id : others)
			add_worker(id);
		add_job(kOther, {200, kFreshCpu}, estimate_ms);
		/* What is younger is suspected of the crash of its worker. */
		play(2500 * kMs);
	}

	/* The tasks on a worker that have taken as long as estimated are done. */
	void
	end_overdue(const std::string &id)
	{
		const struct wp_worker *w = wp_find_worker(p, id.c_str());
		uint64_t number = 0;

		for (const struct wp_task *t = w->tasks; t != nullptr;
		     t = t->next) {
			const struct jb_step *step = t->step->spec;

			if (now - t->started_us < step->estimate_ms * kMs)
				continue;
			ends[id].push_back({++number,
			    t->step->occ->job->spec->id, t->step->number,
			    t->index, t->run, WP_END_DONE});
		}
		ASSERT_GT(number, 0U);
	}

	std::string refuse; /* a job whose starts the workers refuse */
	std::map<std::string, std::vector<End>> ends;
	std::map<std::string, int> asked; /* advice, by worker */
	std::map<std::string, int> starts;
	std::map<std::string, int> stops;
};

TEST_F(Restore, RoomIsKeptWhileTheLeaseOfASilentWorkerRuns)
{
	fill({"full"});
	renewal_overdue("lost");
	play(1500 * kMs, {"lost"});
	add_worker("returned");
	play(1000 * kMs, {"lost"});
	/* Younger tasks take what is left, and no more. */
	EXPECT_EQ(running_on(kOther, "returned"), 2U);
	play(2 * kS, {"lost"});
	EXPECT_EQ(running_on(kJob, "returned"), 1U);
	EXPECT_EQ(stops[kOther], 0);
}

TEST_F(Restore, RoomIsKeptOnAWorkerThatHasRestarted)
{
	fill({"full"});
	now += 100 * kMs;
	renew_lease("lost", {}, {}, 2);
	play(300 * kMs);
	EXPECT_EQ(running_on(kJob, "lost"), 1U);
	EXPECT_EQ(stops[kOther], 2); /* those that the worker had lost */
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
}

TEST_F(Restore, ShortTasksThatEndInTimeMayUseTheRoom)
{
	fill({"full"});
	add_job(job_id(7), {4, kFreshCpu, 0}, 500);
	renewal_overdue("lost");
	play(200 * kMs, {"lost"});
	add_worker("returned");
	play(100 * kMs, {"lost"});
	EXPECT_EQ(running_on(job_id(7), "returned"), 4U);
}

TEST_F(Restore, RoomIsKeptForATaskThatAnEarlierOwnerStarted)
{
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};

	row.run = 1;
	create_pool(1, kStart + 5 * kS);
	wp_add_registered_worker(p, "gone", "127.0.0.1:2", now);
	wp_registry_loaded(p);
	add_worker("full");
	add_worker("returned");
	add(kJob, {{1, 3000, JB_LONG_RUNNING}}, &progress, false);
	add_job(kOther, {200, kFreshCpu}, 25000);
	play(1 * kS, {"gone"});
	EXPECT_EQ(
	    running_on(kOther, "full") + running_on(kOther, "returned"), 10U);
}

/* LOST: the time for room to become free came on top of the takeover's. */
TEST_F(Restore, RoomIsMadeAtOnceForATaskThatATakeoverHasHeld)
{
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};
	std::vector<Running> runs;

	row.run = 1;
	create_pool(1, kStart + 5 * kS);
	wp_add_registered_worker(p, "gone", "127.0.0.1:2", now);
	wp_registry_loaded(p);
	add_worker("full");
	add(kOther, {{8, kFreshCpu}}, nullptr, false)
	    ->spec->step[0]
	    .estimate_ms = 6800;
	add(kJob, {{1, 3000, JB_LONG_RUNNING}}, &progress, false);
	for (uint32_t i = 0; i < 8; i++)
		runs.push_back({kOther, 0, i, 1, 0});
	renew_lease("full", runs, {});
	ASSERT_EQ(running_on(kOther, "full"), 8U);
	play(5800 * kMs, {"gone"});
	EXPECT_EQ(running_on(kJob, "full"), 1U);
}

TEST_F(Restore, SiblingsThatNeverRanDoNotTakeTheRoom)
{
	create_pool();
	add_worker("a");
	add_worker("b");
	add_job(kJob, {6, 3000, JB_LONG_RUNNING}, 0);
	task(kJob, 0, 0)->not_before_us = now + 1 * kS;
	play(2500 * kMs);
	ASSERT_EQ(task(kJob, 0, 0)->run, 0U);
	ASSERT_EQ(task(kJob, 0, 1)->state, WP_TASK_RUNNING);
	std::string lost = task(kJob, 0, 1)->worker->id;
	renewal_overdue(lost);
	play(4 * kS, {lost});
	add_worker("returned");
	play(300 * kMs, {lost});
	EXPECT_EQ(task(kJob, 0, 1)->state, WP_TASK_RUNNING);
	EXPECT_EQ(task(kJob, 0, 0)->run, 0U);
}

/* So that the next owner can tell it from one that has never run. */
TEST_F(Restore, RunThatBeginsLaterIsStored)
{
	struct jb_progress progress;
	uint32_t rows = 0;

	create_pool();
	add_worker("a");
	add_job(kJob, {2, 3000, JB_LONG_RUNNING}, 0);
	play(1 * kS);
	commit();
	add_worker("b");
	run_all(100 * kMs);
	run_all(100 * kMs);
	ASSERT_EQ(task(kJob, 0, 1)->state, WP_TASK_RUNNING);
	now += 1 * kS;
	while (wp_next_dirty(p, p, now, &progress) != nullptr)
		rows = progress.task_count;
	EXPECT_EQ(rows, 2U);
}

TEST_F(Restore, RoomIsMadeIfNoneBecomesFreeInTime)
{
	fill({"full"});
	renewal_overdue("lost");
	play(8 * kS, {"lost"});
	EXPECT_EQ(running_on(kJob, "full"), 1U);
	/* As many as it needs. */
	EXPECT_EQ(stops[kOther], 6);
	EXPECT_EQ(running_on(kOther, "full"), 2U);
}

TEST_F(Restore, RoomThatBecomesFreeInTimeIsWaitedFor)
{
	struct wp_worker *w;

	fill({"full"});
	renewal_overdue("lost");
	play(2800 * kMs, {"lost"});
	/* Six of them end 1.1 s after the lease. */
	w = wp_find_worker(p, "full");
	uint32_t n = 0;
	for (struct wp_task *t = w->tasks; t != nullptr; t = t->next) {
		if (n++ < 6)
			t->started_us = now + 1500 * kMs - 25 * kS;
	}
	play(1500 * kMs, {"lost"});
	ASSERT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	EXPECT_EQ(stops[kOther], 0);
	end_overdue("full");
	play(300 * kMs, {"lost"});
	EXPECT_EQ(running_on(kJob, "full"), 1U);
	EXPECT_EQ(stops[kOther], 0);
}

TEST_F(Restore, TasksWithCheckpointsAreStoppedBeforeOthers)
{
	create_pool();
	add_worker("lost");
	add_job(kJob, {1, 3000, JB_LONG_RUNNING}, 0);
	run_all();
	for (const char *id : {"a", "b", "c"})
		add_worker(id);
	add_job(job_id(1), {1, 3000, 0}, 25000);
	add_job(job_id(2), {1, 3000, JB_CHECKPOINTS}, 25000);
	add_job(job_id(3), {1, 3000, 0}, 25000);
	add_job(job_id(4), {3, 1000, 0}, 25000);
	play(2500 * kMs);
	ASSERT_EQ(task(kJob, 0, 0)->worker, wp_find_worker(p, "lost"));
	renewal_overdue("lost");
	play(5 * kS, {"lost"});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	EXPECT_EQ(stops[job_id(2)], 1);
	EXPECT_EQ(stops[job_id(1)] + stops[job_id(3)] + stops[job_id(4)], 0);
}

TEST_F(Restore, TasksThatFillAreStoppedBeforeThoseWithCheckpoints)
{
	create_pool();
	add_worker("lost");
	add_job(kJob, {1, 1000, JB_LONG_RUNNING}, 0)->spec->step[0].mem_mb =
	    600;
	run_all();
	add_worker("a");
	add_job(job_id(1), {1, 1000, JB_CHECKPOINTS}, 25000)
	    ->spec->step[0]
	    .mem_mb = 700;
	play(100 * kMs);
	add_worker("b");
	add_job(job_id(2), {1, 1000, JB_OPPORTUNISTIC}, 25000)
	    ->spec->step[0]
	    .mem_mb = 700;
	play(2500 * kMs);
	ASSERT_EQ(running_on(job_id(1), "a"), 1U);
	ASSERT_EQ(running_on(job_id(2), "b"), 1U);
	renewal_overdue("lost");
	play(5 * kS, {"lost"});
	EXPECT_EQ(running_on(kJob, "b"), 1U);
	EXPECT_EQ(stops[job_id(1)], 0);
}

TEST_F(Restore, TheYoungestAreStopped)
{
	fill({"old"});
	play(3 * kS);
	add_worker("young");
	play(500 * kMs);
	renewal_overdue("lost");
	play(8 * kS, {"lost"});
	EXPECT_EQ(running_on(kJob, "young"), 1U);
	EXPECT_EQ(running_on(kOther, "old"), 8U);
}

TEST_F(Restore, NothingIsStoppedIfThePoolCannotHoldThem)
{
	create_pool();
	for (const char *id : {"a", "b", "c"})
		add_worker(id);
	add_job(kJob, {3, 3000, JB_LONG_RUNNING}, 0);
	play(100 * kMs);
	add_job(kOther, {200, kFreshCpu}, 200000);
	play(2500 * kMs);
	renewal_overdue("a");
	renewal_overdue("b");
	play(60 * kS, {"a", "b"});
	EXPECT_EQ(running_on(kJob, "c"), 1U);
	EXPECT_EQ(stops[kOther], 0);
}

TEST_F(Restore, StopsAreFewIfTheTaskCannotStartAfterwards)
{
	fill({"x", "y", "z"}, 200000);
	renewal_overdue("lost");
	refuse = kJob;
	play(60 * kS, {"lost"});
	/* After 0, 5, 15, 35 s: four times six tasks. */
	EXPECT_GE(stops[kOther], 6);
	EXPECT_LE(stops[kOther], 24);
}

/* Two refusals, then a calm service: 7 s are as long as the rule allows. */
TEST_F(Restore, RoomIsMadeWithin7SecondsOnceStartsAreAccepted)
{
	fill({"x", "y", "z"}, 200000);
	renewal_overdue("lost");
	refuse = kJob;
	for (int n = 0; n < 400 && task(kJob, 0, 0)->preempt_count < 2; n++)
		play(50 * kMs, {"lost"});
	ASSERT_EQ(task(kJob, 0, 0)->preempt_count, 2U);
	play(500 * kMs, {"lost"});
	ASSERT_EQ(task(kJob, 0, 0)->state, WP_TASK_WAITING);
	refuse = "";
	play(7 * kS, {"lost"});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
}

/* What was stopped for an earlier loss doesn't delay the next one. */
TEST_F(Restore, TaskThatRanAgainHasRoomMadeAtOnceWhenItIsLostAgain)
{
	fill({"x", "y", "z"}, 200000);
	renewal_overdue("lost");
	refuse = kJob;
	for (int n = 0; n < 1200 && task(kJob, 0, 0)->preempt_count < 3; n++)
		play(50 * kMs, {"lost"});
	ASSERT_EQ(task(kJob, 0, 0)->preempt_count, 3U);
	refuse = "";
	play(2 * kS, {"lost"});
	ASSERT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
	ASSERT_EQ(task(kJob, 0, 0)->preempt_count, 0U);
	std::string second = task(kJob, 0, 0)->worker->id;
	play(1 * kS, {"lost"});
	renewal_overdue(second);
	/* One lease, and the 9 s of the rule after it. */
	play(3400 * kMs + 9 * kS, {"lost", second});
	EXPECT_EQ(task(kJob, 0, 0)->state, WP_TASK_RUNNING);
}

TEST_F(Restore, FirstStartsWaitForTheirTurn)
{
	fill({"full"});
	add_job(job_id(9), {1, 3000, JB_LONG_RUNNING}, 0);
	play(8 * kS);
	EXPECT_EQ(task(job_id(9), 0, 0)->run, 0U);
	EXPECT_EQ(stops[kOther], 0);
}

TEST_F(Restore, MembersOfGangsAreNotStopped)
{
	create_pool();
	add_worker("lost");
	add_job(kJob, {1, 3000, JB_LONG_RUNNING}, 0);
	run_all();
	add_worker("full");
	add_job(kOther, {2, 2000, JB_GANG}, 25000);
	play(2500 * kMs);
	ASSERT_EQ(running_on(kOther, "full"), 2U);
	renewal_overdue("lost");
	play(10 * kS, {"lost"});
	EXPECT_EQ(stops[kOther], 0);
}

TEST_F(Restore, WaitingGangsDoNotTakeTheRoom)
{
	fill({"full"});
	add_job(job_id(3), {2, 2000, JB_GANG}, 25000);
	renewal_overdue("lost");
	play(1 * kS, {"lost"});
	add_worker("returned");
	play(3 * kS, {"lost"});
	EXPECT_EQ(running_on(kJob, "returned"), 1U);
	EXPECT_EQ(running_on(job_id(3), "returned"), 0U);
}

TEST_F(Restore, TasksThatNoWorkerCanHoldDoNotDelayOthers)
{
	std::set<std::string> lost = {"lost"};

	create_pool();
	for (int i = 0; i < 20; i++) {
		add_worker("big" + std::to_string(i), 16000);
		lost.insert("big" + std::to_string(i));
	}
	add_job(job_id(5), {20, 15000, JB_LONG_RUNNING}, 0);
	run_all();
	add_worker("lost");
	add_job(kJob, {1, 3000, JB_LONG_RUNNING}, 0);
	run_all();
	ASSERT_EQ(running_on(kJob, "lost"), 1U);
	add_worker("full");
	add_job(kOther, {200, kFreshCpu}, 200000);
	play(2500 * kMs);
	for (const std::string &id : lost)
		renewal_overdue(id);
	play(6 * kS, lost);
	EXPECT_EQ(running_on(kJob, "full"), 1U);
	EXPECT_EQ(stops[kOther], 6);
}

TEST_F(Restore, RoomIsKeptForManyAtATime)
{
	std::set<std::string> lost;

	create_pool();
	for (int i = 0; i < 40; i++) {
		add_worker("w" + std::to_string(i));
		lost.insert("w" + std::to_string(i));
	}
	add_job(kJob, {40, 3000, JB_LONG_RUNNING}, 0);
	play(100 * kMs);
	add_job(kOther, {600, kFreshCpu}, 25000);
	play(2500 * kMs);
	for (const std::string &id : lost)
		renewal_overdue(id);
	play(1500 * kMs, lost);
	for (int i = 0; i < 40; i++)
		add_worker("new" + std::to_string(i));
	play(4 * kS, lost);
	for (uint32_t i = 0; i < 40; i++)
		EXPECT_TRUE(is_at_work(task(kJob, 0, i), lost)) << i;
	EXPECT_LE(stops[kOther], 6 * 20);
}

/*
 * Three long-running jobs on four of eight workers, and 120 jobs that fill the
 * rest and wait; two of the four workers are lost.
 */
class FullPool : public Restore, public testing::WithParamInterface<bool>
{
};

TEST_P(FullPool, TasksThatLoseTheirWorkerRunAgainWithin9Seconds)
{
	std::set<std::string> lost;
	int64_t waited_us = 0;

	create_pool();
	for (int i = 0; i < 8; i++)
		add_worker("w" + std::to_string(i));
	add_job(job_id(1), {2, 3000, JB_LONG_RUNNING}, 0);
	add_job(job_id(2), {1, 3000, JB_LONG_RUNNING}, 0);
	add_job(job_id(3), {1, 3000, JB_LONG_RUNNING}, 0);
	play(500 * kMs);
	for (int n = 100; n < 220; n++)
		add_job(job_id(n), {20, kFreshCpu}, 25000);
	play(3 * kS);
	lost = {task(job_id(1), 0, 0)->worker->id,
	    task(job_id(2), 0, 0)->worker->id};
	ASSERT_EQ(lost.size(), 2U);
	for (const std::string &id : lost)
		renewal_overdue(id);
	for (int64_t from_us = now; now < from_us + 15 * kS;) {
		play(100 * kMs, lost);
		if (GetParam() && now == from_us + 1500 * kMs) {
			add_worker("new0");
			add_worker("new1");
		}
		for (int n = 1; n <= 3; n++) {
			if (!is_at_work(task(job_id(n), 0, 0), lost))
				waited_us = now - from_us;
		}
	}
	EXPECT_LE(waited_us, 8 * kS);
}

INSTANTIATE_TEST_SUITE_P(WorkersReturn, FullPool, testing::Bool());

/* The pool is full, so no room is there for which to ask. */
TEST_F(Restore, TicketsAreRenewedForRoomThatHasToBeMade)
{
	create_pool();
	add_worker("lost");
	add_worker("full");
	add_job(kJob, {1, 3000, JB_LONG_RUNNING}, 0, 0, 800);
	play(100 * kMs);
	std::string lost = task(kJob, 0, 0)->worker->id;
	std::string full = lost == "lost" ? "full" : "lost";
	add_job(kOther, {200, kFreshCpu}, 25000);
	play(2500 * kMs);
	ASSERT_GT(asked[full], 0);
	renewal_overdue(lost);
	play(4 * kS, {lost});
	EXPECT_EQ(running_on(kJob, full), 1U);
	EXPECT_EQ(stops[kOther], 6);
	EXPECT_LE(asked[full], 4);
}

/* Tickets are short, and room will be there only in 20 s. */
TEST_F(Restore, TicketsForRoomThatIsFarAreNotRenewed)
{
	create_pool();
	add_worker("lost");
	add_worker("full");
	add_job(kJob, {1, 3000, JB_LONG_RUNNING}, 0, 0, 800);
	play(100 * kMs);
	std::string lost = task(kJob, 0, 0)->worker->id;
	std::string full = lost == "lost" ? "full" : "lost";
	add_job(kOther, {1, 3000, JB_GANG}, 25000);
	play(2500 * kMs);
	ASSERT_EQ(running_on(kOther, full), 1U);
	renewal_overdue(lost);
	play(12 * kS, {lost});
	EXPECT_EQ(stops[kOther], 0);
	EXPECT_LE(asked[full], 2);
}

} // namespace
