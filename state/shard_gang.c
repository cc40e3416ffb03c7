#include <stdlib.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/counters.h"
#include "state/shard_internal.h"

#define SH_RESERVATION_SLACK_US (60 * CLK_US_PER_S)
#define SH_RESERVATION_BACKOFF_US (30 * CLK_US_PER_S)
#define SH_OVERRUN_US (10 * CLK_US_PER_S)
#define SH_PREEMPT_BACKOFF_US (2 * CLK_US_PER_S)

/**
 * struct sh_gang_capacity - how much of a gang a worker can run, and from when
 * @worker: row of the worker
 * @tasks: tasks of the gang that fit
 * @free_at_us: when enough tasks should have ended for that
 */
struct sh_gang_capacity {
	uint32_t worker;
	uint64_t tasks;
	int64_t free_at_us;
};

void
sh_reservation_drop(struct sh_shard *sh)
{
	uint32_t w;

	if (sh->reservation.job == NULL)
		return;
	for (w = 0; w < sh->table->count; w++)
		sh->table->worker[w].gang_from_us = 0;
	sh->reservation.job = NULL;
	sh->pass_needed = true;
}

/* Computes the capacity once all tasks with an expected end have ended. */
static void
sh_gang_capacity_compute(const struct sh_shard *sh, uint32_t w,
    const struct st_res *need, int64_t now_us,
    struct sh_gang_capacity *candidate)
{
	struct st_res available = sh->table->worker[w].free;
	const struct sh_task *task;
	int64_t run_us;
	int64_t end_us;

	candidate->worker = w;
	candidate->free_at_us = now_us;
	DL_FOREACH(sh->worker[w].tasks, task) {
		run_us = sh_task_run_us(sh, task->job);
		if (run_us == INT64_MAX)
			continue;
		end_us = task->started_us + run_us;
		if (end_us <= now_us)
			end_us = now_us + SH_OVERRUN_US;
		if (end_us > candidate->free_at_us)
			candidate->free_at_us = end_us;
		st_res_add(&available, &task->reserved);
	}
	candidate->tasks = st_res_count(&available, need);
}

