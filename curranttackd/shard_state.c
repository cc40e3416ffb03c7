#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/record_codec.h"

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
