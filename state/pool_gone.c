#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * Workers that are over: a later worker runs on their VM.
 *
 * A VM runs one worker at a time. One that started later there, and answers a
 * call that was made after the earlier one was known to exist, or had answered,
 * shows that the earlier one has ended, and all its runs with it, whatever leases
 * it had. Entries alone don't show that: they are removed late, and may be
 * written late. Start times are by the VM's clock, which may have been set back;
 * then nothing is concluded.
 */

#define WP_CHECK_OVER_US (50 * CLK_US_PER_MS)

int64_t
wp_newest_incarnation_ms(const struct wp_worker *w)
{
	return w->incarnation_ms > w->known_incarnation_ms
	    ? w->incarnation_ms
	    : w->known_incarnation_ms;
}

void
wp_know_incarnation(struct wp_pool *p, struct wp_worker *w,
    int64_t incarnation_ms, int64_t now_us)
{
	if (w->known_since_us != 0 &&
	    (w->known_incarnation_ms == incarnation_ms || incarnation_ms == 0))
		return;
	if (w->token_accepted && incarnation_ms != 0 &&
	    incarnation_ms != w->incarnation_ms)
		wp_restart_seen(p, w, now_us);
	else if (w->known_incarnation_ms != 0 && !w->token_accepted)
		wp_expect_unknown_calls(p, w, now_us);
	w->known_incarnation_ms = incarnation_ms;
	w->known_since_us = now_us;
	if (!w->over || incarnation_ms == w->incarnation_ms)
		return;
	w->over = false;
	if (now_us < p->earlier_owner_until_us)
		w->earlier_owner_until_us = p->earlier_owner_until_us;
}

void
wp_describe_registered_worker(struct wp_pool *p, const char *id, const char *vm,
    int64_t incarnation_ms, int64_t now_us)
{
	struct wp_worker *w = wp_find_worker(p, id);
	struct wp_worker_info known;

	if (w == NULL)
		return;
	known = (struct wp_worker_info){
	    .address = w->address,
	    .domain = w->domain,
	    .kind = w->kind,
	    .rack = w->rack,
	    .vm = vm,
	};
	wp_worker_set_texts(w, &known);
	wp_know_incarnation(p, w, incarnation_ms, now_us);
	w->registered_incarnation_ms = incarnation_ms;
}

/*
 * Whether a worker's answer shows that an earlier one on its VM has ended. Its
 * entry has to be of the incarnation that answered, which may run elsewhere.
 */
static bool
wp_follows(const struct wp_worker *next, const struct wp_worker *w)
{
	return next != w && next->reachable &&
	    next->known_incarnation_ms == next->incarnation_ms &&
	    next->incarnation_ms > wp_newest_incarnation_ms(w) &&
	    next->answered_renewal_us > w->known_since_us &&
	    next->answered_renewal_us > w->prompt_reply_us &&
	    strcmp(next->vm, w->vm) == 0;
}

/* Its runs have ended, and no call reaches it any more. */
static void
wp_worker_over(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	wp_suspect_tasks(p, w, now_us);
	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		p->stats.displaced++;
		wp_task_requeue(t, now_us);
	}
	w->over = true;
	w->has_unlisted_ends = false;
	w->earlier_owner_until_us = 0;
	w->late_lease_until_us = 0;
	w->restart_seen = false;
	w->lease_end_clock_ms = 0;
	wp_forget_orphans(w);
	wp_strays_forget(w);
	p->stats.over++;
	p->registry_dirty = true;
}

static bool
wp_may_be_over(const struct wp_worker *w, int64_t now_us)
{
	return !w->over && !w->reachable && w->vm[0] != '\0' &&
	    wp_newest_incarnation_ms(w) != 0 &&
	    wp_needs_registration(w, now_us);
}

void
wp_over_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *next;

	/* A later owner may have started what would be started again. */
	if (p->ownership_unconfirmed || now_us < p->check_over_at_us)
		return;
	p->check_over_at_us = now_us + WP_CHECK_OVER_US;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!wp_may_be_over(w, now_us))
			continue;
		for (next = p->workers; next != NULL; next = next->hh.next) {
			if (!wp_follows(next, w))
				continue;
			wp_worker_over(p, w, now_us);
			break;
		}
	}
}
