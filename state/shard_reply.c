#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/shard_internal.h"

#define SH_RETRY_US (500 * CLK_US_PER_MS)
#define SH_LOST_RETRY_US (2 * CLK_US_PER_S)
#define SH_AVOID_US (CLK_US_PER_S)

static void
sh_reconcile_running(
    struct sh_shard *sh, uint32_t w, const struct sh_ref *ref, int64_t now_us)
{
	struct sh_task *task = sh_find_task(sh, ref);

	if (sh_task_matches(task, ref, w)) {
		if (task->state == SH_STARTING)
			sh_task_set_state(task, SH_RUNNING);
		/* A stop that has had no effect is sent again. */
		task->stop_sent = false;
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
