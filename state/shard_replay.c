#include <stdlib.h>
#include <string.h>

#include "state/shard_internal.h"

static void
sh_apply_task(struct sh_shard *sh, const struct rc_record *r)
{
	struct sh_job *job = sh_find_job(sh, r->job);
	struct sh_task *task;

	if (job == NULL || r->index >= job->spec->count)
		return;
	task = &job->task[r->index];
	TALLOC_FREE(task->logged_worker);
	task->attempt = r->attempt;
	switch (r->kind) {
	case RC_TASK_STARTING:
		sh_task_set_state(task, SH_UNRECONCILED);
		task->start_logged = true;
		if (r->worker != NULL)
			task->logged_worker = talloc_strdup(job, r->worker);
		break;
	case RC_TASK_REQUEUED:
		sh_task_set_state(task, SH_WAITING);
		task->start_logged = false;
		break;
	default:
		sh_task_set_state(task, SH_ENDED);
		task->result = r->result;
		job->results[r->result]++;
		break;
	}
}

static void
sh_apply_claim(struct sh_shard *sh, const struct rc_record *r)
{
	struct cl_claim *c;

	if (r->kind == RC_CLAIM_TAKEN) {
		cl_take(sh->claims, r->key, r->body_hash, (int64_t)r->attempt,
		    r->deadline_wall_us, INT64_MIN, &c);
		return;
	}
	c = cl_find(sh->claims, r->key);
	if (c == NULL)
		return;
	if (r->result == ST_RESULT_NONE) {
		cl_remove(sh->claims, c);
		return;
	}
	cl_end(sh->claims, c, r->result, r->status, r->response,
	    r->response_bytes);
	c->response_kept = r->index == 1;
}

void
sh_apply(struct sh_shard *sh, const struct rc_record *r)
{
	struct sh_job *job;

	switch (r->kind) {
	case RC_SEAL:
		sh->sealed_workers_hash = r->body_hash;
		break;
	case RC_JOB_ACCEPTED:
		if (sh_find_job(sh, r->spec->id) == NULL)
			sh_job_create(sh, r->spec, 0);
		break;
	case RC_TASK_STARTING:
	case RC_TASK_REQUEUED:
	case RC_TASK_ENDED:
		sh_apply_task(sh, r);
		break;
	case RC_JOB_CANCELLED:
		job = sh_find_job(sh, r->job);
		if (job != NULL)
			job->cancelled = true;
		break;
	case RC_CLAIM_TAKEN:
	case RC_CLAIM_ENDED:
		sh_apply_claim(sh, r);
		break;
	case RC_JOB_FORGOTTEN:
		job = sh_find_job(sh, r->job);
		if (job == NULL)
			break;
		HASH_DEL(sh->jobs, job);
		talloc_free(job);
		break;
	}
}

/*
 * An idempotent task may start before its start record is durable, so any of
 * them may be running. Other tasks start only after that: without a record in
 * the sealed log, such a task was not started.
 */
static void
sh_activate_job(struct sh_shard *sh, struct sh_job *job, int64_t now_us)
{
	uint32_t i;

	job->accepted_us = now_us;
	for (i = 0; i < job->spec->count; i++) {
		struct sh_task *task = &job->task[i];

		if (task->state == SH_WAITING && job->spec->idempotent)
			sh_task_set_state(task, SH_UNRECONCILED);
		if (task->state == SH_WAITING && job->cancelled) {
			sh_task_set_state(task, SH_ENDED);
			task->result = ST_RESULT_CANCELLED;
			job->results[ST_RESULT_CANCELLED]++;
		}
		if (task->state == SH_UNRECONCILED)
			sh->unreconciled_count++;
	}
	if (job->unfinished == 0)
		job->ended_us = now_us;
	sh_queue_update(job);
}

void
sh_activate(struct sh_shard *sh, uint64_t epoch, int64_t now_us)
{
	struct sh_job *job;
	uint32_t w;

	sh->epoch = epoch;
	sh->now_us = now_us;
	sh->next_attempt = 0;
	sh->active = true;
	sh->pass_needed = true;
	sh->unreconciled_count = 0;
	for (job = sh->jobs; job != NULL; job = job->hh.next)
		sh_activate_job(sh, job, now_us);
	/*
	 * A worker that is no longer configured may run tasks until its lease
	 * from the earlier epoch expires.
	 */
	if (sh->sealed_workers_hash != sh->workers_hash)
		sh->removed_workers_until_us =
		    now_us + sh_lease_with_margin_us(sh);
	for (w = 0; w < sh->worker_count; w++) {
		sh->worker[w].state = SH_W_UNFENCED;
		sh->worker[w].want_inventory = true;
		sh->worker[w].sync_at_us = now_us;
	}
}

