#include <string.h>

#include "common/clock.h"
#include "coordination/ownership.h"

#define OW_POLL_US (500 * CLK_US_PER_MS)
#define OW_RETRY_MIN_US (50 * CLK_US_PER_MS)
#define OW_RETRY_MAX_US (CLK_US_PER_S)
/*
 * An owner that was last verified longer ago than this might append after the
 * seal of a new owner has been deleted (ownership.c), so it reads the head
 * before it reports the append as durable.
 */
#define OW_VERIFY_AFTER_US (40 * CLK_US_PER_S)

static enum ow_event
ow_give_up(struct ow_fsm *m, int64_t now_us)
{
	bool active = ow_is_active(m);

	m->state = OW_IDLE;
	m->lease_held = false;
	m->lease_lost = false;
	m->verify_requested = false;
	m->poll_at_us = now_us + OW_POLL_US;
	return active ? OW_EV_FENCED : OW_EV_RESET;
}

static void
ow_back_off(struct ow_fsm *m, int64_t now_us)
{
	int64_t delay_us = OW_RETRY_MIN_US;
	uint32_t i;

	for (i = 0; i < m->failures && delay_us < OW_RETRY_MAX_US; i++)
		delay_us *= 2;
	m->failures++;
	m->retry_at_us = now_us + delay_us;
}

/* A write without a response may have taken effect: read it back. */
static enum ow_event
ow_on_unavailable(struct ow_fsm *m, int64_t now_us)
{
	ow_back_off(m, now_us);
	switch (m->state) {
	case OW_READ_LEASE:
	case OW_READ_HEAD:
	case OW_ACQUIRE_LEASE:
		m->state = OW_IDLE;
		break;
	case OW_WRITE_HEAD:
		m->state = OW_CHECK_HEAD;
		break;
	case OW_WRITE_SEAL:
		m->state = OW_CHECK_SEAL;
		break;
	case OW_APPEND:
		m->state = OW_CHECK_APPEND;
		break;
	case OW_WRITE_SNAPSHOT_HEAD:
		m->state = OW_CHECK_SNAPSHOT_HEAD;
		break;
	case OW_TRIM_LOG:
	case OW_TRIM_SNAPSHOT:
	case OW_RECREATE_LEASE_KEY:
		/* Nothing waits for these: let appends go first. */
		m->state = OW_READY;
		break;
	default:
		break;
	}
	return OW_EV_NONE;
}

static enum ow_event
ow_on_lease_read(struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (r->result == OW_OK && r->writer != m->writer) {
		m->state = OW_IDLE;
		m->poll_at_us = now_us + OW_POLL_US;
		return OW_EV_NONE;
	}
	m->lease_held = r->result == OW_OK;
	m->lease_revision = r->revision;
	m->state = OW_READ_HEAD;
	return OW_EV_NONE;
}

static void
ow_save_head(struct ow_fsm *m, const struct ow_response *r)
{
	m->head_exists = r->result == OW_OK;
	m->head_revision = r->revision;
	if (m->head_exists)
		m->head = r->head;
	else
		memset(&m->head, 0, sizeof(m->head));
}

static void
ow_begin_write_head(struct ow_fsm *m)
{
	m->epoch = m->head.epoch + 1;
	memcpy(m->previous_owner, m->head.owner, sizeof(m->previous_owner));
	m->previous_writer = m->head.writer;
	m->nonce = m->next_nonce++;
	m->state = OW_WRITE_HEAD;
}

