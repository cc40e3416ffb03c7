#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/replica_internal.h"

#define RP_RETRY_US (200 * CLK_US_PER_MS)
#define RP_WATCH_MS 2000
/* Of the first watch after one that was overdue; workers' entries wait for it. */
#define RP_CATCH_UP_MS 500
/* A response with this many changes means that more are waiting. */
#define RP_FULL_BATCH 400

static void rp_load(struct replica *r);
static void rp_watch_operator_keys(void *arg);
static void rp_watch(void *arg);

/* Entries that have not changed count again, too. */
static void
rp_report_workers(struct replica *r)
{
	struct rp_worker *w;
	struct rp_worker *next;

	if (r->has_workers)
		return;
	r->has_workers = true;
	HASH_ITER(hh, r->workers, w, next) {
		if (w->unlisted_us == 0 && w->pool != NULL)
			r->hooks.worker(w, r->arg);
	}
}

static bool
rp_covers(const char *prefix, const char *keys)
{
	return strncmp(prefix, keys, strlen(prefix)) == 0;
}

static void
rp_log_load(struct replica *r)
{
	int64_t took_us = clk_now_us() - r->load_since_us;

	lg_event(LG_INFO, "replica", "loaded", "prefix", r->load_prefix,
	    "revision", lg_i64((int64_t)r->load_revision), "jobs",
	    lg_i64(HASH_COUNT(r->jobs)), "rows", lg_i64(r->load_rows),
	    "attempts", lg_i64(r->load_attempts), "took_ms",
	    lg_i64(took_us / CLK_US_PER_MS), "not_ready", lg_i64(r->not_ready),
	    NULL);
	r->load_since_us = 0;
	r->load_attempts = 0;
	r->not_ready = 0;
}

static void
rp_finish_load(struct replica *r)
{
	TALLOC_FREE(r->load_cursor);
	r->loading = false;
	if (rp_covers(r->load_prefix, r->fleet->entries->workers_prefix)) {
		rp_remove_unfound_workers(r);
		rp_report_workers(r);
	}
	if (rp_covers(r->load_prefix, RP_CELL_PREFIX)) {
		rp_remove_unfound_cell_keys(r);
		rp_remove_unfound_jobs(r);
		r->applied_revision = r->load_revision;
		r->current_us = r->load_sent_us;
	}
	rp_log_load(r);
	if (r->synced)
		return;
	r->synced = true;
	r->operator_revision = r->applied_revision;
	rp_watch_operator_keys(r);
}

static void rp_on_load_page(const struct ks_response *a, void *arg);

/* The page after those that have been read. */
static void
rp_read_load_page(void *arg)
{
	struct replica *r = arg;

	if (r->load_cursor == NULL)
		r->load_sent_us = clk_now_us();
	r->fleet->keys->range(r->fleet->handle, r->load_prefix, r->load_cursor,
	    rp_on_load_page, r);
}

/* It may have been too long for the link, or one read more than is allowed. */
static void
rp_load_page_failed(struct replica *r)
{
	lg_event(LG_WARN, "replica", "load_failed", "attempt",
	    lg_i64(r->load_attempts), "rows", lg_i64(r->load_rows), NULL);
	r->load_attempts++;
	loop_after(r->loop, RP_RETRY_US, rp_read_load_page, r);
}

static void
rp_on_load_page(const struct ks_response *a, void *arg)
{
	struct replica *r = arg;
	size_t i;

	if (a->result != KS_OK) {
		rp_load_page_failed(r);
		return;
	}
	r->hooks.store_answered(r->arg);
	if (r->load_cursor == NULL)
		r->load_revision = a->revision;
	r->source = "load";
	for (i = 0; i < a->item_count; i++) {
		rp_apply_in_order(r, &a->item[i]);
		rp_mark_found(r, &a->item[i]);
	}
	r->load_rows += (uint32_t)a->item_count;
	if (a->more && a->item_count > 0) {
		talloc_free(r->load_cursor);
		r->load_cursor =
		    talloc_strdup(r, a->item[a->item_count - 1].key);
		rp_read_load_page(r);
		return;
	}
	rp_finish_load(r);
	rp_watch(r);
}