static int
sh_gang_capacity_compare(const void *a, const void *b)
{
	const struct sh_gang_capacity *x = a;
	const struct sh_gang_capacity *y = b;

	if (x->free_at_us != y->free_at_us)
		return x->free_at_us < y->free_at_us ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

static void
sh_reservation_make(struct sh_shard *sh, struct sh_job *job, int64_t now_us)
{
	struct st_res need = sh_task_need(sh, job);
	struct sh_gang_capacity *candidates;
	uint64_t total = 0;
	uint32_t used = 0;
	uint32_t n = 0;
	uint32_t w;

	candidates =
	    talloc_array(sh, struct sh_gang_capacity, sh->table->count);
	if (candidates == NULL)
		return;
	for (w = 0; w < sh->table->count; w++) {
		if (!sh->table->worker[w].usable)
			continue;
		sh_gang_capacity_compute(sh, w, &need, now_us, &candidates[n]);
		if (candidates[n].tasks > 0)
			n++;
	}
	qsort(candidates, n, sizeof(*candidates), sh_gang_capacity_compare);
	while (used < n && total < job->spec->count)
		total += candidates[used++].tasks;
	if (total < job->spec->count)
		goto out;
	sh->reservation.job = job;
	sh->reservation.from_us = candidates[used - 1].free_at_us;
	sh->reservation.deadline_us =
	    sh->reservation.from_us + SH_RESERVATION_SLACK_US;
	while (used > 0)
		sh->table->worker[candidates[--used].worker].gang_from_us =
		    sh->reservation.from_us;
out:
	talloc_free(candidates);
}

static void
sh_preempt_task(struct sh_shard *sh, struct sh_task *task)
{
	ct_add(CT_TASKS_PREEMPTED, 1);
	sh->worker[task->worker].send_needed = true;
	if (task->first_seq == 0) {
		/* The start was not sent, so there is nothing to stop. */
		sh_task_requeue(sh, task);
		return;
	}
	task->stop = true;
	task->requeue = true;
}

static bool
sh_is_preemptible(const struct sh_task *task)
{
	return task->job->spec->idempotent && !task->stop &&
	    task->job->spec->kind == ST_BATCH &&
	    (task->state == SH_RUNNING || task->state == SH_STARTING);
}

/*
 * A gang that lost a task restarts as a whole if it is idempotent. Otherwise
 * the tasks that run go on, and one that certainly did not run joins them
 * later. Returns whether starting the waiting tasks has to be put off.
 */
static bool
sh_gang_restart(struct sh_shard *sh, struct sh_job *job)
{
	bool wait = false;
	uint32_t i;

	for (i = 0; i < job->spec->count; i++) {
		struct sh_task *task = &job->task[i];

		wait |= task->state == SH_UNRECONCILED;
		if (task->worker == PL_NONE || !job->spec->idempotent)
			continue;
		if (!task->stop)
			sh_preempt_task(sh, task);
		wait = true;
	}
	if (wait)
		job->reason = SH_WAIT_RECOVERY;
	return wait;
}

bool
sh_gang_start(struct sh_shard *sh, struct sh_job *job, int64_t now_us)
{
	struct pl_request req = {
	    .need = sh_task_need(sh, job), .ends_us = INT64_MAX};
	uint32_t count = job->waiting;
	uint32_t *rows;
	bool has_reservation = sh->reservation.job == job;
	bool ok = false;
	uint32_t i;

	job->reason = SH_WAIT_GANG;
	job->lacking_resource = req.need.accel > 0 ? "accelerators" : "cpu";
	if (job->unfinished > job->waiting && sh_gang_restart(sh, job))
		return false;
	rows = talloc_array(sh, uint32_t, count);
	if (rows == NULL)
		return false;
	if (has_reservation)
		req.ends_us = INT64_MIN;
	if (pl_reserve_gang(
		sh->table, &req, count, sh->policy, &sh->rng, rows)) {
		uint32_t next_row = 0;

		/* sh_task_assign() reserves for each task itself. */
		for (i = 0; i < count; i++)
			pl_release(sh->table, rows[i], &req.need);
		if (has_reservation)
			sh_reservation_drop(sh);
		for (i = 0; i < job->spec->count; i++) {
			if (job->task[i].state != SH_WAITING)
				continue;
			sh_task_assign(
			    sh, &job->task[i], rows[next_row++], now_us);
		}
		ok = true;
	} else if (sh->reservation.job == NULL &&
	    now_us >= job->next_reservation_us) {
		sh_reservation_make(sh, job, now_us);
	}
	talloc_free(rows);
	return ok;
}

void
sh_gang_tick(struct sh_shard *sh, int64_t now_us)
{
	struct sh_task *task;
	struct sh_task *next;
	uint32_t w;

	if (sh->reservation.job == NULL)
		return;
	if (now_us >= sh->reservation.deadline_us) {
		sh->reservation.job->next_reservation_us =
		    now_us + SH_RESERVATION_BACKOFF_US;
		sh_reservation_drop(sh);
		return;
	}
	if (now_us < sh->reservation.from_us)
		return;
	/* Backfill that still runs must not delay the gang. */
	for (w = 0; w < sh->table->count; w++) {
		if (sh->table->worker[w].gang_from_us == 0)
			continue;
		DL_FOREACH_SAFE(sh->worker[w].tasks, task, next) {
			if (task->backfill && sh_is_preemptible(task))
				sh_preempt_task(sh, task);
		}
	}
}

/*
 * Counts the heavy tasks, in list order, whose preemption lets @need fit.
 * Returns 0 when it fits already or can't be made to fit.
 */
static uint32_t
sh_victims_needed(
    const struct sh_shard *sh, uint32_t w, const struct st_res *need)
{
	struct st_res available = sh->table->worker[w].free;
	const struct sh_task *task;
	uint32_t n = 0;

	DL_FOREACH(sh->worker[w].tasks, task) {
		if (st_res_fits(need, &available))
			return n;
		if (task->job->spec->job_class != ST_HEAVY ||
		    !sh_is_preemptible(task))
			continue;
		st_res_add(&available, &task->reserved);
		n++;
	}
	return st_res_fits(need, &available) ? n : 0;
}

static void
sh_preempt_on_worker(struct sh_shard *sh, uint32_t w, uint32_t victims)
{
	struct sh_task *task;
	struct sh_task *next;

	DL_FOREACH_SAFE(sh->worker[w].tasks, task, next) {
		if (victims == 0)
			return;
		if (task->job->spec->job_class != ST_HEAVY ||
		    !sh_is_preemptible(task))
			continue;
		sh_preempt_task(sh, task);
		victims--;
	}
}

void
sh_preempt(struct sh_shard *sh, struct sh_job *job, int64_t now_us)
{
	struct st_res need = sh_task_need(sh, job);
	uint32_t wanted = job->waiting;
	uint32_t victims;
	uint32_t w;

	if (!sh->policy->preempt_heavy || now_us < job->next_preempt_us)
		return;
	for (w = 0; w < sh->table->count && wanted > 0; w++) {
		if (!sh->table->worker[w].usable)
			continue;
		victims = sh_victims_needed(sh, w, &need);
		if (victims == 0)
			continue;
		sh_preempt_on_worker(sh, w, victims);
		wanted--;
	}
	job->preempting = wanted < job->waiting;
	job->next_preempt_us = now_us + SH_PREEMPT_BACKOFF_US;
}
