#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/shard_internal.h"

#define SH_QUARANTINE_AFTER 3
#define SH_QUARANTINE_US (30 * CLK_US_PER_S)
#define SH_MAX_QUARANTINE_SHIFT 4
/* A task that has run for so long after a quarantine ends the probing as well. */
#define SH_PROBE_US (30 * CLK_US_PER_S)
#define SH_DRIFT_DIVISOR 64

/* The oldest task that it got after its quarantine, or NULL. */
static const struct sh_task *
sh_find_probe(const struct sh_worker *wk)
{
	const struct sh_task *oldest = NULL;
	const struct sh_task *task;

	DL_FOREACH(wk->tasks, task) {
		if (task->started_us < wk->quarantined_until_us)
			continue;
		if (oldest == NULL || task->started_us < oldest->started_us)
			oldest = task;
	}
	return oldest;
}

/* After a quarantine, one task at a time until one succeeds, or lasts. */
static bool
sh_awaits_probe(struct sh_worker *wk, int64_t now_us)
{
	const struct sh_task *probe;

	if (!wk->probing)
		return false;
	probe = sh_find_probe(wk);
	if (probe == NULL)
		return false;
	wk->probing = probe->state != SH_RUNNING ||
	    now_us - probe->started_us < SH_PROBE_US;
	return wk->probing;
}

void
sh_worker_update_usable(struct sh_shard *sh, uint32_t w, int64_t now_us)
{
	struct sh_worker *wk = &sh->worker[w];
	bool usable;

	usable = wk->state == SH_W_USABLE && !wk->leaving &&
	    !wk->want_inventory && now_us >= wk->quarantined_until_us &&
	    now_us >= wk->avoid_until_us;
	if (sh_awaits_probe(wk, now_us))
		usable = false;
	if (usable && !sh->table->worker[w].usable)
		sh->pass_needed = true;
	sh->table->worker[w].usable = usable;
}

static bool
sh_is_movable(const struct sh_task *task)
{
	return task->job->spec->idempotent && !task->stop;
}

void
sh_drain(struct sh_shard *sh, uint32_t w)
{
	struct sh_task *task;
	struct sh_task *next;

	DL_FOREACH_SAFE(sh->worker[w].tasks, task, next) {
		if (task->first_seq == 0) {
			sh_task_requeue(sh, task);
			continue;
		}
		if (!sh_is_movable(task))
			continue;
		task->stop = true;
		task->requeue = true;
	}
	sh->worker[w].send_needed = true;
}

void
sh_set_leaving(struct sh_shard *sh, uint32_t w, bool leaving)
{
	if (sh->worker[w].leaving == leaving)
		return;
	sh->worker[w].leaving = leaving;
	sh_worker_update_usable(sh, w, sh->now_us);
	if (leaving)
		sh_drain(sh, w);
}

int64_t
sh_lease_with_margin_us(const struct sh_shard *sh)
{
	return sh->settings.lease_us +
	    sh->settings.lease_us / SH_DRIFT_DIVISOR + sh->settings.drift_us;
}

void
sh_previous_owner_stopped(struct sh_shard *sh, int64_t now_us)
{
	uint32_t w;
	int64_t expires_us;

	expires_us = now_us + sh_lease_with_margin_us(sh);
	for (w = 0; w < sh->worker_count; w++) {
		struct sh_worker *wk = &sh->worker[w];

		if (wk->state == SH_W_UNFENCED && wk->lease_expires_us == 0)
			wk->lease_expires_us = expires_us;
	}
}

/* The task has certainly stopped, and its outcome was not reported. */
void
sh_task_lost(struct sh_shard *sh, struct sh_task *task, int64_t now_us)
{
	if (task->first_seq == 0 || task->job->spec->idempotent)
		sh_task_requeue(sh, task);
	else
		sh_task_end(sh, task, ST_RESULT_UNKNOWN, now_us);
}

static void
sh_worker_lost(struct sh_shard *sh, uint32_t w, int64_t now_us)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_task *task;
	struct sh_task *next;

	wk->state = SH_W_LOST;
	wk->want_inventory = true;
	wk->lease_expires_us = 0;
	DL_FOREACH_SAFE(wk->tasks, task, next)
		sh_task_lost(sh, task, now_us);
	sh_worker_update_usable(sh, w, now_us);
}

