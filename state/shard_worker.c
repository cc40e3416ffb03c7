#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/shard_internal.h"

#define SH_RETRY_US (500 * CLK_US_PER_MS)
#define SH_LOST_RETRY_US (2 * CLK_US_PER_S)
#define SH_AVOID_US (CLK_US_PER_S)
/* With fewer acknowledgements, no extra message is sent for them. */
#define SH_ACK_BATCH 32
#define SH_MAX_FAILURES 3
#define SH_QUARANTINE_AFTER 3
#define SH_QUARANTINE_US (30 * CLK_US_PER_S)
#define SH_MAX_QUARANTINE_SHIFT 4
#define SH_DRIFT_DIVISOR 64

void
sh_worker_update_usable(struct sh_shard *sh, uint32_t w, int64_t now_us)
{
	struct sh_worker *wk = &sh->worker[w];
	bool usable;

	usable = wk->state == SH_W_USABLE && !wk->leaving &&
	    !wk->want_inventory && now_us >= wk->quarantined_until_us &&
	    now_us >= wk->avoid_until_us;
	/* After a quarantine, one task at a time until one succeeds. */
	if (wk->probing && wk->tasks != NULL)
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

static void
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

void
sh_request_sync(struct sh_shard *sh, uint32_t w)
{
	sh->worker[w].sync_requested = true;
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
static void
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

static bool
sh_task_sendable(const struct sh_shard *sh, const struct sh_task *task)
{
	if (task->stop)
		return task->state != SH_LOGGING && !task->stop_sent;
	return task->state == SH_STARTING ||
	    (task->state == SH_LOGGING && task->record_number <= sh->committed);
}

static bool
sh_worker_sendable(const struct sh_shard *sh, const struct sh_worker *wk)
{
	const struct sh_task *task;

	if (wk->orphans != NULL || wk->ack_count >= SH_ACK_BATCH)
		return true;
	DL_FOREACH(wk->tasks, task) {
		if (sh_task_sendable(sh, task))
			return true;
	}
	return false;
}

bool
sh_sync_due(const struct sh_shard *sh, uint32_t w, int64_t now_us)
{
	const struct sh_worker *wk = &sh->worker[w];

	if (!sh->active || wk->in_flight)
		return false;
	if (now_us >= wk->sync_at_us)
		return true;
	if (wk->state != SH_W_USABLE)
		return false;
	return wk->sync_requested ||
	    (wk->send_needed && sh_worker_sendable(sh, wk));
}

static void
sh_build_task(struct sh_shard *sh, struct sh_task *task, struct sh_sync *out)
{
	struct sh_ref ref = {task->job->spec->id, task->index, task->attempt};
	struct sh_start *start;

	if (!sh_task_sendable(sh, task))
		return;
	if (task->stop) {
		if (out->stop_count == SH_SYNC_MAX)
			return;
		out->stop[out->stop_count].ref = ref;
		out->stop[out->stop_count++].checkpoint = task->requeue;
		task->stop_sent = true;
		return;
	}
	if (out->start_count == SH_SYNC_MAX)
		return;
	start = &out->start[out->start_count++];
	start->ref = ref;
	start->need = task->reserved;
	start->run_us = task->job->spec->run_us;
	start->kind = task->job->spec->kind;
	start->idempotent = task->job->spec->idempotent;
	if (task->state == SH_LOGGING)
		sh_task_set_state(task, SH_STARTING);
	if (task->first_seq == 0)
		task->first_seq = out->seq;
}

static void
sh_build_orphan_stops(struct sh_worker *wk, struct sh_sync *out)
{
	const struct sh_orphan *stray;

	LL_FOREACH(wk->orphans, stray) {
		if (out->stop_count == SH_SYNC_MAX)
			return;
		out->stop[out->stop_count].ref.job = stray->job;
		out->stop[out->stop_count].ref.index = stray->index;
		out->stop[out->stop_count].ref.attempt = stray->attempt;
		out->stop[out->stop_count++].checkpoint = false;
	}
}

static void
sh_build_acks(
    const struct sh_shard *sh, struct sh_worker *wk, struct sh_sync *out)
{
	const struct sh_ack *ack;

	LL_FOREACH(wk->acks, ack) {
		if (out->ack_count == SH_SYNC_MAX)
			return;
		if (ack->record_number > sh->committed)
			continue;
		out->ack[out->ack_count].job = ack->job;
		out->ack[out->ack_count].index = ack->index;
		out->ack[out->ack_count++].attempt = ack->attempt;
	}
}

void
sh_sync_build(
    struct sh_shard *sh, uint32_t w, int64_t now_us, struct sh_sync *out)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_task *task;
	int64_t expires_us;

	out->start_count = 0;
	out->stop_count = 0;
	out->ack_count = 0;
	out->epoch = sh->epoch;
	out->seq = ++wk->seq;
	out->lease_generation = wk->lease_generation;
	out->lease_until_us = 0;
	out->want_inventory =
	    wk->want_inventory || now_us >= wk->inventory_at_us;
	wk->in_flight = true;
	wk->send_needed = false;
	wk->sync_requested = false;
	wk->sync_at_us = now_us + sh->settings.renew_us;
	sh_build_acks(sh, wk, out);
	if (wk->state != SH_W_USABLE)
		return;
	/*
	 * The lease ends at a time of the worker's own clock, computed from its
	 * latest reply, so a delayed message can't extend the lease beyond
	 * lease_expires_us.
	 */
	out->lease_until_us = wk->clock_us + sh->settings.lease_us;
	expires_us = wk->clock_at_us + sh_lease_with_margin_us(sh);
	if (expires_us > wk->lease_expires_us)
		wk->lease_expires_us = expires_us;
	sh_build_orphan_stops(wk, out);
	if (wk->want_inventory)
		return;
	DL_FOREACH(wk->tasks, task) {
		sh_build_task(sh, task, out);
		if (sh_task_sendable(sh, task) || task->state == SH_LOGGING)
			wk->send_needed = true;
	}
}

static struct sh_task *
sh_find_task(struct sh_shard *sh, const struct sh_ref *ref)
{
	struct sh_job *job = sh_find_job(sh, ref->job);

	if (job == NULL || ref->index >= job->spec->count)
		return NULL;
	return &job->task[ref->index];
}

static bool
sh_task_matches(
    const struct sh_task *task, const struct sh_ref *ref, uint32_t w)
{
	return task != NULL && task->worker == w &&
	    task->attempt == ref->attempt;
}

static void
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

static void
sh_reconcile_running(
    struct sh_shard *sh, uint32_t w, const struct sh_ref *ref, int64_t now_us)
{
	struct sh_task *task = sh_find_task(sh, ref);

	if (sh_task_matches(task, ref, w)) {
		if (task->state == SH_STARTING)
			sh_task_set_state(task, SH_RUNNING);
		return;
	}
	if (task != NULL && task->state == SH_UNRECONCILED &&
	    (task->job->spec->idempotent || task->attempt == ref->attempt)) {
		task->attempt = ref->attempt;
		if (sh_task_adopt(sh, task, w, now_us)) {
			task->stop = task->job->cancelled;
			if (sh->worker[w].leaving)
				sh_drain(sh, w);
			return;
		}
	}
	sh_orphan_add(sh, w, ref);
}

static bool
sh_reply_lists(const struct sh_sync_reply *reply, const struct sh_task *task)
{
	const char *id = task->job->spec->id;
	size_t i;

	for (i = 0; i < reply->running_count; i++) {
		if (reply->running[i].attempt == task->attempt &&
		    strcmp(reply->running[i].job, id) == 0 &&
		    reply->running[i].index == task->index)
			return true;
	}
	for (i = 0; i < reply->ended_count; i++) {
		if (reply->ended[i].ref.attempt == task->attempt &&
		    strcmp(reply->ended[i].ref.job, id) == 0 &&
		    reply->ended[i].ref.index == task->index)
			return true;
	}
	return false;
}

static void
sh_apply_inventory(struct sh_shard *sh, uint32_t w,
    const struct sh_sync_reply *reply, bool new_lease, int64_t now_us)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_task *task;
	struct sh_task *next;
	size_t i;

	for (i = 0; i < reply->running_count; i++)
		sh_reconcile_running(sh, w, &reply->running[i], now_us);
	DL_FOREACH_SAFE(wk->tasks, task, next) {
		if (sh_reply_lists(reply, task))
			continue;
		/* Under the same lease, a start not listed is sent again. */
		if (task->state == SH_RUNNING ||
		    (new_lease && task->first_seq != 0))
			sh_task_lost(sh, task, now_us);
	}
	wk->want_inventory = false;
	wk->inventory_at_us = now_us + sh->settings.inventory_us;
	wk->send_needed = true;
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

static void
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

static void
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
sh_worker_outcomes(struct sh_shard *sh, uint32_t w,
    const struct sh_ended *ended, size_t count, int64_t now_us)
{
	size_t i;

	for (i = 0; i < count; i++)
		sh_handle_ended(sh, w, &ended[i], now_us);
	sh_worker_update_usable(sh, w, now_us);
}

bool
sh_sync_reply(struct sh_shard *sh, uint32_t w,
    const struct sh_sync_reply *reply, int64_t now_us)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_task *task;
	bool new_lease;
	size_t i;

	wk->in_flight = false;
	if (reply->fenced_by > sh->epoch)
		return false;
	new_lease = wk->lease_generation != reply->lease_generation;
	if (wk->state != SH_W_USABLE) {
		wk->state = SH_W_USABLE;
		wk->lease_expires_us = 0;
		wk->sync_at_us = now_us;
	}
	wk->clock_us = reply->clock_us;
	wk->clock_at_us = now_us;
	sh_remove_acked(sh, wk, reply);
	for (i = 0; i < reply->ended_count; i++)
		sh_handle_ended(sh, w, &reply->ended[i], now_us);
	for (i = 0; i < reply->started_count; i++) {
		task = sh_find_task(sh, &reply->started[i]);
		if (sh_task_matches(task, &reply->started[i], w) &&
		    task->state == SH_STARTING)
			sh_task_set_state(task, SH_RUNNING);
	}
	for (i = 0; i < reply->refused_count; i++) {
		task = sh_find_task(sh, &reply->refused[i]);
		if (sh_task_matches(task, &reply->refused[i], w) &&
		    task->state == SH_STARTING &&
		    (!new_lease || task->first_seq == wk->seq)) {
			sh_task_requeue(sh, task);
			wk->avoid_until_us = now_us + SH_AVOID_US;
		}
	}
	if (reply->has_inventory) {
		wk->lease_generation = reply->lease_generation;
		sh_apply_inventory(sh, w, reply, new_lease, now_us);
	} else if (new_lease) {
		wk->want_inventory = true;
		wk->sync_at_us = now_us;
	}
	for (i = 0; i < reply->usage_count; i++) {
		task = sh_find_task(sh, &reply->usage[i].ref);
		if (sh_task_matches(task, &reply->usage[i].ref, w))
			sh_learn_usage(sh, task, &reply->usage[i].used);
	}
	sh_worker_update_usable(sh, w, now_us);
	return true;
}

void
sh_sync_failed(struct sh_shard *sh, uint32_t w, int64_t now_us)
{
	struct sh_worker *wk = &sh->worker[w];
	struct sh_task *task;

	wk->in_flight = false;
	wk->send_needed = true;
	wk->sync_at_us =
	    now_us + (wk->state == SH_W_LOST ? SH_LOST_RETRY_US : SH_RETRY_US);
	DL_FOREACH(wk->tasks, task)
		task->stop_sent = false;
	/* No new tasks for now; running ones are lost if the lease expires. */
	wk->avoid_until_us = now_us + SH_AVOID_US;
	sh_worker_update_usable(sh, w, now_us);
}
