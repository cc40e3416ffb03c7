#include <stdlib.h>

#include "state/pool_internal.h"

/*
 * Workers to which this owner has given no lease.
 *
 * A worker that has not accepted an owner's token has got no lease from it, only
 * from earlier ones, until a time that the owner knows. It marks the worker in
 * the registry with the time that is left. From the moment at which that may be
 * stored until a registry without the mark is known to be stored, no owner
 * extends a lease there or starts anything. So the next owner counts the time
 * that is left from when it saw that registry, or any time later, and does not
 * wait anew from its own claim.
 */

/* A worker that is unreachable for so long is marked. */
#define WP_MARK_UNREACHABLE_US (100 * CLK_US_PER_MS)

/* An inherited mark stays until the worker answers. */
static bool
wp_may_mark(const struct wp_worker *w, int64_t now_us)
{
	if (w->token_accepted)
		return false;
	return w->unleased ||
	    (w->unreachable_since_us != 0 &&
		now_us - w->unreachable_since_us >= WP_MARK_UNREACHABLE_US);
}

void
wp_unleased_tick(struct wp_pool *p, const struct wp_worker *w, int64_t now_us)
{
	bool may_mark = wp_may_mark(w, now_us);
	bool marks = may_mark && !w->unleased && now_us >= p->close_at_us;

	if (!w->registered)
		return;
	if (marks || (w->marked && !may_mark))
		p->registry_dirty = true;
}

void
wp_unleased_begin(struct wp_worker *w, int64_t now_us)
{
	w->marked = w->registering && wp_may_mark(w, now_us);
	if (w->marked)
		w->unleased = true;
}

void
wp_unleased_end(struct wp_worker *w)
{
	w->unleased = w->marked;
}

int64_t
wp_inherited_lease_ms(const struct wp_worker *w, int64_t now_us)
{
	return wp_left_ms(w->earlier_owner_until_us, now_us);
}

void
wp_mark_registered_worker(
    struct wp_pool *p, const char *id, int64_t left_ms, int64_t since_us)
{
	struct wp_worker *w = wp_find_worker(p, id);
	int64_t until_us;

	if (w == NULL)
		return;
	w->unleased = true;
	w->marked = true;
	if (left_ms < 0 || left_ms > WP_MAX_LEFT_MS)
		return;
	until_us = wp_slowest_clock_us(since_us, left_ms);
	if (until_us < w->earlier_owner_until_us)
		w->earlier_owner_until_us = until_us;
}