/*
 * Reads the keys under load_prefix; what an earlier load found is void. Its pages are
 * of different revisions, whether one of them was repeated or not: the watch
 * that follows begins at that of the first.
 */
static void
rp_load(struct replica *r)
{
	TALLOC_FREE(r->load_cursor);
	r->load_number++;
	r->load_attempts++;
	r->load_rows = 0;
	if (r->load_since_us == 0)
		r->load_since_us = clk_now_us();
	r->loading = rp_covers(r->load_prefix, RP_CELL_PREFIX);
	rp_read_load_page(r);
}

static bool
rp_lacks_workers(const struct replica *r)
{
	return r->follow_workers && !r->has_workers && r->overdue_watches == 0;
}

/* Operators' keys have their own watch, which other changes can't delay. */
static const char *
rp_watched_prefix(const struct replica *r)
{
	return r->follow_workers && r->overdue_watches == 0 ? ""
							    : RP_CELL_PREFIX;
}

static uint32_t
rp_watch_wait_ms(const struct replica *r)
{
	return r->overdue_watches == 1 ? RP_CATCH_UP_MS : RP_WATCH_MS;
}

/* One that was given up is answered at last; a later one has shown more. */
struct rp_watch_call {
	struct replica *r;
	uint64_t number;
	int64_t sent_us;
	uint32_t wait_ms;
};

int64_t
rp_copy_age_us(const struct replica *r, int64_t now_us)
{
	return now_us - r->current_us;
}

/* Without changes the store has waited; with changes it may not have. */
static void
rp_note_current(struct replica *r, const struct ks_response *a,
    const struct rp_watch_call *call)
{
	int64_t now_us = clk_now_us();
	int64_t at_us = call->sent_us;

	if (a->item_count == 0)
		at_us += call->wait_ms * CLK_US_PER_MS;
	if (at_us > now_us)
		at_us = now_us;
	if (at_us > r->current_us)
		r->current_us = at_us;
}

static void
rp_log_watch_failed(
    const struct replica *r, enum ks_result result, int64_t sent_us)
{
	int64_t now_us = clk_now_us();

	if (result != KS_UNKNOWN)
		return;
	ct_add(CT_WATCHES_UNANSWERED, 1);
	lg_event(LG_WARN, "replica", "watch_failed", "open_ms",
	    lg_i64((now_us - sent_us) / CLK_US_PER_MS), "revision",
	    lg_i64((int64_t)r->applied_revision), "copy_ms",
	    lg_i64(rp_copy_age_us(r, now_us) / CLK_US_PER_MS), NULL);
}

/*
 * The answer may have been too long for a narrow link, and more has changed by
 * now. What concerns the cell is asked for alone; workers' entries, which are
 * most of it, are then read as they are. For owners only, as a claimant should
 * have the entries at once.
 */
static void
rp_note_overdue(struct replica *r, const struct rp_watch_call *call)
{
	int64_t open_us = clk_now_us() - call->sent_us;

	if (r->follow_workers && r->follow_cancels &&
	    open_us >= call->wait_ms * CLK_US_PER_MS)
		r->overdue_watches++;
}

static void
rp_on_watch(const struct ks_response *a, void *arg)
{
	struct rp_watch_call call = *(struct rp_watch_call *)arg;
	struct replica *r = call.r;
	bool lags = a->item_count >= RP_FULL_BATCH;
	size_t i;

	talloc_free(arg);
	if (call.number != r->watch_number) {
		r->given_up = false;
		return;
	}
	r->watching = false;
	switch (a->result) {
	case KS_OK:
		break;
	case KS_COMPACTED:
		lg_event(LG_WARN, "replica", "history_lost", "revision",
		    lg_i64((int64_t)r->applied_revision), NULL);
		r->has_workers = false;
		r->overdue_watches = 0;
		r->load_prefix = rp_watched_prefix(r);
		rp_load(r);
		return;
	default:
		rp_log_watch_failed(r, a->result, call.sent_us);
		rp_note_overdue(r, &call);
		loop_after(r->loop, RP_RETRY_US, rp_watch, r);
		return;
	}
	r->hooks.store_answered(r->arg);
	r->source = "watch";
	for (i = 0; i < a->item_count; i++)
		rp_apply_in_order(r, &a->item[i]);
	if (a->revision > r->applied_revision)
		r->applied_revision = a->revision;
	rp_note_current(r, a, &call);
	r->overdue_watches = 0;
	/* The store didn't wait, so the answer was arriving for so long. */
	if (lags)
		rp_note_overdue(r, &call);
	r->watch_paused = true;
	r->watch_resume_us = clk_now_us() + r->watch_pause_us;
	if (lags || rp_lacks_workers(r))
		rp_watch_now(r);
}

