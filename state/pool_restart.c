#include <stdlib.h>

#include "state/pool_internal.h"

/*
 * Workers that have restarted under their names.
 *
 * A call that was sent to a worker's earlier incarnation may be carried out by
 * the next one, seconds later. The clock of that one starts anew, anywhere, so the
 * call's deadline may be far ahead; the lease is then the longest that workers
 * grant. How old an incarnation is can't be told from its clock.
 *
 * An owner that has called the earlier incarnation stores the newer one with the
 * registry. From then on it calls that worker under the revision of the registry
 * as fencing token, which is higher than the tokens of all earlier calls and lower
 * than a later owner's. Once the worker has accepted it, earlier calls do
 * nothing any more, and the longest lease counts from then. Before that, the
 * worker gets no task and no lease.
 *
 * A restart may show before the new incarnation has answered: by the worker's
 * entry, a late reply, or an answer by another clock. From then on the worker gets
 * no start and no deadline, until an incarnation answers a renewal sent since. If
 * none does, the lease by the earlier clock still tells when the confirmed runs
 * of the earlier incarnation are over; tasks whose start may be carried out by the
 * new one wait for the longest lease.
 *
 * The registry says until when such a lease may last, for the next owner, which
 * may never reach the worker.
 */

/* The longest lease, by the slowest clock, that begins now. */
static int64_t
wp_longest_lease_us(const struct wp_pool *p)
{
	return wp_slowest_clock_us(0, p->max_lease_ms) + WP_EXPIRY_MARGIN_US;
}

static void
wp_extend_late_lease(struct wp_pool *p, struct wp_worker *w, int64_t until_us)
{
	if (until_us <= w->late_lease_until_us)
		return;
	w->late_lease_until_us = until_us;
	p->registry_dirty = true;
}

/* A registry in flight may be older than what is known now. */
static void
wp_restart_to_store(struct wp_pool *p, struct wp_worker *w)
{
	w->restart_unstored = true;
	w->restart_registering = false;
	p->registry_dirty = true;
}

/* Of this owner; those sent until now have reached it, or never will. */
static void
wp_expect_late_calls(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	wp_extend_late_lease(
	    p, w, now_us + WP_MAX_ORDER_DELAY_US + wp_longest_lease_us(p));
	wp_restart_to_store(p, w);
}

static bool
wp_may_have_been_called(const struct wp_pool *p, const struct wp_worker *w)
{
	return w->inherited || (p->term > 0 && !p->knows_registered);
}

/*
 * No owner has given it anything. A start of an earlier one that it carries out
 * after this is not counted: all tasks would wait for that, though the worker may
 * have ended.
 */
void
wp_expect_unknown_calls(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	int64_t called_us =
	    p->earlier_owner_until_us - WP_LEASE_US + WP_MAX_ORDER_DELAY_US;

	if (!wp_may_have_been_called(p, w))
		return;
	if (called_us > now_us)
		called_us = now_us;
	wp_extend_late_lease(p, w, called_us + wp_longest_lease_us(p));
	wp_restart_to_store(p, w);
	w->unknown_calls = true;
}

void
wp_restart_seen(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	if (w->restart_seen || w->over)
		return;
	w->restart_seen = true;
	w->restart_seen_us = now_us;
	w->late_lease_before_us = w->late_lease_until_us;
	wp_expect_late_calls(p, w, now_us);
	wp_strays_hold(p, w, now_us);
}

void
wp_restart_unseen(struct wp_pool *p, struct wp_worker *w)
{
	w->restart_seen = false;
	w->late_lease_until_us = w->late_lease_before_us;
	p->registry_dirty = true;
}

void
wp_restart_fence(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	wp_expect_late_calls(p, w, now_us);
	w->restart_seen = false;
	w->unfenced = true;
}

void
wp_earlier_calls_fenced(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	int64_t until_us = now_us + wp_longest_lease_us(p);

	if (w->unknown_calls)
		wp_extend_late_lease(p, w, until_us);
	w->unknown_calls = false;
	w->unfenced = false;
	if (w->late_lease_until_us <= until_us)
		return;
	w->late_lease_until_us = until_us;
	p->registry_dirty = true;
}

void
wp_restart_registering(struct wp_worker *w, int64_t now_us)
{
	w->restart_registering = w->restart_unstored;
	w->registered_incarnation_ms = wp_newest_incarnation_ms(w);
	w->late_lease_registered = wp_late_lease_ms(w, now_us) > 0;
}

/*
 * A daemon that reads the registry later counts the time from when it reads it. An
 * incarnation that the registry doesn't name counts as a restart.
 */
bool
wp_is_registry_outdated(const struct wp_worker *w, int64_t now_us)
{
	return (w->late_lease_registered && now_us >= w->late_lease_until_us) ||
	    w->registered_incarnation_ms != wp_newest_incarnation_ms(w);
}

void
wp_restart_registered(struct wp_worker *w, uint64_t revision)
{
	if (!w->restart_registering)
		return;
	w->restart_registering = false;
	w->restart_unstored = false;
	if (!w->unfenced)
		return;
	w->fence = revision;
	w->renew_at_us = 0;
}

void
wp_confirm_fence(
    struct wp_pool *p, struct wp_worker *w, uint64_t fence, int64_t now_us)
{
	if (!w->unfenced || w->restart_unstored || fence != w->fence)
		return;
	wp_earlier_calls_fenced(p, w, now_us);
	wp_strays_rule_out(w);
}

bool
wp_is_fenced_by_owner(const struct wp_worker *w, uint64_t fence)
{
	return fence < w->fence;
}

int64_t
wp_late_lease_ms(const struct wp_worker *w, int64_t now_us)
{
	return wp_left_ms(w->late_lease_until_us, now_us);
}

void
wp_inherit_late_lease(
    struct wp_pool *p, const char *id, int64_t left_ms, int64_t since_us)
{
	struct wp_worker *w = wp_find_worker(p, id);

	if (w == NULL)
		return;
	if (left_ms < 0 || left_ms > WP_MAX_LEFT_MS)
		left_ms = (WP_MAX_ORDER_DELAY_US + wp_longest_lease_us(p)) /
		    CLK_US_PER_MS;
	if (left_ms == 0)
		return;
	w->late_lease_registered = true;
	w->late_lease_until_us = wp_slowest_clock_us(since_us, left_ms);
}