static enum ow_event
ow_on_head_read(struct ow_fsm *m, const struct ow_response *r)
{
	ow_save_head(m, r);
	if (m->lease_held)
		ow_begin_write_head(m);
	else
		m->state = OW_ACQUIRE_LEASE;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_lease_acquired(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (r->result != OW_OK) {
		m->state = OW_IDLE;
		m->poll_at_us = now_us + OW_POLL_US;
		return OW_EV_NONE;
	}
	m->lease_held = true;
	m->lease_revision = r->revision;
	ow_begin_write_head(m);
	return OW_EV_NONE;
}

static enum ow_event
ow_begin_recovery(struct ow_fsm *m)
{
	m->part = 0;
	m->next_seq = m->head.snapshot_seq + 1;
	m->trim_seq = m->head.trimmed_seq + 1;
	m->old_snapshot_parts = 0;
	m->state = m->head.snapshot_parts > 0 ? OW_READ_SNAPSHOT : OW_READ_LOG;
	return OW_EV_RESET;
}

static bool
ow_head_is_mine(const struct ow_fsm *m, const struct ow_response *r)
{
	return r->result == OW_OK && r->head.writer == m->writer &&
	    r->head.epoch == m->epoch;
}

static enum ow_event
ow_on_head_written(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	(void)now_us;
	if (r->result != OW_OK) {
		m->state = OW_CHECK_HEAD;
		return OW_EV_NONE;
	}
	m->head_exists = true;
	m->head_revision = r->revision;
	return ow_begin_recovery(m);
}

static enum ow_event
ow_on_head_checked(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (ow_head_is_mine(m, r) && r->head.nonce == m->nonce) {
		ow_save_head(m, r);
		return ow_begin_recovery(m);
	}
	if (r->result == OW_ABSENT && !m->head_exists) {
		m->state = OW_WRITE_HEAD;
		return OW_EV_NONE;
	}
	if (r->result == OW_OK && m->head_exists &&
	    r->revision == m->head_revision) {
		m->state = OW_WRITE_HEAD;
		return OW_EV_NONE;
	}
	return ow_give_up(m, now_us);
}

static enum ow_event
ow_on_snapshot_read(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	/* Another owner has replaced this snapshot and deleted it. */
	if (r->result != OW_OK)
		return ow_give_up(m, now_us);
	m->part++;
	if (m->part == m->head.snapshot_parts)
		m->state = OW_READ_LOG;
	return OW_EV_REPLAY;
}

static enum ow_event
ow_on_log_read(struct ow_fsm *m, const struct ow_response *r)
{
	if (r->result == OW_OK) {
		m->next_seq++;
		return OW_EV_REPLAY;
	}
	m->nonce = m->next_nonce++;
	m->state = OW_WRITE_SEAL;
	return OW_EV_NONE;
}

static enum ow_event
ow_become_active(struct ow_fsm *m, int64_t now_us)
{
	m->seal_seq = m->next_seq++;
	m->sealed_at_us = now_us;
	m->verified_us = m->sent_us;
	m->state = OW_READY;
	return OW_EV_ACTIVE;
}

static bool
ow_entry_is_mine(const struct ow_fsm *m, const struct ow_response *r)
{
	return r->writer == m->writer && r->nonce == m->nonce;
}

static enum ow_event
ow_on_seal_written(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (r->result == OW_OK)
		return ow_become_active(m, now_us);
	m->state = OW_CHECK_SEAL;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_seal_checked(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (r->result == OW_ABSENT) {
		m->state = OW_WRITE_SEAL;
		return OW_EV_NONE;
	}
	if (ow_entry_is_mine(m, r))
		return ow_become_active(m, now_us);
	/* An append of the earlier owner came first: it is durable. */
	m->next_seq++;
	m->state = OW_READ_LOG;
	return OW_EV_REPLAY;
}

static enum ow_event
ow_commit(struct ow_fsm *m)
{
	m->next_seq++;
	m->state = OW_READY;
	return OW_EV_COMMITTED;
}

static enum ow_event
ow_commit_or_verify(struct ow_fsm *m, int64_t now_us)
{
	if (now_us - m->verified_us < OW_VERIFY_AFTER_US) {
		m->verified_us = m->append_sent_us;
		return ow_commit(m);
	}
	m->state = OW_VERIFY_APPEND;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_appended(struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (r->result == OW_OK)
		return ow_commit_or_verify(m, now_us);
	m->state = OW_CHECK_APPEND;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_append_checked(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (r->result == OW_ABSENT) {
		m->state = OW_APPEND;
		return OW_EV_NONE;
	}
	if (ow_entry_is_mine(m, r))
		return ow_commit_or_verify(m, now_us);
	return ow_give_up(m, now_us);
}

static enum ow_event
ow_on_verified(struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	bool append = m->state == OW_VERIFY_APPEND;

	m->verify_requested = false;
	if (!ow_head_is_mine(m, r))
		return ow_give_up(m, now_us);
	m->verified_us = m->sent_us;
	if (append)
		return ow_commit(m);
	m->state = OW_READY;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_lease_recreated(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	m->state = OW_READY;
	m->poll_at_us = now_us + OW_POLL_US;
	if (r->result == OW_OK) {
		m->lease_lost = false;
		m->lease_revision = r->revision;
		return OW_EV_NONE;
	}
	/* The key exists: created by us, unanswered, or by a successor. */
	m->verify_requested = true;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_part_written(struct ow_fsm *m, const struct ow_response *r)
{
	(void)r;
	/* The key has our epoch: a conflict is our own unanswered write. */
	m->part++;
	if (m->part == m->snapshot_parts) {
		m->nonce = m->next_nonce++;
		m->state = OW_WRITE_SNAPSHOT_HEAD;
	}
	return OW_EV_NONE;
}

static enum ow_event
ow_finish_snapshot(struct ow_fsm *m, uint64_t revision)
{
	m->old_snapshot_seq = m->head.snapshot_seq;
	m->old_snapshot_epoch = m->head.snapshot_epoch;
	m->old_snapshot_parts = m->head.snapshot_parts;
	m->head_revision = revision;
	m->head.snapshot_seq = m->next_seq - 1;
	m->head.snapshot_epoch = m->epoch;
	m->head.snapshot_parts = m->snapshot_parts;
	m->state = OW_READY;
	return OW_EV_SNAPSHOT;
}

static enum ow_event
ow_on_snapshot_head_written(struct ow_fsm *m, const struct ow_response *r)
{
	if (r->result == OW_OK)
		return ow_finish_snapshot(m, r->revision);
	m->state = OW_CHECK_SNAPSHOT_HEAD;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_snapshot_head_checked(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	if (!ow_head_is_mine(m, r))
		return ow_give_up(m, now_us);
	if (r->head.nonce == m->nonce)
		return ow_finish_snapshot(m, r->revision);
	m->head_revision = r->revision;
	m->state = OW_WRITE_SNAPSHOT_HEAD;
	return OW_EV_NONE;
}

static enum ow_event
ow_on_released(struct ow_fsm *m)
{
	m->state = OW_IDLE;
	m->lease_held = false;
	return OW_EV_RELEASED;
}

enum ow_event
ow_on_response(struct ow_fsm *m, const struct ow_response *r, int64_t now_us)
{
	m->in_flight = false;
	if (r->result == OW_UNAVAILABLE)
		return ow_on_unavailable(m, now_us);
	m->failures = 0;
	switch (m->state) {
	case OW_READ_LEASE:
		return ow_on_lease_read(m, r, now_us);
	case OW_READ_HEAD:
		return ow_on_head_read(m, r);
	case OW_ACQUIRE_LEASE:
		return ow_on_lease_acquired(m, r, now_us);
	case OW_WRITE_HEAD:
		return ow_on_head_written(m, r, now_us);
	case OW_CHECK_HEAD:
		return ow_on_head_checked(m, r, now_us);
	case OW_READ_SNAPSHOT:
		return ow_on_snapshot_read(m, r, now_us);
	case OW_READ_LOG:
		return ow_on_log_read(m, r);
	case OW_WRITE_SEAL:
		return ow_on_seal_written(m, r, now_us);
	case OW_CHECK_SEAL:
		return ow_on_seal_checked(m, r, now_us);
	case OW_APPEND:
		return ow_on_appended(m, r, now_us);
	case OW_CHECK_APPEND:
		return ow_on_append_checked(m, r, now_us);
	case OW_VERIFY_APPEND:
	case OW_VERIFY:
		return ow_on_verified(m, r, now_us);
	case OW_RECREATE_LEASE_KEY:
		return ow_on_lease_recreated(m, r, now_us);
	case OW_WRITE_SNAPSHOT_PARTS:
		return ow_on_part_written(m, r);
	case OW_WRITE_SNAPSHOT_HEAD:
		return ow_on_snapshot_head_written(m, r);
	case OW_CHECK_SNAPSHOT_HEAD:
		return ow_on_snapshot_head_checked(m, r, now_us);
	case OW_TRIM_LOG:
		m->trim_seq++;
		m->state = OW_READY;
		return OW_EV_NONE;
	case OW_TRIM_SNAPSHOT:
		m->old_snapshot_parts--;
		m->state = OW_READY;
		return OW_EV_NONE;
	case OW_RELEASE:
		return ow_on_released(m);
	case OW_IDLE:
	case OW_READY:
		break;
	}
	return OW_EV_NONE;
}