struct rc_record *
sh_seal_record(TALLOC_CTX *ctx, const struct sh_shard *sh)
{
	struct rc_record *r;

	r = talloc_zero(ctx, struct rc_record);
	if (r == NULL)
		abort();
	r->kind = RC_SEAL;
	r->epoch = sh->epoch;
	r->body_hash = sh->workers_hash;
	return r;
}

static struct rc_record *
sh_snapshot_task(
    TALLOC_CTX *ctx, const struct sh_shard *sh, const struct sh_task *task)
{
	struct rc_record *r;

	if (task->state == SH_WAITING ||
	    (task->state == SH_UNRECONCILED && !task->start_logged))
		return NULL;
	/* The job's cancellation record covers it. */
	if (task->state == SH_ENDED && task->attempt == 0 &&
	    task->result == ST_RESULT_CANCELLED)
		return NULL;
	r = sh_task_record(ctx, sh,
	    task->state == SH_ENDED ? RC_TASK_ENDED : RC_TASK_STARTING, task);
	r->epoch = sh->epoch;
	if (task->worker == PL_NONE && task->logged_worker != NULL)
		r->worker = talloc_strdup(r, task->logged_worker);
	return r;
}

struct snapshot_list {
	struct rc_record **list;
	size_t count;
};

static void
sh_snapshot_add(struct snapshot_list *s, struct rc_record *r)
{
	if (r == NULL)
		return;
	if (s->count == talloc_array_length(s->list))
		s->list = talloc_realloc(NULL, s->list, struct rc_record *,
		    (unsigned int)(s->count * 2 + 64));
	if (s->list == NULL)
		abort();
	s->list[s->count++] = talloc_steal(s->list, r);
}

static void
sh_snapshot_job(
    struct sh_shard *sh, struct sh_job *job, struct snapshot_list *s)
{
	struct rc_record *r;
	uint32_t i;

	r = talloc_zero(NULL, struct rc_record);
	r->kind = RC_JOB_ACCEPTED;
	r->epoch = sh->epoch;
	r->spec = rc_dup_spec(r, job->spec);
	sh_snapshot_add(s, r);
	if (job->cancelled) {
		r = talloc_zero(NULL, struct rc_record);
		r->kind = RC_JOB_CANCELLED;
		r->epoch = sh->epoch;
		r->job = talloc_strdup(r, job->spec->id);
		sh_snapshot_add(s, r);
	}
	for (i = 0; i < job->spec->count; i++)
		sh_snapshot_add(s, sh_snapshot_task(NULL, sh, &job->task[i]));
}

static void
sh_snapshot_claim(
    struct sh_shard *sh, const struct cl_claim *c, struct snapshot_list *s)
{
	struct rc_record *r;

	r = talloc_zero(NULL, struct rc_record);
	r->kind = RC_CLAIM_TAKEN;
	r->epoch = sh->epoch;
	r->key = talloc_strdup(r, c->key);
	r->body_hash = c->body_hash;
	r->attempt = (uint64_t)c->unknown_wall_us;
	r->deadline_wall_us = c->expires_wall_us;
	sh_snapshot_add(s, r);
	if (c->state != CL_ENDED)
		return;
	r = talloc_zero(NULL, struct rc_record);
	r->kind = RC_CLAIM_ENDED;
	r->epoch = sh->epoch;
	r->key = talloc_strdup(r, c->key);
	r->result = c->result;
	r->status = c->status;
	r->index = c->response_kept ? 1 : 0;
	if (c->response_bytes > 0)
		r->response = talloc_memdup(r, c->response, c->response_bytes);
	r->response_bytes = c->response_bytes;
	sh_snapshot_add(s, r);
}

struct rc_record **
sh_snapshot(struct sh_shard *sh, TALLOC_CTX *ctx, size_t *count, int64_t now_us,
    int64_t keep_ended_us)
{
	struct snapshot_list s = {0};
	struct sh_job *job;
	struct sh_job *next;
	struct cl_claim *c;

	s.list = talloc_array(NULL, struct rc_record *, 64);
	sh_snapshot_add(&s, sh_seal_record(NULL, sh));
	HASH_ITER(hh, sh->jobs, job, next) {
		if (sh_job_ended(sh, job) && !job->cancel_queued &&
		    now_us - job->ended_us >= keep_ended_us) {
			HASH_DEL(sh->jobs, job);
			talloc_free(job);
			continue;
		}
		sh_snapshot_job(sh, job, &s);
	}
	for (c = sh->claims->by_key; c != NULL; c = c->hh.next)
		sh_snapshot_claim(sh, c, &s);
	*count = s.count;
	return talloc_steal(ctx, s.list);
}
