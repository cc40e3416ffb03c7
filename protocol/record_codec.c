#include <stdio.h>
#include <string.h>

#include "protocol/record_codec.h"

void
rk_spec_to_message(const struct st_job_spec *spec, Currant__JobSpec *msg)
{
	currant__job_spec__init(msg);
	msg->id = spec->id;
	msg->key = spec->key;
	msg->team = spec->team;
	msg->name = spec->name;
	msg->kind = spec->kind;
	msg->job_class = spec->job_class;
	msg->count = spec->count;
	msg->cpu_mcpu = spec->per_task.cpu_mcpu;
	msg->mem_bytes = spec->per_task.mem_bytes;
	msg->has_accelerators = 1;
	msg->accelerators = spec->per_task.accel;
	msg->has_run_us = 1;
	msg->run_us = spec->run_us;
	msg->has_idempotent = 1;
	msg->idempotent = spec->idempotent;
}

struct st_job_spec *
rk_spec_from_message(TALLOC_CTX *ctx, const Currant__JobSpec *msg)
{
	struct st_job_spec *spec;

	if (msg->kind >= ST_KIND_COUNT || msg->job_class >= ST_CLASS_COUNT ||
	    msg->count == 0 || msg->cpu_mcpu < 0 || msg->mem_bytes < 0 ||
	    msg->accelerators < 0)
		return NULL;
	spec = talloc_zero(ctx, struct st_job_spec);
	if (spec == NULL)
		return NULL;
	spec->id = talloc_strdup(spec, msg->id);
	spec->key = talloc_strdup(spec, msg->key != NULL ? msg->key : "");
	spec->team = talloc_strdup(spec, msg->team);
	spec->name = talloc_strdup(spec, msg->name);
	spec->kind = (enum st_kind)msg->kind;
	spec->job_class = (enum st_class)msg->job_class;
	spec->count = msg->count;
	spec->per_task.cpu_mcpu = msg->cpu_mcpu;
	spec->per_task.mem_bytes = msg->mem_bytes;
	spec->per_task.accel = msg->accelerators;
	spec->run_us = msg->run_us;
	spec->idempotent = msg->idempotent;
	return spec;
}

/** struct rk_record_messages - a record and the messages that it points to */
struct rk_record_messages {
	Currant__Record record;
	Currant__JobSpec spec;
	Currant__TaskRef task;
};

static void
rk_record_to_message(const struct rc_record *r, struct rk_record_messages *m)
{
	currant__record__init(&m->record);
	m->record.kind = (Currant__Record__Kind)r->kind;
	m->record.has_epoch = 1;
	m->record.epoch = r->epoch;
	if (r->spec != NULL) {
		rk_spec_to_message(r->spec, &m->spec);
		m->record.spec = &m->spec;
	}
	/* A claim's record has a deadline in @attempt and a flag in @index. */
	if (r->job != NULL || r->index != 0 || r->attempt != 0) {
		currant__task_ref__init(&m->task);
		m->task.job = r->job != NULL ? r->job : (char *)"";
		m->task.index = r->index;
		m->task.attempt = r->attempt;
		m->record.task = &m->task;
	}
	m->record.worker = r->worker;
	m->record.has_result = r->result != ST_RESULT_NONE;
	m->record.result = r->result;
	m->record.key = r->key;
	m->record.has_answer = r->response_bytes > 0;
	m->record.answer.data = r->response;
	m->record.answer.len = r->response_bytes;
	m->record.has_status = r->status != 0;
	m->record.status = r->status;
	m->record.has_body_hash = r->body_hash != 0;
	m->record.body_hash = r->body_hash;
	m->record.has_deadline_wall_us = r->deadline_wall_us != 0;
	m->record.deadline_wall_us = r->deadline_wall_us;
}

uint8_t *
rk_pack_batch(TALLOC_CTX *ctx, const struct rk_batch *b, size_t *bytes)
{
	Currant__Batch msg = CURRANT__BATCH__INIT;
	struct rk_record_messages *messages;
	uint8_t *buf = NULL;
	size_t i;

	messages = talloc_zero_array(
	    ctx, struct rk_record_messages, (unsigned int)b->count + 1);
	if (messages == NULL)
		return NULL;
	msg.records = talloc_array(
	    messages, Currant__Record *, (unsigned int)b->count + 1);
	if (msg.records == NULL)
		goto out;
	msg.writer = b->writer;
	msg.nonce = b->nonce;
	msg.epoch = b->epoch;
	msg.n_records = b->count;
	for (i = 0; i < b->count; i++) {
		rk_record_to_message(b->record[i], &messages[i]);
		msg.records[i] = &messages[i].record;
	}
	*bytes = currant__batch__get_packed_size(&msg);
	buf = talloc_size(ctx, *bytes + 1);
	if (buf != NULL)
		currant__batch__pack(&msg, buf);
out:
	talloc_free(messages);
	return buf;
}

