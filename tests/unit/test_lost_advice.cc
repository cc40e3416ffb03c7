#include "pool_fixture.h"

#include <algorithm>
#include <map>
#include <set>

/*
 * Long-running tasks whose steps need advice, and whose run was lost: with the
 * owner, so that the next one has to wait until the run must have ended, or with a
 * worker that is silent. A run has to follow within 9 s of the loss. The advice
 * service is slow, answers each of a few callers one request at a time, and its
 * tickets are short.
 */
namespace
{

constexpr int64_t kDecideUs = 728 * kMs;
constexpr int64_t kPeriodUs = 10400;
constexpr uint32_t kValidMs = 1500;
constexpr size_t kCallers = 4;
constexpr size_t kManyCallers = 8;
constexpr int kJobs = 8;
constexpr int kManyJobs = 20;
constexpr uint32_t kTasks = 3;
constexpr int kWorkers = 30;
constexpr int kManyWorkers = 80;
constexpr int64_t kStopUs = 400 * kMs;
/* From the loss to the claim of the next owner, and what it waits then. */
constexpr int64_t kClaimedUs = 1250 * kMs;
constexpr int64_t kHeldUs = 6400 * kMs;
constexpr int64_t kMaxWithoutRunUs = 9 * kS;

class LostAdvice : public Pool
{
      protected:
	struct Asked {
		struct wp_advice_request request;
		int64_t answer_us;
	};

	void
	add_lasting(int n, const struct jb_progress *progress)
	{
		struct jb_spec *s = spec(
		    job_id(n), {{kTasks, 4500, JB_LONG_RUNNING}}, kValidMs);

		s->policy.advice_decide_us = kDecideUs;
		s->policy.advice_period_us = kPeriodUs;
		s->policy.priority = 1;
		wp_add_job(p, s, progress, progress == nullptr, 0, now);
	}

	/* Three workers in ten; the answer for a step doesn't change. */
	static bool
	is_approved(const struct wp_advice_request &r, const char *worker)
	{
		return (atoi(worker + 1) + atoi(r.job + 8)) % 10 < 3;
	}

	/* Each caller has one request answered at a time. */
	void
	ask()
	{
		struct wp_advice_request r;

		while (wp_next_advice_request(p, now, &r)) {
			int64_t &free_us =
			    *std::min_element(caller.begin(), caller.end());

			free_us = std::max(free_us, now) + kDecideUs +
			    kPeriodUs * r.worker_count;
			asked.push_back({r, free_us});
			requests++;
		}
	}

	void
	answer_advice()
	{
		std::vector<Asked> later;

		for (const Asked &a : asked) {
			std::vector<struct wp_approval> ok;

			if (a.answer_us > now) {
				later.push_back(a);
				continue;
			}
			for (uint32_t i = 0; i < a.request.worker_count; i++) {
				if (is_approved(a.request, a.request.worker[i]))
					ok.push_back(
					    {a.request.worker[i], "ticket"});
			}
			wp_on_advice(p, &a.request, true, ok.data(),
			    (uint32_t)ok.size(), now, now);
		}
		asked = later;
	}

	uint32_t
	percent_of(const struct wp_task *t) const
	{
		int64_t estimate_us = t->step->spec->estimate_ms * kMs;

		if (estimate_us == 0)
			return 100;
		return (uint32_t)((now - t->started_us) * 100 / estimate_us);
	}

	/* A run that is being stopped goes on for a while. */
	std::vector<Running>
	runs_on(const struct wp_worker *w)
	{
		std::vector<Running> rows;

		for (const struct wp_task *t = w->tasks; t != nullptr;
		     t = t->next) {
			bool stopped = t->state == WP_TASK_STOPPING;

			if (stopped && now - stopped_us[t] >= kStopUs)
				continue;
			if (t->state == WP_TASK_RUNNING || stopped)
				rows.push_back({t->step->occ->job->spec->id,
				    t->step->number, t->index, t->run, 0,
				    percent_of(t)});
		}
		return rows;
	}

	void
	renew_all()
	{
		struct wp_worker *w;
		struct wp_worker *tmp;

		HASH_ITER(hh, p->workers, w, tmp) {
			if (silent.count(w->id) == 0)
				renew_lease(w->id, runs_on(w));
		}
	}

	void
	play(int64_t until_us)
	{
		while (now < until_us) {
			for (const struct wp_order *o : tick(50 * kMs)) {
				struct wp_task *t = wp_find_task(p, &o->ref);

				if (o->kind == WP_ORDER_STOP) {
					stopped_us.emplace(t, now);
					stops++;
				}
				answer(o,
				    silent.count(o->worker) > 0 ? WP_NO_ANSWER
								: WP_ACCEPTED);
			}
			answer_advice();
			renew_all();
			ask();
			commit();
		}
	}

	bool
	is_at_work(int n, uint32_t index)
	{
		const struct wp_task *t = task(job_id(n), 0, index);

		return t->state == WP_TASK_RUNNING &&
		    silent.count(t->worker->id) == 0;
	}

	/* Jobs of which the first task has no run. */
	int
	lost_jobs()
	{
		int lost = 0;

		for (int n = 1; n <= kJobs; n++)
			lost += !is_at_work(n, 0);
		return lost;
	}

	void
	add_workers(int count = kWorkers)
	{
		for (int n = 0; n < count; n++)
			add_worker("w" + std::to_string(n), 16000);
	}

	/* An owner that takes over; one task of each job was on a lost worker. */
	void
	take_over(bool full)
	{
		create_pool(1, kStart + kHeldUs);
		wp_add_registered_worker(p, "gone", "127.0.0.1:2", now);
		wp_registry_loaded(p);
		add_workers();
		silent = {"gone"};
		for (int n = 1; n <= kJobs; n++)
			add_inherited(n);
		if (full)
			add(kOther, {{400, 2000}})->spec->step[0].estimate_ms =
			    25000;
	}

