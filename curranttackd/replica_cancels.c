#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/replica_internal.h"

/* With a call that hangs before one that doesn't, 2 s pass at most. */
#define RP_CANCELS_AGE_US (CLK_US_PER_S)
#define RP_CANCELS_RETRY_US (500 * CLK_US_PER_MS)
/* What has changed by now; a call that waits would hang for longer. */
#define RP_CANCELS_WAIT_MS 1

int64_t
rp_cancels_age_us(const struct replica *r, int64_t now_us)
{
	int64_t age_us = now_us - r->cancels_current_us;
	int64_t copy_us = rp_copy_age_us(r, now_us);

	return age_us < copy_us ? age_us : copy_us;
}

void
rp_follow_cancels(struct replica *r, bool follow)
{
	r->follow_cancels = follow;
}

/* Removals are left to the watch, which shows them in their order. */
static void
rp_apply_cancels(struct replica *r, const struct ks_response *a)
{
	const size_t n = strlen(RP_CANCEL_PREFIX);
	size_t i;

	for (i = 0; i < a->item_count; i++) {
		const struct ks_item *item = &a->item[i];

		if (!item->deleted &&
		    strncmp(item->key, RP_CANCEL_PREFIX, n) == 0)
			rp_note_cancel(
			    r, item->key + n, item->revision, "check");
	}
}

/*
 * A watch that hangs, or whose history is lost, is followed by a load, which goes
 * on after a page that failed.
 */
static void
rp_cancels_failed(struct replica *r, enum ks_result result)
{
	bool was_load = r->load_cancels;

	r->load_cancels |= result == KS_COMPACTED || result == KS_UNKNOWN;
	if (was_load || result == KS_REFUSED)
		r->cancels_at_us = clk_now_us() + RP_CANCELS_RETRY_US;
}

static void
rp_cancels_finish(struct replica *r)
{
	TALLOC_FREE(r->cancels_cursor);
	r->load_cancels = false;
	if (r->cancels_as_of > r->cancels_revision)
		r->cancels_revision = r->cancels_as_of;
	r->cancels_current_us = r->cancels_sent_us;
}

static void rp_read_cancels(struct replica *r);

static void
rp_on_cancels(const struct ks_response *a, void *arg)
{
	struct replica *r = arg;

	r->reading_cancels = false;
	if (a->result != KS_OK) {
		rp_cancels_failed(r, a->result);
		return;
	}
	r->hooks.store_answered(r->arg);
	rp_apply_cancels(r, a);
	if (r->cancels_cursor == NULL)
		r->cancels_as_of = a->revision;
	if (!r->load_cancels || !a->more || a->item_count == 0) {
		rp_cancels_finish(r);
		return;
	}
	talloc_free(r->cancels_cursor);
	r->cancels_cursor = talloc_strdup(r, a->item[a->item_count - 1].key);
	rp_read_cancels(r);
}

static void
rp_read_cancels(struct replica *r)
{
	const struct fl_fleet *f = r->fleet;
	uint64_t after = r->cancels_revision;

	r->reading_cancels = true;
	if (r->cancels_cursor == NULL)
		r->cancels_sent_us = clk_now_us();
	if (r->load_cancels) {
		f->keys->range(f->handle, RP_CANCEL_PREFIX, r->cancels_cursor,
		    rp_on_cancels, r);
		return;
	}
	if (after < r->applied_revision)
		after = r->applied_revision;
	f->keys->watch(f->handle, RP_CANCEL_PREFIX, after, RP_CANCELS_WAIT_MS,
	    rp_on_cancels, r);
}

void
rp_cancels_tick(struct replica *r, int64_t now_us)
{
	if (!r->follow_cancels || !r->synced || r->reading_cancels ||
	    now_us < r->cancels_at_us ||
	    rp_cancels_age_us(r, now_us) < RP_CANCELS_AGE_US)
		return;
	rp_read_cancels(r);
}
