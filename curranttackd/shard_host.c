#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/record_codec.h"

#define HO_MAX_PENDING_RECORDS 50000

const char *
ho_shard_id(const struct shard_host *h)
{
	return h->id;
}

bool
ho_owns(const struct shard_host *h, uint64_t *epoch)
{
	if (epoch != NULL)
		*epoch = h->ownership.epoch;
	return ow_is_active(&h->ownership) && h->shard != NULL &&
	    h->shard->active;
}

uint32_t
ho_load(const struct shard_host *h)
{
	return sh_load(h->shard);
}

bool
ho_is_idle(const struct shard_host *h)
{
	return !ow_is_active(&h->ownership);
}

const struct cf_shard *
ho_find_config(const struct shard_host *h)
{
	const struct cf_shards *shards = h->d->config->shards;
	uint32_t i;

	for (i = 0; i < shards->count; i++) {
		if (strcmp(shards->shard[i].id, h->id) == 0)
			return &shards->shard[i];
	}
	return NULL;
}

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

static int
ho_set_workers(struct shard_host *h, const struct cf_shard *conf)
{
	struct sh_worker_spec *spec;
	uint32_t i;

	spec =
	    talloc_zero_array(h, struct sh_worker_spec, conf->worker_count + 1);
	if (spec == NULL)
		return -1;
	for (i = 0; i < conf->worker_count; i++) {
		spec[i].id = conf->worker[i].id;
		spec[i].address = conf->worker[i].address;
		spec[i].rack = conf->worker[i].rack;
		spec[i].capacity = conf->worker[i].capacity;
	}
	if (sh_set_workers(h->shard, spec, conf->worker_count) == -1)
		return -1;
	h->worker_poll = talloc_zero_array(
	    h->shard, struct worker_poll, conf->worker_count + 1);
	for (i = 0; i < conf->worker_count; i++) {
		h->worker_poll[i].host = h;
		h->worker_poll[i].worker = i;
	}
	talloc_free(spec);
	return 0;
}

void
ho_apply_quotas(struct shard_host *h)
{
	const struct cf_config *c = h->d->config;
	const struct cf_shard *conf = ho_find_config(h);
	struct st_res quota;
	uint32_t i;

	for (i = 0; conf != NULL && i < c->teams->count; i++) {
		quota =
		    cf_quota_share(c->shards, conf, &c->teams->team[i].quota);
		sh_set_quota(h->shard, c->teams->team[i].name, &quota);
	}
	sh_set_policy(h->shard, dm_policy(h->d));
}

void
ho_reset(struct shard_host *h)
{
	const struct settings *s = h->d->settings;
	const struct cf_shard *conf = ho_find_config(h);
	struct sh_settings shard_settings = {
	    .lease_us = s->worker_lease_ttl_us,
	    .renew_us = s->worker_renew_interval_us,
	    .drift_us = 200 * CLK_US_PER_MS,
	    .inventory_us = 10 * s->worker_lease_ttl_us,
	    .max_claim_bytes = s->max_claim_bytes,
	};

	ho_fail_waiters(h);
	TALLOC_FREE(h->shard);
	h->worker_poll = NULL;
	h->generation++;
	h->log_entries_since_snapshot = 0;
	TALLOC_FREE(h->batch);
	h->shard = sh_create(
	    NULL, h->id, &shard_settings, dm_policy(h->d), h->d->incarnation);
	if (h->shard == NULL || (conf != NULL && ho_set_workers(h, conf) == -1))
		abort();
}

void
ho_replay(struct shard_host *h, const struct kv_response *a)
{
	struct rk_batch *b;
	size_t i;

	b = rk_unpack_batch(h, a->value, a->value_bytes);
	if (b == NULL) {
		/* Serving the shard without this entry would lose jobs. */
		lg_event(
		    LG_ERROR, "shard", "unreadable_log", "shard", h->id, NULL);
		abort();
	}
	for (i = 0; i < b->count; i++)
		sh_apply(h->shard, b->record[i]);
	h->log_entries_since_snapshot++;
	talloc_free(b);
}

void
ho_activate(struct shard_host *h, int64_t now_us)
{
	ho_apply_quotas(h);
	sh_activate(h->shard, h->ownership.epoch, now_us);
	ct_add(CT_TAKEOVERS, 1);
	lg_event(LG_INFO, "shard", "owned", "shard", h->id, "epoch",
	    lg_i64((int64_t)h->ownership.epoch), "previous",
	    h->ownership.previous_owner[0] != '\0' ? h->ownership.previous_owner
						   : "none",
	    "jobs", lg_i64(HASH_COUNT(h->shard->jobs)), NULL);
}

void
ho_on_fenced(struct shard_host *h)
{
	ct_add(CT_FENCED, 1);
	lg_event(LG_WARN, "shard", "fenced", "shard", h->id, "epoch",
	    lg_i64((int64_t)h->ownership.epoch), NULL);
	ho_fail_waiters(h);
	TALLOC_FREE(h->shard);
	h->worker_poll = NULL;
	h->generation++;
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
	ho_start_store_op(h, now_us);
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