static bool
rk_record_is_complete(const Currant__Record *msg)
{
	switch (msg->kind) {
	case CURRANT__RECORD__KIND__JOB_ACCEPTED:
		return msg->spec != NULL;
	case CURRANT__RECORD__KIND__TASK_STARTING:
	case CURRANT__RECORD__KIND__TASK_ENDED:
	case CURRANT__RECORD__KIND__TASK_REQUEUED:
	case CURRANT__RECORD__KIND__JOB_CANCELLED:
	case CURRANT__RECORD__KIND__JOB_FORGOTTEN:
		return msg->task != NULL;
	case CURRANT__RECORD__KIND__CLAIM_TAKEN:
	case CURRANT__RECORD__KIND__CLAIM_ENDED:
		return msg->key != NULL;
	default:
		return msg->kind == CURRANT__RECORD__KIND__SEAL;
	}
}

static struct rc_record *
rk_record_from_message(TALLOC_CTX *ctx, const Currant__Record *msg)
{
	struct rc_record *r;

	if (!rk_record_is_complete(msg) || msg->result > ST_RESULT_UNKNOWN)
		return NULL;
	r = talloc_zero(ctx, struct rc_record);
	if (r == NULL)
		return NULL;
	r->kind = (enum rc_kind)msg->kind;
	r->epoch = msg->epoch;
	if (msg->spec != NULL) {
		r->spec = rk_spec_from_message(r, msg->spec);
		if (r->spec == NULL)
			return NULL;
	}
	if (msg->task != NULL) {
		r->job = talloc_strdup(r, msg->task->job);
		r->index = msg->task->index;
		r->attempt = msg->task->attempt;
	}
	r->worker = msg->worker != NULL ? talloc_strdup(r, msg->worker) : NULL;
	r->result = (enum st_result)msg->result;
	r->key = msg->key != NULL ? talloc_strdup(r, msg->key) : NULL;
	if (msg->answer.len > 0) {
		r->response =
		    talloc_memdup(r, msg->answer.data, msg->answer.len);
		r->response_bytes = msg->answer.len;
	}
	r->status = msg->status;
	r->body_hash = msg->body_hash;
	r->deadline_wall_us = msg->deadline_wall_us;
	return r;
}

struct rk_batch *
rk_unpack_batch(TALLOC_CTX *ctx, const uint8_t *buf, size_t len)
{
	Currant__Batch *msg;
	struct rk_batch *b = NULL;
	size_t i;

	msg = currant__batch__unpack(NULL, len, buf);
	if (msg == NULL)
		return NULL;
	b = talloc_zero(ctx, struct rk_batch);
	if (b == NULL)
		goto out;
	b->writer = msg->writer;
	b->nonce = msg->nonce;
	b->epoch = msg->epoch;
	b->count = msg->n_records;
	b->record = talloc_zero_array(
	    b, struct rc_record *, (unsigned int)b->count + 1);
	for (i = 0; b->record != NULL && i < b->count; i++) {
		b->record[i] =
		    rk_record_from_message(b->record, msg->records[i]);
		if (b->record[i] == NULL) {
			TALLOC_FREE(b);
			goto out;
		}
	}
out:
	currant__batch__free_unpacked(msg, NULL);
	return b;
}

uint8_t *
rk_pack_head(TALLOC_CTX *ctx, const struct ow_head *h, size_t *bytes)
{
	Currant__ShardHead msg = CURRANT__SHARD_HEAD__INIT;
	uint8_t *buf;

	msg.owner = (char *)h->owner;
	msg.epoch = h->epoch;
	msg.writer = h->writer;
	msg.nonce = h->nonce;
	msg.snapshot_seq = h->snapshot_seq;
	msg.snapshot_epoch = h->snapshot_epoch;
	msg.snapshot_parts = h->snapshot_parts;
	msg.trimmed_seq = h->trimmed_seq;
	*bytes = currant__shard_head__get_packed_size(&msg);
	buf = talloc_size(ctx, *bytes);
	if (buf != NULL)
		currant__shard_head__pack(&msg, buf);
	return buf;
}

bool
rk_unpack_head(const uint8_t *buf, size_t len, struct ow_head *h)
{
	Currant__ShardHead *msg;

	msg = currant__shard_head__unpack(NULL, len, buf);
	if (msg == NULL)
		return false;
	memset(h, 0, sizeof(*h));
	snprintf(h->owner, sizeof(h->owner), "%s", msg->owner);
	h->epoch = msg->epoch;
	h->writer = msg->writer;
	h->nonce = msg->nonce;
	h->snapshot_seq = msg->snapshot_seq;
	h->snapshot_epoch = msg->snapshot_epoch;
	h->snapshot_parts = msg->snapshot_parts;
	h->trimmed_seq = msg->trimmed_seq;
	currant__shard_head__free_unpacked(msg, NULL);
	return true;
}

uint8_t *
rk_pack_lease(
    TALLOC_CTX *ctx, const char *owner, uint64_t writer, size_t *bytes)
{
	Currant__LeaseHolder msg = CURRANT__LEASE_HOLDER__INIT;
	uint8_t *buf;

	msg.owner = (char *)owner;
	msg.writer = writer;
	*bytes = currant__lease_holder__get_packed_size(&msg);
	buf = talloc_size(ctx, *bytes);
	if (buf != NULL)
		currant__lease_holder__pack(&msg, buf);
	return buf;
}

bool
rk_unpack_lease(const uint8_t *buf, size_t len, uint64_t *writer)
{
	Currant__LeaseHolder *msg;

	msg = currant__lease_holder__unpack(NULL, len, buf);
	if (msg == NULL)
		return false;
	*writer = msg->writer;
	currant__lease_holder__free_unpacked(msg, NULL);
	return true;
}
