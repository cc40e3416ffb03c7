#include <string.h>
#include <utlist.h>

#include "state/shard_internal.h"

#define SH_MAX_FAILURES 3

struct sh_task *
sh_find_task(struct sh_shard *sh, const struct sh_ref *ref)
{
	struct sh_job *job = sh_find_job(sh, ref->job);

	if (job == NULL || ref->index >= job->spec->count)
		return NULL;
	return &job->task[ref->index];
}

bool
sh_task_matches(
    const struct sh_task *task, const struct sh_ref *ref, uint32_t w)
{
	return task != NULL && task->worker == w &&
	    task->attempt == ref->attempt;
}

static void
sh_ack_add(struct sh_shard *sh, uint32_t w, const struct sh_ref *ref)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_ack *ack;

	ack = talloc_zero(sh, struct sh_ack);
	ack->job = talloc_strdup(ack, ref->job);
	ack->index = ref->index;
	ack->attempt = ref->attempt;
	ack->record_number = sh->last_number;
	LL_PREPEND(wk->acks, ack);
	wk->ack_count++;
	wk->send_needed = true;
}

static bool
sh_ack_known(const struct sh_worker *wk, const struct sh_ref *ref)
{
	const struct sh_ack *ack;

	LL_FOREACH(wk->acks, ack) {
		if (ack->attempt == ref->attempt && ack->index == ref->index &&
		    strcmp(ack->job, ref->job) == 0)
			return true;
	}
	return false;
}

void
sh_remove_acked(struct sh_shard *sh, struct sh_worker *wk,
    const struct sh_sync_reply *reply)
{
	struct sh_ack *ack;
	struct sh_ack *next;
	size_t i;

	/* The worker no longer reports an outcome once it has the ack. */
	LL_FOREACH_SAFE(wk->acks, ack, next) {
		if (ack->record_number > sh->committed)
			continue;
		for (i = 0; i < reply->ended_count; i++) {
			if (reply->ended[i].ref.attempt == ack->attempt &&
			    reply->ended[i].ref.index == ack->index &&
			    strcmp(reply->ended[i].ref.job, ack->job) == 0)
				break;
		}
		if (i < reply->ended_count)
			continue;
		LL_DELETE(wk->acks, ack);
		wk->ack_count--;
		talloc_free(ack);
	}
}

void
sh_orphan_add(struct sh_shard *sh, uint32_t w, const struct sh_ref *ref)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_orphan *s;

	LL_FOREACH(wk->orphans, s) {
		if (s->attempt == ref->attempt && s->index == ref->index &&
		    strcmp(s->job, ref->job) == 0)
			return;
	}
	s = talloc_zero(sh, struct sh_orphan);
	s->job = talloc_strdup(s, ref->job);
	s->index = ref->index;
	s->attempt = ref->attempt;
	LL_PREPEND(wk->orphans, s);
	wk->send_needed = true;
}

static void
sh_orphan_remove(struct sh_shard *sh, uint32_t w, const struct sh_ref *ref)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_orphan *s;
	struct sh_orphan *next;

	LL_FOREACH_SAFE(wk->orphans, s, next) {
		if (s->attempt != ref->attempt || s->index != ref->index ||
		    strcmp(s->job, ref->job) != 0)
			continue;
		LL_DELETE(wk->orphans, s);
		talloc_free(s);
	}
}

static bool
sh_retry_after_failure(const struct sh_task *task)
{
	if (task->job->spec->kind == ST_SERVICE)
		return true;
	return task->job->spec->idempotent && task->failures < SH_MAX_FAILURES;
}

static void
sh_apply_outcome(struct sh_shard *sh, struct sh_task *task,
    enum st_result result, int64_t now_us)
{
	if (result == ST_RESULT_CANCELLED) {
		if (task->job->cancelled)
			sh_task_end(sh, task, ST_RESULT_CANCELLED, now_us);
		else if (task->job->spec->idempotent)
			sh_task_requeue(sh, task);
		else
			sh_task_end(sh, task, ST_RESULT_UNKNOWN, now_us);
		return;
	}
	if (result == ST_RESULT_FAILED && task->failures < UINT8_MAX)
		task->failures++;
	if (task->job->spec->kind == ST_SERVICE ||
	    (result == ST_RESULT_FAILED && sh_retry_after_failure(task))) {
		sh_task_requeue(sh, task);
		return;
	}
	if (result == ST_RESULT_DONE && task->state == SH_RUNNING)
		sh_learn_run(sh, task, now_us - task->started_us);
	sh_task_end(sh, task, result, now_us);
}

/*
 * Outcome of a run that is not assigned to the reporting worker. It may still
 * end a task that is unreconciled, waits again, or has an unknown result.
 */
static void
sh_apply_late_outcome(struct sh_shard *sh, struct sh_task *task,
    const struct sh_ended *ended, int64_t now_us)
{
	bool same = task->attempt == ended->ref.attempt;

	if (ended->result == ST_RESULT_CANCELLED)
		return;
	if (task->state == SH_UNRECONCILED &&
	    (same || task->job->spec->idempotent)) {
		task->attempt = ended->ref.attempt;
		sh_apply_outcome(sh, task, ended->result, now_us);
	} else if (task->state == SH_ENDED && same &&
	    task->result == ST_RESULT_UNKNOWN) {
		sh_task_end(sh, task, ended->result, now_us);
	} else if (task->state == SH_WAITING && !task->job->cancelled &&
	    ended->result == ST_RESULT_DONE &&
	    task->job->spec->kind != ST_SERVICE) {
		task->attempt = ended->ref.attempt;
		sh_task_end(sh, task, ST_RESULT_DONE, now_us);
	}
}

void
sh_handle_ended(struct sh_shard *sh, uint32_t w, const struct sh_ended *ended,
    int64_t now_us)
{
	struct sh_task *task;

	if (sh_ack_known(&sh->worker[w], &ended->ref))
		return;
	sh_orphan_remove(sh, w, &ended->ref);
	task = sh_find_task(sh, &ended->ref);
	if (sh_task_matches(task, &ended->ref, w)) {
		sh_worker_record_result(sh, task, ended->result, now_us);
		sh_apply_outcome(sh, task, ended->result, now_us);
	} else if (task != NULL) {
		sh_apply_late_outcome(sh, task, ended, now_us);
	}
	sh_ack_add(sh, w, &ended->ref);
}

void
sh_worker_outcomes(struct sh_shard *sh, uint32_t w,
    const struct sh_ended *ended, size_t count, int64_t now_us)
{
	size_t i;

	for (i = 0; i < count; i++)
		sh_handle_ended(sh, w, &ended[i], now_us);
	sh_worker_update_usable(sh, w, now_us);
}
