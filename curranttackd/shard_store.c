#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/record_codec.h"

#define HO_MAX_BATCH_BYTES ((size_t)512 << 10)
#define HO_MAX_BATCH_RECORDS 5000
#define HO_MAX_SNAPSHOT_PART_BYTES ((size_t)800 << 10)
/* Failures in a row after which work that needs the store is refused. */
#define HO_MAX_STORE_FAILURES 2

static void
ho_format_key(const struct shard_host *h, const struct ow_op *op, char *key)
{
	switch (op->key) {
	case OW_KEY_LEASE:
		snprintf(key, DM_KEY_BYTES, "shard/%s/lease", h->id);
		break;
	case OW_KEY_HEAD:
		snprintf(key, DM_KEY_BYTES, "shard/%s/head", h->id);
		break;
	case OW_KEY_LOG:
		snprintf(
		    key, DM_KEY_BYTES, "shard/%s/log/%" PRIu64, h->id, op->seq);
		break;
	case OW_KEY_SNAPSHOT:
		snprintf(key, DM_KEY_BYTES,
		    "shard/%s/snap/%" PRIu64 "-%" PRIu64 "/%u", h->id, op->seq,
		    op->epoch, op->part);
		break;
	}
}

static uint8_t *
ho_pack_seal(struct shard_host *h, const struct ow_op *op, size_t *bytes)
{
	struct rc_record *seal = sh_seal_record(h, h->shard);
	struct rc_record *list[1] = {seal};
	struct rk_batch b = {
	    .writer = h->ownership.writer,
	    .nonce = op->nonce,
	    .epoch = h->ownership.epoch,
	    .record = list,
	    .count = 1,
	};

	uint8_t *value;

	seal->epoch = h->ownership.epoch;
	value = rk_pack_batch(h, &b, bytes);
	talloc_free(seal);
	return value;
}

/* The value to write, allocated with @h as its parent. */
static uint8_t *
ho_pack_value(struct shard_host *h, const struct ow_op *op, size_t *bytes)
{
	switch (op->key) {
	case OW_KEY_LEASE:
		return rk_pack_lease(
		    h, h->d->settings->vm, h->ownership.writer, bytes);
	case OW_KEY_HEAD:
		return rk_pack_head(h, &op->head, bytes);
	case OW_KEY_LOG:
		if (op->seal)
			return ho_pack_seal(h, op, bytes);
		*bytes = h->batch_bytes;
		return talloc_memdup(h, h->batch, h->batch_bytes);
	case OW_KEY_SNAPSHOT:
		*bytes = h->snapshot_part_bytes[op->part];
		return talloc_memdup(h, h->snapshot_part[op->part], *bytes);
	}
	return NULL;
}

static void
ho_unpack_value(
    struct shard_host *h, const struct kv_response *a, struct ow_response *out)
{
	struct rk_batch *b;

	switch (h->store_op.key) {
	case OW_KEY_LEASE:
		if (!rk_unpack_lease(a->value, a->value_bytes, &out->writer))
			out->writer = 0;
		break;
	case OW_KEY_HEAD:
		if (!rk_unpack_head(a->value, a->value_bytes, &out->head))
			out->result = OW_UNAVAILABLE;
		break;
	case OW_KEY_LOG:
		b = rk_unpack_batch(h, a->value, a->value_bytes);
		out->writer = b != NULL ? b->writer : 0;
		out->nonce = b != NULL ? b->nonce : 0;
		talloc_free(b);
		break;
	case OW_KEY_SNAPSHOT:
		break;
	}
}

