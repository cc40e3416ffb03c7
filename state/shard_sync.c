#include <utlist.h>

#include "state/shard_internal.h"

/* With fewer acknowledgements, no extra message is sent for them. */
#define SH_ACK_BATCH 32

void
sh_request_sync(struct sh_shard *sh, uint32_t w)
{
	sh->worker[w].sync_requested = true;
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