/*
 * No watch is open while the workers' entries are loaded, so the watch over all
 * keys that follows shows each of their changes since.
 */
static void
rp_watch(void *arg)
{
	struct replica *r = arg;
	struct rp_watch_call *call;

	if (rp_lacks_workers(r)) {
		r->load_prefix = r->fleet->entries->workers_prefix;
		rp_load(r);
		return;
	}
	r->has_workers = r->follow_workers && r->overdue_watches == 0;
	call = talloc_zero(r, struct rp_watch_call);
	if (call == NULL)
		abort();
	call->r = r;
	call->number = ++r->watch_number;
	call->sent_us = clk_now_us();
	call->wait_ms = rp_watch_wait_ms(r);
	r->watching = true;
	r->fleet->keys->watch(r->fleet->handle, rp_watched_prefix(r),
	    r->applied_revision, call->wait_ms, rp_on_watch, call);
}

void
rp_follow_workers(struct replica *r, bool follow)
{
	r->follow_workers = follow;
	if (rp_lacks_workers(r))
		rp_watch_now(r);
}

static void
rp_on_operator_keys(const struct ks_response *a, void *arg)
{
	struct replica *r = arg;
	size_t i;

	if (a->result != KS_OK) {
		r->load_operator_keys |= a->result == KS_COMPACTED;
		loop_after(r->loop, RP_RETRY_US, rp_watch_operator_keys, r);
		return;
	}
	for (i = 0; i < a->item_count; i++)
		rp_apply_out_of_order(r, &a->item[i]);
	/* The watch that follows a load begins at its first page. */
	if (r->operator_cursor == NULL && a->revision > r->operator_revision)
		r->operator_revision = a->revision;
	TALLOC_FREE(r->operator_cursor);
	if (r->load_operator_keys && a->more && a->item_count > 0)
		r->operator_cursor =
		    talloc_strdup(r, a->item[a->item_count - 1].key);
	r->load_operator_keys = r->operator_cursor != NULL;
	rp_watch_operator_keys(r);
}

static void
rp_watch_operator_keys(void *arg)
{
	struct replica *r = arg;
	const struct fl_fleet *f = r->fleet;

	if (r->load_operator_keys)
		f->keys->range(f->handle, f->entries->orders_prefix,
		    r->operator_cursor, rp_on_operator_keys, r);
	else
		f->keys->watch(f->handle, f->entries->orders_prefix,
		    r->operator_revision, RP_WATCH_MS, rp_on_operator_keys, r);
}

bool
rp_has_applied(const struct replica *r, uint64_t revision)
{
	return r->synced && !r->loading && r->applied_revision >= revision;
}

void
rp_tick(struct replica *r, int64_t now_us)
{
	rp_cancels_tick(r, now_us);
	if (now_us >= r->watch_resume_us)
		rp_watch_now(r);
}

void
rp_watch_now(struct replica *r)
{
	if (!r->watch_paused)
		return;
	r->watch_paused = false;
	rp_watch(r);
}

void
rp_watch_anew(struct replica *r)
{
	if (!r->watching) {
		rp_watch_now(r);
		return;
	}
	/* That one may be arriving still, over a narrow link. */
	if (r->given_up)
		return;
	r->given_up = true;
	r->watching = false;
	r->watch_number++;
	rp_watch(r);
}

struct replica *
rp_start(TALLOC_CTX *ctx, struct loop *l, const struct fl_fleet *fleet,
    const struct rp_hooks *hooks, void *arg)
{
	struct replica *r = talloc_zero(ctx, struct replica);

	if (r == NULL)
		abort();
	r->loop = l;
	r->fleet = fleet;
	r->hooks = *hooks;
	r->arg = arg;
	r->watch_pause_us = 10 * CLK_US_PER_MS;
	r->follow_workers = true;
	r->load_prefix = "";
	rp_load(r);
	return r;
}