static bool
sh_all_reconciled(const struct sh_shard *sh)
{
	uint32_t w;

	for (w = 0; w < sh->worker_count; w++) {
		const struct sh_worker *wk = &sh->worker[w];

		if (wk->state == SH_W_UNFENCED ||
		    (wk->state == SH_W_USABLE && wk->want_inventory))
			return false;
	}
	return true;
}

static bool
sh_worker_reconciled(const struct sh_shard *sh, const char *id)
{
	uint32_t w;

	for (w = 0; w < sh->worker_count; w++) {
		const struct sh_worker *wk = &sh->worker[w];

		if (strcmp(wk->id, id) != 0)
			continue;
		return wk->state == SH_W_LOST ||
		    (wk->state == SH_W_USABLE && !wk->want_inventory);
	}
	/* It is no longer configured, so its own state is not known. */
	return sh_all_reconciled(sh);
}

static void
sh_reconcile_task(
    struct sh_shard *sh, struct sh_task *task, bool all, int64_t now_us)
{
	if (task->job->spec->idempotent) {
		if (all)
			sh_task_requeue(sh, task);
		return;
	}
	/* It was started on the logged worker or not at all. */
	if (!all &&
	    (task->logged_worker == NULL ||
		!sh_worker_reconciled(sh, task->logged_worker)))
		return;
	sh_task_end(sh, task, ST_RESULT_UNKNOWN, now_us);
}

static void
sh_reconcile_tasks(struct sh_shard *sh, int64_t now_us)
{
	bool all =
	    sh_all_reconciled(sh) && now_us >= sh->removed_workers_until_us;
	struct sh_job *job;
	uint32_t i;

	for (job = sh->jobs; job != NULL; job = job->hh.next) {
		if (job->unfinished == job->waiting)
			continue;
		for (i = 0; i < job->spec->count; i++) {
			if (job->task[i].state == SH_UNRECONCILED)
				sh_reconcile_task(
				    sh, &job->task[i], all, now_us);
		}
	}
}

void
sh_workers_tick(struct sh_shard *sh, int64_t now_us)
{
	uint32_t w;

	for (w = 0; w < sh->worker_count; w++) {
		struct sh_worker *wk = &sh->worker[w];

		if (wk->state != SH_W_LOST && wk->lease_expires_us != 0 &&
		    now_us >= wk->lease_expires_us)
			sh_worker_lost(sh, w, now_us);
		sh_worker_update_usable(sh, w, now_us);
	}
	if (sh->unreconciled_count > 0)
		sh_reconcile_tasks(sh, now_us);
}

/*
 * Whether a failure counts towards the worker's quarantine. The failures of a
 * job that fails on SH_MAX_FAILED_WORKERS workers do not: the job is the likely
 * cause. Until a task of the job has succeeded, only its first failure on each
 * worker counts.
 */
static bool
sh_counts_against_worker(struct sh_job *job, uint32_t w)
{
	uint32_t i;

	if (job->failed_worker_count == SH_MAX_FAILED_WORKERS)
		return false;
	for (i = 0; i < job->failed_worker_count; i++) {
		if (job->failed_workers[i] == w)
			return job->results[ST_RESULT_DONE] > 0;
	}
	job->failed_workers[job->failed_worker_count++] = w;
	return job->failed_worker_count < SH_MAX_FAILED_WORKERS;
}

void
sh_worker_record_result(struct sh_shard *sh, struct sh_task *task,
    enum st_result result, int64_t now_us)
{
	uint32_t w = task->worker;
	struct sh_worker *wk = &sh->worker[w];
	uint32_t shift;

	if (result == ST_RESULT_DONE) {
		wk->consecutive_failures = 0;
		wk->quarantines = 0;
		wk->probing = false;
		return;
	}
	if (result != ST_RESULT_FAILED)
		return;
	/* The task started before the quarantine and adds nothing new. */
	if (now_us < wk->quarantined_until_us)
		return;
	if (!sh_counts_against_worker(task->job, w))
		return;
	wk->consecutive_failures++;
	if (wk->consecutive_failures < SH_QUARANTINE_AFTER && !wk->probing)
		return;
	shift = wk->quarantines < SH_MAX_QUARANTINE_SHIFT
	    ? wk->quarantines
	    : SH_MAX_QUARANTINE_SHIFT;
	wk->quarantines++;
	wk->consecutive_failures = 0;
	wk->probing = true;
	wk->quarantined_until_us = now_us + (SH_QUARANTINE_US << shift);
}
