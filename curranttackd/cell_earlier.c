#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool_internal.h"

#define CP_INQUIRE_US (300 * CLK_US_PER_MS)
/* Witnesses that have not answered by then are logged. */
#define CP_INQUIRY_LOG_US (1000 * CLK_US_PER_MS)
/* No grant holds for longer, whatever an answer says. */
#define CP_MAX_LEFT_MS 60000

/*
 * Whether the last owner's process has ended, or has lost its pools: it has been
 * followed by another incarnation, which may be this one.
 */
static bool
cp_earlier_owner_has_ended(const struct cp_host *h)
{
	const struct cell *c = h->cell;
	const struct rp_member *m;

	if (strcmp(h->earlier_owner_vm, c->settings->vm) == 0)
		return c->incarnation > h->earlier_owner_incarnation;
	HASH_FIND_STR(c->replica->members, h->earlier_owner_vm, m);
	return m != NULL && m->incarnation > h->earlier_owner_incarnation;
}

/* Until when owners before the last one may act; the stored time may be wrong. */
static int64_t
cp_older_owners_until_us(const struct rp_owner *o, int64_t now_us)
{
	int64_t longest_us =
	    now_us + CP_WORKER_LEASE_US + WT_UNCONFIRMED_LIMIT_US;
	int64_t stored_us;

	if (o->earlier_left_ms >= 0)
		stored_us = o->term_read_us +
		    o->earlier_left_ms * CLK_US_PER_MS * 1000 /
			CLK_MIN_RATE_PER_MILLE;
	else
		/* By the time of day, which may have been set. */
		stored_us = o->earlier_owner_until_wall_ms * CLK_US_PER_MS +
		    cell_wall_to_steady_us();
	return stored_us < longest_us ? stored_us : longest_us;
}

/* Until when the last owner, or one before it, may still act on workers. */
static int64_t
cp_earlier_owner_until_us(
    const struct cp_host *h, const struct rp_owner *o, int64_t now_us)
{
	int64_t last_us = now_us + CP_WORKER_LEASE_US;

	if (o->term == 0)
		return 0;
	if (!o->released && !cp_earlier_owner_has_ended(h))
		last_us += WT_UNCONFIRMED_LIMIT_US;
	return h->older_owners_until_us > last_us ? h->older_owners_until_us
						  : last_us;
}

/*
 * What was noted before an earlier claim still holds: that one changed nothing,
 * or it had no answer, and this process has not acted in its term.
 */
static bool
cp_is_noted(const struct cp_host *h, const struct rp_owner *o)
{
	const struct cell *c = h->cell;

	if (h->noted_revision == 0)
		return false;
	return o->term_revision == h->noted_revision ||
	    (o->term != h->term && o->term_incarnation == c->incarnation &&
		strcmp(o->term_vm, c->settings->vm) == 0);
}

void
cp_note_earlier_owners(struct cp_host *h, const struct rp_owner *o)
{
	int64_t now_us = clk_now_us();

	if (cp_is_noted(h, o))
		return;
	h->noted_revision = o->term_revision;
	h->older_owners_until_us = cp_older_owners_until_us(o, now_us);
	tx_set(h, &h->earlier_owner_vm, o->term_vm);
	h->earlier_owner_incarnation = o->term_incarnation;
	h->earlier_owner_until_us = cp_earlier_owner_until_us(h, o, now_us);
	h->term_dirty = false;
	h->inquiring = o->term > 0 && !o->released && o->witnesses.count > 0;
	h->inquiry_term = o->term;
	h->inquiry_fence = o->term_fence;
	h->inquire_at_us = 0;
	h->inquiry_logged = false;
	wt_inquire(&h->inquiry, &o->witnesses, now_us);
}

static void
cp_log_earlier_owner(const struct cp_host *h, const char *by,
    const char *slowest, int64_t now_us)
{
	lg_event(LG_INFO, "pool", "earlier_owner", "pool", h->name,
	    "last_owner", h->earlier_owner_vm, "by", by, "slowest", slowest,
	    "left_ms",
	    lg_i64((h->earlier_owner_until_us - now_us) / CLK_US_PER_MS), NULL);
}

bool
cp_update_earlier_owner(struct cp_host *h, int64_t now_us)
{
	bool ended = cp_earlier_owner_has_ended(h);
	const char *slowest = "";
	int64_t until_us = now_us;

	if (!ended && !h->inquiring)
		return false;
	if (!ended)
		until_us = wt_last_owner_until_us(&h->inquiry, &slowest);
	until_us += CP_WORKER_LEASE_US;
	if (until_us < h->older_owners_until_us)
		until_us = h->older_owners_until_us;
	if (until_us >= h->earlier_owner_until_us)
		return false;
	h->earlier_owner_until_us = until_us;
	h->term_dirty = true;
	cp_log_earlier_owner(
	    h, ended ? "incarnation" : "witnesses", slowest, now_us);
	return true;
}