static void
ho_on_ownership_event(struct shard_host *h, enum ow_event event,
    const struct kv_response *a, int64_t now_us)
{
	switch (event) {
	case OW_EV_NONE:
		break;
	case OW_EV_RESET:
		ho_reset(h);
		break;
	case OW_EV_REPLAY:
		ho_replay(h, a);
		break;
	case OW_EV_ACTIVE:
		ho_activate(h, now_us);
		break;
	case OW_EV_COMMITTED:
		sh_committed(h->shard, h->batch_last_record);
		TALLOC_FREE(h->batch);
		h->log_entries_since_snapshot++;
		break;
	case OW_EV_SNAPSHOT:
		h->log_entries_since_snapshot = 0;
		TALLOC_FREE(h->snapshot_part);
		lg_event(LG_INFO, "shard", "snapshot", "shard", h->id, "seq",
		    lg_i64((int64_t)h->ownership.head.snapshot_seq), NULL);
		break;
	case OW_EV_FENCED:
		ho_on_fenced(h);
		break;
	case OW_EV_RELEASED:
		lg_event(LG_INFO, "shard", "released", "shard", h->id, NULL);
		TALLOC_FREE(h->shard);
		h->worker_poll = NULL;
		h->generation++;
		if (!h->release_wanted) {
			/* Released only to reload it: take it over again. */
			h->ownership.release_requested = false;
			h->ownership.poll_at_us = now_us;
		}
		break;
	}
}

void
ho_on_store_result(
    struct shard_host *h, const struct kv_response *a, int64_t now_us)
{
	struct ow_response answer = {0};
	enum ow_event event;

	switch (a->result) {
	case KV_OK:
		answer.result = OW_OK;
		break;
	case KV_ABSENT:
		answer.result = OW_ABSENT;
		break;
	case KV_CONFLICT:
		answer.result = OW_CONFLICT;
		break;
	case KV_UNAVAILABLE:
		answer.result = OW_UNAVAILABLE;
		break;
	}
	answer.revision = a->revision;
	if (h->store_op.kind == OW_GET && a->result == KV_OK)
		ho_unpack_value(h, a, &answer);
	h->store_failures =
	    answer.result == OW_UNAVAILABLE ? h->store_failures + 1 : 0;
	event = ow_on_response(&h->ownership, &answer, now_us);
	ho_on_ownership_event(h, event, a, now_us);
	if (ho_owns(h, NULL)) {
		sh_set_store_ok(
		    h->shard, h->store_failures < HO_MAX_STORE_FAILURES);
		ho_answer_waiters(h, now_us);
	}
}

static void
ho_send_store_op(
    struct shard_host *h, const struct ow_op *op, kv_done_fn on_response)
{
	struct kv_put put = {0};
	char key[DM_KEY_BYTES];
	uint8_t *value;

	h->store_op = *op;
	ho_format_key(h, op, key);
	switch (op->kind) {
	case OW_GET:
		h->d->kv_ops->get(h->d->kv, key, on_response, h);
		break;
	case OW_CREATE:
	case OW_CAS:
		value = ho_pack_value(h, op, &put.value_bytes);
		put.key = key;
		put.value = value;
		put.mode = op->kind == OW_CREATE ? KV_CREATE : KV_CAS;
		put.if_revision = op->if_revision;
		if (op->key == OW_KEY_LEASE)
			put.lease = h->d->store_lease_id;
		h->d->kv_ops->put(h->d->kv, &put, on_response, h);
		talloc_free(value);
		break;
	case OW_DELETE:
		h->d->kv_ops->del(
		    h->d->kv, key, op->if_revision, on_response, h);
		break;
	}
}

/* Whether the budget has one store write, and @reserve more beside it. */
static bool
ho_has_write_budget(struct shard_host *h, int64_t now_us, uint32_t reserve)
{
	int64_t max_budget =
	    (int64_t)h->d->settings->commit_burst * HO_WRITE_COST;

	h->commit_budget += (now_us - h->commit_budget_updated_us) *
	    (int64_t)h->d->settings->commits_per_s;
	h->commit_budget_updated_us = now_us;
	if (h->commit_budget > max_budget)
		h->commit_budget = max_budget;
	return h->commit_budget >= (int64_t)(reserve + 1) * HO_WRITE_COST;
}

static void
ho_begin_append(struct shard_host *h, int64_t now_us)
{
	const struct sh_pending_record *p;
	struct rk_batch b = {0};
	size_t bytes = 0;

	if (sh_pending_records(h->shard) == NULL ||
	    h->ownership.state != OW_READY || h->ownership.in_flight ||
	    !ho_has_write_budget(h, now_us, 0))
		return;
	b.nonce = ow_begin_append(&h->ownership, now_us);
	if (b.nonce == 0)
		return;
	b.record = talloc_array(h, struct rc_record *, HO_MAX_BATCH_RECORDS);
	for (p = sh_pending_records(h->shard); p != NULL; p = p->next) {
		bytes += rc_estimate_bytes(p->record);
		if (b.count == HO_MAX_BATCH_RECORDS ||
		    (b.count > 0 && bytes > HO_MAX_BATCH_BYTES))
			break;
		b.record[b.count++] = p->record;
		h->batch_last_record = p->number;
	}
	b.writer = h->ownership.writer;
	b.epoch = h->ownership.epoch;
	TALLOC_FREE(h->batch);
	h->batch = rk_pack_batch(h, &b, &h->batch_bytes);
	h->commit_budget -= HO_WRITE_COST;
	talloc_free(b.record);
}

