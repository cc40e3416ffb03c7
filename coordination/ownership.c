#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "coordination/ownership.h"

/*
 * A new owner keeps its seal in the log for this long, so a late append of the
 * earlier owner finds the entry taken.
 */
#define OW_SEAL_RETENTION_US (120 * CLK_US_PER_S)

void
ow_init(struct ow_fsm *m, const char *vm, uint64_t writer)
{
	memset(m, 0, sizeof(*m));
	snprintf(m->vm, sizeof(m->vm), "%s", vm);
	m->writer = writer;
	m->next_nonce = 1;
}

bool
ow_is_active(const struct ow_fsm *m)
{
	return m->state >= OW_READY;
}

static void
ow_fill_log_op(const struct ow_fsm *m, struct ow_op *op, enum ow_op_kind kind)
{
	op->kind = kind;
	op->key = OW_KEY_LOG;
	op->seq = m->next_seq;
	op->nonce = m->nonce;
}

static void
ow_fill_head_op(struct ow_fsm *m, struct ow_op *op)
{
	op->kind = m->head_exists ? OW_CAS : OW_CREATE;
	op->key = OW_KEY_HEAD;
	op->if_revision = m->head_revision;
	op->head = m->head;
	op->head.epoch = m->epoch;
	op->head.writer = m->writer;
	op->head.nonce = m->nonce;
	memcpy(op->head.owner, m->vm, sizeof(op->head.owner));
}

static bool
ow_trim_allowed(const struct ow_fsm *m, int64_t now_us)
{
	if (m->trim_seq > m->head.snapshot_seq || m->head.snapshot_seq == 0)
		return false;
	/* Entries up to our seal may include recent seals of other owners. */
	return m->trim_seq > m->seal_seq ||
	    now_us >= m->sealed_at_us + OW_SEAL_RETENTION_US;
}

static void
ow_choose_background_op(struct ow_fsm *m, int64_t now_us, bool trim)
{
	if (m->verify_requested)
		m->state = OW_VERIFY;
	else if (m->release_requested)
		m->state = OW_RELEASE;
	else if (m->lease_lost && now_us >= m->poll_at_us)
		m->state = OW_RECREATE_LEASE_KEY;
	else if (trim && m->old_snapshot_parts > 0)
		m->state = OW_TRIM_SNAPSHOT;
	else if (trim && ow_trim_allowed(m, now_us))
		m->state = OW_TRIM_LOG;
}

static void
ow_fill_snapshot_op(struct ow_op *op, enum ow_op_kind kind, uint64_t seq,
    uint64_t epoch, uint32_t part)
{
	op->kind = kind;
	op->key = OW_KEY_SNAPSHOT;
	op->seq = seq;
	op->epoch = epoch;
	op->part = part;
}

static void
ow_fill_lease_op(const struct ow_fsm *m, struct ow_op *op, enum ow_op_kind kind)
{
	op->kind = kind;
	op->key = OW_KEY_LEASE;
	op->if_revision = m->lease_revision;
}

static void
ow_fill_op(struct ow_fsm *m, struct ow_op *op)
{
	switch (m->state) {
	case OW_READ_LEASE:
		ow_fill_lease_op(m, op, OW_GET);
		break;
	case OW_READ_HEAD:
	case OW_CHECK_HEAD:
	case OW_VERIFY_APPEND:
	case OW_VERIFY:
	case OW_CHECK_SNAPSHOT_HEAD:
		op->kind = OW_GET;
		op->key = OW_KEY_HEAD;
		break;
	case OW_ACQUIRE_LEASE:
	case OW_RECREATE_LEASE_KEY:
		ow_fill_lease_op(m, op, OW_CREATE);
		break;
	case OW_WRITE_HEAD:
	case OW_WRITE_SNAPSHOT_HEAD:
		ow_fill_head_op(m, op);
		if (m->state == OW_WRITE_SNAPSHOT_HEAD) {
			op->head.snapshot_seq = m->next_seq - 1;
			op->head.snapshot_epoch = m->epoch;
			op->head.snapshot_parts = m->snapshot_parts;
			op->head.trimmed_seq = m->trim_seq - 1;
		}
		break;
	case OW_READ_SNAPSHOT:
		ow_fill_snapshot_op(op, OW_GET, m->head.snapshot_seq,
		    m->head.snapshot_epoch, m->part);
		break;
	case OW_READ_LOG:
	case OW_CHECK_SEAL:
	case OW_CHECK_APPEND:
		ow_fill_log_op(m, op, OW_GET);
		break;
	case OW_WRITE_SEAL:
		ow_fill_log_op(m, op, OW_CREATE);
		op->seal = true;
		break;
	case OW_APPEND:
		ow_fill_log_op(m, op, OW_CREATE);
		break;
	case OW_WRITE_SNAPSHOT_PARTS:
		ow_fill_snapshot_op(
		    op, OW_CREATE, m->next_seq - 1, m->epoch, m->part);
		break;
	case OW_TRIM_LOG:
		op->kind = OW_DELETE;
		op->key = OW_KEY_LOG;
		op->seq = m->trim_seq;
		break;
	case OW_TRIM_SNAPSHOT:
		ow_fill_snapshot_op(op, OW_DELETE, m->old_snapshot_seq,
		    m->old_snapshot_epoch, m->old_snapshot_parts - 1);
		break;
	case OW_RELEASE:
		ow_fill_lease_op(m, op, OW_DELETE);
		break;
	case OW_IDLE:
	case OW_READY:
		break;
	}
}

bool
ow_next_op(struct ow_fsm *m, int64_t now_us, bool eligible, bool trim,
    struct ow_op *op)
{
	if (m->in_flight || now_us < m->retry_at_us)
		return false;
	if (m->state == OW_IDLE) {
		if (!eligible || m->release_requested || now_us < m->poll_at_us)
			return false;
		m->state = OW_READ_LEASE;
	}
	if (m->state == OW_READY)
		ow_choose_background_op(m, now_us, trim);
	if (m->state == OW_READY)
		return false;
	memset(op, 0, sizeof(*op));
	ow_fill_op(m, op);
	m->sent_us = now_us;
	m->in_flight = true;
	return true;
}

uint64_t
ow_begin_append(struct ow_fsm *m, int64_t now_us)
{
	if (m->state != OW_READY || m->in_flight || m->verify_requested)
		return 0;
	m->nonce = m->next_nonce++;
	m->append_sent_us = now_us;
	m->state = OW_APPEND;
	return m->nonce;
}

bool
ow_begin_snapshot(struct ow_fsm *m, uint32_t parts)
{
	if (m->state != OW_READY || m->in_flight || parts == 0 ||
	    m->verify_requested || m->old_snapshot_parts > 0)
		return false;
	/* Same keys as the last snapshot: trimming would delete both. */
	if (m->head.snapshot_seq == m->next_seq - 1)
		return false;
	m->snapshot_parts = parts;
	m->part = 0;
	m->state = OW_WRITE_SNAPSHOT_PARTS;
	return true;
}

void
ow_on_lease_lost(struct ow_fsm *m)
{
	if (ow_is_active(m) || m->lease_held)
		m->lease_lost = true;
}

void
ow_request_verify(struct ow_fsm *m)
{
	m->verify_requested = true;
}

void
ow_request_release(struct ow_fsm *m)
{
	m->release_requested = true;
}