/*
 * Whether the incarnation of a witness that the stored list names has ended. An
 * entry with a lower one may be a write that the store has applied late.
 */
static bool
cp_witness_has_ended(const struct cp_host *h, const struct wt_witness *w)
{
	const struct cell *c = h->cell;
	const struct rp_member *m;

	if (strcmp(w->vm, c->settings->vm) == 0)
		return c->incarnation != w->incarnation;
	HASH_FIND_STR(c->replica->members, w->vm, m);
	return m != NULL && m->incarnation > w->incarnation;
}

static void
cp_inquire_of(struct cp_host *h, const struct wt_witness *w, bool ask)
{
	bool own = strcmp(w->vm, h->cell->settings->vm) == 0;
	int64_t now_us = clk_now_us();
	int64_t until_us = 0;

	if (own)
		until_us = wt_revoke(&h->memory, h->inquiry_term);
	if (cp_witness_has_ended(h, w))
		wt_on_ended(&h->inquiry, w->vm, now_us);
	else if (own)
		wt_on_revoked(&h->inquiry, w->vm, until_us);
	else if (ask)
		cp_send_witness_ask(
		    h, w->vm, h->inquiry_term, h->inquiry_fence, true);
}

static void
cp_inquire(struct cp_host *h, bool ask)
{
	const struct wt_votes *v = &h->inquiry.votes;
	uint32_t i;

	for (i = 0; i < v->list.count; i++) {
		if (v->until_us[i] == WT_UNKNOWN)
			cp_inquire_of(h, &v->list.witness[i], ask);
	}
}

void
cp_apply_earlier_owner(struct cp_host *h)
{
	if (h->inquiring)
		cp_inquire(h, false);
	if (!cp_update_earlier_owner(h, clk_now_us()) || h->pool == NULL)
		return;
	wp_earlier_owners_stopped(h->pool, h->earlier_owner_until_us);
	cp_schedule_pass(h);
}

static void
cp_log_unanswered(struct cp_host *h, int64_t now_us)
{
	const struct wt_votes *v = &h->inquiry.votes;
	char names[WT_MAX_WITNESSES * WT_VM_BYTES] = "";
	size_t used = 0;
	uint32_t i;

	if (h->inquiry_logged || now_us < h->owner_since_us + CP_INQUIRY_LOG_US)
		return;
	h->inquiry_logged = true;
	for (i = 0; i < v->list.count; i++) {
		if (v->until_us[i] == WT_UNKNOWN && used < sizeof(names))
			used += (size_t)snprintf(names + used,
			    sizeof(names) - used, "%s%s", used > 0 ? "," : "",
			    v->list.witness[i].vm);
	}
	lg_event(LG_INFO, "pool", "earlier_owner_unknown", "pool", h->name,
	    "last_owner", h->earlier_owner_vm, "unanswered", names, "left_ms",
	    lg_i64((h->earlier_owner_until_us - now_us) / CLK_US_PER_MS), NULL);
}

void
cp_inquire_tick(struct cp_host *h, int64_t now_us)
{
	if (!h->inquiring || now_us < h->inquire_at_us)
		return;
	h->inquire_at_us = now_us + CP_INQUIRE_US;
	cp_inquire(h, true);
	cp_apply_earlier_owner(h);
	if (now_us >= h->earlier_owner_until_us || wt_is_settled(&h->inquiry))
		h->inquiring = false;
	else
		cp_log_unanswered(h, now_us);
}

void
cp_on_revoked(struct cp_host *h, const struct wt_witness *from, uint32_t term,
    int64_t left_ms)
{
	const struct wt_list *list = &h->inquiry.votes.list;
	int64_t now_us = clk_now_us();
	int32_t i = wt_find(list, from->vm);

	if (!h->inquiring || h->pool == NULL || term != h->inquiry_term ||
	    i == -1 || left_ms < 0 || left_ms > CP_MAX_LEFT_MS)
		return;
	if (list->witness[i].incarnation == from->incarnation)
		wt_on_revoked(
		    &h->inquiry, from->vm, now_us + left_ms * CLK_US_PER_MS);
	else
		wt_on_ended(&h->inquiry, from->vm, now_us);
	cp_apply_earlier_owner(h);
}
