#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"

#define HO_MAX_PENDING_RECORDS 50000

struct shard_host *
ho_create(struct daemon *d, const char *shard)
{
	struct shard_host *h;

	h = talloc_zero(d, struct shard_host);
	if (h == NULL)
		return NULL;
	h->d = d;
	snprintf(h->id, sizeof(h->id), "%s", shard);
	pthread_mutex_init(&h->lock, NULL);
	ow_init(&h->ownership, d->settings->vm, d->incarnation);
	h->commit_budget = (int64_t)d->settings->commit_burst * HO_WRITE_COST;
	h->commit_budget_updated_us = clk_now_us();
	return h;
}

static void
ho_update_leaving_workers(struct shard_host *h)
{
	uint32_t w;

	for (w = 0; w < h->shard->worker_count; w++)
		sh_set_leaving(h->shard, w,
		    dm_vm_is_leaving(h->d, h->shard->worker[w].id));
}

/*
 * Tells the shard once the previous owner has stopped: from then on the leases
 * that it granted to workers are not renewed any more.
 */
static void
ho_check_previous_owner(struct shard_host *h, int64_t now_us)
{
	struct daemon *d = h->d;
	int64_t gone_at_us;

	if (h->ownership.previous_owner[0] == '\0' ||
	    strcmp(h->ownership.previous_owner, d->settings->vm) == 0) {
		gone_at_us = now_us;
	} else {
		pthread_mutex_lock(&d->members_lock);
		gone_at_us = mb_process_gone_at(d->view,
		    h->ownership.previous_owner, h->ownership.previous_writer);
		pthread_mutex_unlock(&d->members_lock);
	}
	if (gone_at_us != 0)
		sh_previous_owner_stopped(h->shard, now_us);
}

/* Looks into the store if another daemon reports a higher epoch. */
static void
ho_check_newer_owner(struct shard_host *h, int64_t now_us)
{
	struct daemon *d = h->d;
	uint64_t epoch;

	pthread_mutex_lock(&d->members_lock);
	mb_shard_owner(d->view, h->id, now_us, &epoch);
	pthread_mutex_unlock(&d->members_lock);
	if (epoch > h->ownership.epoch)
		ow_request_verify(&h->ownership);
}

static void
ho_run_shard(struct shard_host *h, int64_t now_us)
{
	const char *violation;
	uint32_t w;

	ho_update_leaving_workers(h);
	ho_check_previous_owner(h, now_us);
	ho_check_newer_owner(h, now_us);
	if (h->shard->pending_count > HO_MAX_PENDING_RECORDS)
		sh_set_store_ok(h->shard, false);
	sh_tick(h->shard, now_us);
	violation = now_us >= h->invariants_check_at_us
	    ? sh_check_invariants(h->shard)
	    : NULL;
	if (now_us >= h->invariants_check_at_us)
		h->invariants_check_at_us = now_us + CLK_US_PER_S;
	if (violation != NULL) {
		lg_event(LG_ERROR, "shard", "invariant_broken", "shard", h->id,
		    "what", violation, NULL);
		abort();
	}
	for (w = 0; w < h->shard->worker_count; w++) {
		if (sh_sync_due(h->shard, w, now_us))
			ho_send_sync(h, w, now_us);
		if (h->shard->worker[w].state == SH_W_USABLE)
			ho_poll_worker_events(h, w, now_us);
	}
	ho_answer_waiters(h, now_us);
}

static void
ho_on_store_response(const struct kv_response *a, void *arg)
{
	struct shard_host *h = arg;
	int64_t now_us = clk_now_us();

	pthread_mutex_lock(&h->lock);
	ho_on_store_result(h, a, now_us);
	pthread_mutex_unlock(&h->lock);
	ho_tick(h, now_us);
}

void
ho_tick(struct shard_host *h, int64_t now_us)
{
	pthread_mutex_lock(&h->lock);
	if (ho_owns(h, NULL))
		ho_run_shard(h, now_us);
	if (h->release_wanted &&
	    (h->shard == NULL || sh_pending_records(h->shard) == NULL))
		ow_request_release(&h->ownership);
	if (h->reload_wanted && h->shard != NULL &&
	    sh_pending_records(h->shard) == NULL) {
		h->reload_wanted = false;
		ow_request_release(&h->ownership);
	}
	ho_start_store_op(h, ho_on_store_response, now_us);
	pthread_mutex_unlock(&h->lock);
}

void
ho_on_config_changed(struct shard_host *h, bool shards_changed)
{
	pthread_mutex_lock(&h->lock);
	if (ho_owns(h, NULL)) {
		ho_apply_quotas(h);
		/* Workers are only set before a recovery, so recover again. */
		if (shards_changed)
			h->reload_wanted = true;
	}
	pthread_mutex_unlock(&h->lock);
}

void
ho_on_store_lease_lost(struct shard_host *h)
{
	ow_on_lease_lost(&h->ownership);
}

void
ho_begin_release(struct shard_host *h)
{
	h->release_wanted = true;
}