	void
	add_inherited(int n)
	{
		struct jb_task_progress row[kTasks] = {};
		struct jb_progress progress = {JB_RUNNING, true, row, kTasks};

		for (uint32_t i = 0; i < kTasks; i++) {
			row[i].index = i;
			row[i].run = 1;
		}
		add_lasting(n, &progress);
		for (uint32_t i = 1; i < kTasks; i++) {
			struct wp_worker *w = wp_find_worker(p,
			    ("w" + std::to_string((3 * n + i) % kWorkers))
				.c_str());

			wp_task_adopt(task(job_id(n), 0, i), w, 1, now);
		}
	}

	std::set<std::string> silent;
	std::vector<int64_t> caller = std::vector<int64_t>(kCallers);
	std::vector<Asked> asked;
	std::map<const struct wp_task *, int64_t> stopped_us;
	int requests = 0;
	int stops = 0;
};

/* LOST: advice was asked for only once the tasks might start. */
TEST_F(LostAdvice, TasksHeldByATakeoverRunAgainWithin9Seconds)
{
	take_over(false);
	play(kStart + kMaxWithoutRunUs - kClaimedUs);
	EXPECT_EQ(lost_jobs(), 0);
}

TEST_F(LostAdvice, TasksHeldByATakeoverOfAFullPoolRunAgainWithin9Seconds)
{
	take_over(true);
	play(kStart + kMaxWithoutRunUs - kClaimedUs);
	EXPECT_EQ(lost_jobs(), 0);
}

/* Each request would be for nothing if its worker were only slow to answer. */
TEST_F(LostAdvice, NothingIsAskedForBeforeWorkersHaveHadTimeToAnswer)
{
	take_over(false);
	play(kStart + 3 * kS);
	EXPECT_EQ(requests, 0);
}

TEST_F(LostAdvice, OneRequestForEachStepIsEnoughInAPoolWithRoom)
{
	take_over(false);
	play(kStart + kHeldUs + 2 * kS);
	EXPECT_EQ(lost_jobs(), 0);
	EXPECT_EQ(requests, kJobs);
}

TEST_F(LostAdvice, NothingIsAskedForForACancelledJob)
{
	take_over(false);
	wp_cancel_job(p, wp_find_job(p, job_id(1).c_str()), now);
	play(kStart + kHeldUs);
	EXPECT_EQ(requests, kJobs - 1);
}

/* A crash of one worker, beside its owner that goes on. */
TEST_F(LostAdvice, TasksOfASilentWorkerRunAgainAsSoonAsItsLeaseHasExpired)
{
	create_pool();
	add_workers();
	add_lasting(1, nullptr);
	/* Younger tasks are suspected of the crash. */
	play(kStart + 6 * kS);
	ASSERT_TRUE(is_at_work(1, 0));
	silent = {task(job_id(1), 0, 0)->worker->id};
	renewal_overdue(*silent.begin());
	play(now + WP_LEASE_US + 500 * kMs);
	for (uint32_t i = 0; i < kTasks; i++)
		EXPECT_TRUE(is_at_work(1, i)) << i;
}

TEST_F(LostAdvice, RoomIsMadeForHeldTasksOnlyShortlyBeforeTheyMayStart)
{
	take_over(true);
	play(kStart + kHeldUs - 1 * kS);
	EXPECT_EQ(stops, 0);
	play(kStart + kHeldUs);
	EXPECT_GT(stops, 0);
}

/* It avoids the worker on which it failed, and may start elsewhere at once. */
TEST_F(LostAdvice, RequestForATaskWhoseRunFailedGoesFirst)
{
	struct wp_advice_request r;

	create_pool();
	add_workers();
	add_lasting(1, nullptr);
	play(kStart + 6 * kS);
	std::string id = task(job_id(1), 0, 0)->worker->id;
	std::vector<Running> others = runs_on(wp_find_worker(p, id.c_str()));
	others.erase(others.begin());
	renew_lease(id, others, {{1, job_id(1), 0, 0, 1, WP_END_FAILED}});
	ASSERT_EQ(task(job_id(1), 0, 0)->state, WP_TASK_WAITING);
	ASSERT_EQ(task(job_id(1), 0, 1)->state, WP_TASK_RUNNING);
	tick(100 * kMs);
	ASSERT_TRUE(wp_next_advice_request(p, now, &r));
	EXPECT_TRUE(r.urgent);
}

/* LOST: tickets had expired when the turn of their tasks came to be planned. */
TEST_F(LostAdvice, ManyTasksOfSilentWorkersOfAFullPoolRunAgainWithin9Seconds)
{
	int lost = 0;

	create_pool();
	caller.resize(kManyCallers);
	add_workers(kManyWorkers);
	for (int n = 1; n <= kManyJobs; n++)
		add_lasting(n, nullptr);
	play(kStart + 12 * kS);
	add(kOther, {{700, 2000}})->spec->step[0].estimate_ms = 25000;
	play(now + 4 * kS);
	for (int n = 1; n <= kManyJobs; n++) {
		for (uint32_t i = 0; i < kTasks; i++)
			silent.insert(task(job_id(n), 0, i)->worker->id);
	}
	for (const std::string &id : silent)
		renewal_overdue(id);
	play(now + kMaxWithoutRunUs);
	for (int n = 1; n <= kManyJobs; n++) {
		for (uint32_t i = 0; i < kTasks; i++)
			lost += !is_at_work(n, i);
	}
	EXPECT_EQ(lost, 0);
}

} // namespace