static uint32_t
ho_pack_snapshot_parts(
    struct shard_host *h, struct rc_record **record, size_t count)
{
	struct rk_batch b = {
	    .writer = h->ownership.writer, .epoch = h->ownership.epoch};
	uint32_t parts = 0;
	size_t from = 0;
	size_t bytes;
	size_t i;

	TALLOC_FREE(h->snapshot_part);
	h->snapshot_part = talloc_zero_array(h, uint8_t *, (unsigned)count + 1);
	h->snapshot_part_bytes =
	    talloc_zero_array(h->snapshot_part, size_t, (unsigned)count + 1);
	do {
		bytes = 0;
		for (i = from; i < count; i++) {
			bytes += rc_estimate_bytes(record[i]);
			if (i > from && bytes > HO_MAX_SNAPSHOT_PART_BYTES)
				break;
		}
		b.record = record + from;
		b.count = i - from;
		h->snapshot_part[parts] = rk_pack_batch(
		    h->snapshot_part, &b, &h->snapshot_part_bytes[parts]);
		parts++;
		from = i;
	} while (from < count);
	return parts;
}

static void
ho_begin_snapshot(struct shard_host *h, int64_t now_us)
{
	struct rc_record **record;
	uint32_t parts;
	size_t count;

	if (h->log_entries_since_snapshot <
		h->d->settings->snapshot_interval_entries ||
	    h->ownership.state != OW_READY || h->ownership.in_flight ||
	    h->ownership.old_snapshot_parts > 0 ||
	    h->ownership.verify_requested || !ho_has_write_budget(h, now_us, 2))
		return;
	record = sh_snapshot(h->shard, h, &count, now_us,
	    h->d->settings->ended_job_retention_us);
	parts = ho_pack_snapshot_parts(h, record, count);
	talloc_free(record);
	if (!ow_begin_snapshot(&h->ownership, parts))
		TALLOC_FREE(h->snapshot_part);
	else
		h->commit_budget -= 2 * HO_WRITE_COST;
}

static bool
ho_may_take_ownership(struct shard_host *h, int64_t now_us)
{
	struct daemon *d = h->d;
	const struct cf_shard *conf = ho_find_config(h);
	struct mb_member *self;
	bool allowed;

	if (conf == NULL || atomic_load(&d->shutting_down) ||
	    d->store_lease_id == 0)
		return false;
	pthread_mutex_lock(&d->members_lock);
	self = mb_find(d->view, d->settings->vm);
	/* Workers of a partitioned domain may still obey its owner. */
	allowed = self->listed != MB_LISTED_LEAVING &&
	    mb_shard_owner(d->view, h->id, now_us, NULL) == NULL &&
	    (strcmp(conf->domain, d->settings->domain) == 0 ||
		!mb_domain_may_be_alive(d->view, conf->domain, now_us));
	pthread_mutex_unlock(&d->members_lock);
	return allowed;
}

void
ho_start_store_op(struct shard_host *h, kv_done_fn on_response, int64_t now_us)
{
	bool eligible =
	    !ow_is_active(&h->ownership) && ho_may_take_ownership(h, now_us);
	bool trim =
	    ho_has_write_budget(h, now_us, h->d->settings->commit_burst / 2);
	struct ow_op op;

	if (ho_owns(h, NULL)) {
		ho_begin_append(h, now_us);
		ho_begin_snapshot(h, now_us);
	}
	if (!ow_next_op(&h->ownership, now_us, eligible, trim, &op))
		return;
	if (op.kind == OW_DELETE)
		h->commit_budget -= HO_WRITE_COST;
	ho_send_store_op(h, &op, on_response);
}
