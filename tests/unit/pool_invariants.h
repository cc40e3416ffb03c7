#ifndef TESTS_UNIT_POOL_INVARIANTS_H
#define TESTS_UNIT_POOL_INVARIANTS_H

#include <set>
#include <string>

extern "C" {
#include "state/pool_internal.h"
}

/*
 * What has to hold in a pool after each event: a task that may run is where it
 * can start, or something that is sure to come ends the state that keeps it from
 * that. The counts that decide it are made anew from the tasks.
 */
class PoolInvariants
{
      public:
	/* What does not hold, or an empty text. */
	static std::string
	find_fault(struct wp_pool *p)
	{
		PoolInvariants check(p);

		check.check_lists();
		check.check_jobs();
		check.check_workers();
		return check.fault;
	}

      private:
	explicit PoolInvariants(struct wp_pool *pool) : p(pool)
	{
	}

	void
	expect(bool holds, const struct wp_step *s, const std::string &what)
	{
		if (holds || !fault.empty())
			return;
		fault = what;
		if (s != nullptr)
			fault += std::string(" (job ") + s->occ->job->spec->id +
			    " step " + std::to_string(s->number) + ")";
	}

	void
	check_lists()
	{
		const struct wp_step *s;
		const struct wp_task *t;

		for (t = p->suspects; t != nullptr; t = t->crash_next)
			suspects.insert(t);
		for (s = p->ready; s != nullptr; s = s->next)
			expect(ready.insert(s).second, s, "listed twice");
		for (s = p->upcoming; s != nullptr; s = s->upcoming_next)
			expect(upcoming.insert(s).second, s, "upcoming twice");
	}

	/* Each of these states is ended by an answer, a deadline or a report. */
	void
	check_order(const struct wp_task *t)
	{
		bool awaited = t->order_in_flight || t->resend_at_us != 0;

		expect(t->worker != nullptr, t->step, "no worker");
		if (t->worker == nullptr)
			return;
		if (t->state == WP_TASK_STARTING)
			expect(awaited || t->in_doubt, t->step,
			    "nothing ends its start");
		if (t->state == WP_TASK_STOPPING)
			expect(awaited || t->stopped_clock_ms > 0, t->step,
			    "nothing ends its stop");
	}

	void
	check_task(const struct wp_task *t)
	{
		switch (t->state) {
		case WP_TASK_STARTING:
		case WP_TASK_RUNNING:
		case WP_TASK_STOPPING:
			check_order(t);
			break;
		case WP_TASK_UNRECONCILED:
			expect(!p->reconciled, t->step, "held for ever");
			/* fallthrough */
		case WP_TASK_WAITING:
		case WP_TASK_CANCELLED:
			expect(
			    t->worker == nullptr, t->step, "still on a worker");
			break;
		case WP_TASK_DONE:
			break;
		}
		expect((t->crash_count > 0) == (suspects.count(t) > 0), t->step,
		    "list of suspects");
	}

	void
	check_advice(const struct wp_step *s)
	{
		uint32_t requested = 0;

		for (uint32_t i = 0; i < s->ticket_count; i++) {
			const struct wp_worker *w =
			    p->worker_by_index[s->ticket[i].worker_index];

			/* It is made anew once its worker has restarted. */
			if (s->ticket[i].incarnation_ms == w->incarnation_ms)
				requested += s->ticket[i].requested;
		}
		if (s->requests_in_flight > 0)
			return;
		expect(s->requested_slots == 0, s, "slots of no request");
		expect(requested == 0, s, "named by no request");
	}

	void
	check_step(const struct wp_step *s)
	{
		uint32_t waiting = 0;
		uint32_t unfinished = 0;
		uint32_t suspected = 0;

		for (uint32_t i = 0; i < s->spec->count; i++) {
			const struct wp_task *t = &s->task[i];

			waiting += t->state == WP_TASK_WAITING;
			unfinished += t->state != WP_TASK_DONE;
			suspected += t->crash_count > 0;
			check_task(t);
		}
		expect(s->waiting == waiting, s, "count of waiting tasks");
		expect(s->unfinished == unfinished, s, "count of open tasks");
		expect(s->suspects == suspected, s, "count of suspects");
		expect((ready.count(s) > 0) == (s->ready && waiting > 0), s,
		    "list of ready steps");
		expect((s->prev != nullptr) == (ready.count(s) > 0), s,
		    "mark of a listed step");
		expect((upcoming.count(s) > 0) == s->upcoming_listed, s,
		    "list of upcoming steps");
		check_advice(s);
	}

	void
	check_jobs()
	{
		struct wp_job *job;

		for (job = p->jobs; job != nullptr;
		     job = (struct wp_job *)job->hh.next) {
			if (jb_has_ended(job->state))
				continue;
			for (uint32_t k = 0; k < jb_occurrences(job->spec);
			     k++) {
				for (uint32_t i = 0; i < job->spec->step_count;
				     i++)
					check_step(&job->occ[k]->step[i]);
			}
		}
	}

	void
	check_workers()
	{
		const struct wp_worker *w;

		for (w = p->workers; w != nullptr;
		     w = (const struct wp_worker *)w->hh.next) {
			struct wp_resources used = {};
			const struct wp_task *t;

			for (t = w->tasks; t != nullptr; t = t->next) {
				struct wp_resources need =
				    wp_task_resources(t->step->spec);

				expect(t->worker == w, t->step, "on another");
				wp_resources_add(&used, &need, 1);
			}
			expect(used.cpu_mcpu == w->used.cpu_mcpu &&
				used.mem_mb == w->used.mem_mb &&
				used.gpu == w->used.gpu,
			    nullptr, std::string("resources of ") + w->id);
		}
	}

	struct wp_pool *p;
	std::set<const struct wp_step *> ready;
	std::set<const struct wp_step *> upcoming;
	std::set<const struct wp_task *> suspects;
	std::string fault;
};

#endif
