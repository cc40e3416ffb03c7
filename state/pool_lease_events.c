#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* Events that are kept for logs in this time; more are only counted. */
#define WP_LEASE_WINDOW_US (CLK_US_PER_S)
#define WP_MAX_LEASE_EVENTS 64

static const char *const wp_lease_kind_names[] = {
    [WP_LEASE_RESTARTED] = "worker_restarted",
    [WP_LEASE_TOKEN_ACCEPTED] = "token_accepted",
    [WP_LEASE_EXPIRED] = "lease_expired",
};

static const char *const wp_lease_why_names[] = {
    [WP_LEASE_INHERITED] = "inherited",
    [WP_LEASE_MARKED] = "marked",
    [WP_LEASE_RENEWED] = "renewed",
    [WP_LEASE_LONGEST] = "longest",
};

const char *
wp_lease_kind_name(enum wp_lease_kind kind)
{
	return wp_lease_kind_names[kind];
}

const char *
wp_lease_why_name(enum wp_lease_why why)
{
	return wp_lease_why_names[why];
}

int64_t
wp_lease_left_us(const struct wp_worker *w, int64_t now_us)
{
	int64_t until_us = wp_lease_expiry_us(w);

	return until_us > now_us ? until_us - now_us : 0;
}

enum wp_lease_why
wp_lease_why(const struct wp_worker *w, int64_t now_us)
{
	if (w->late_lease_until_us > now_us &&
	    w->late_lease_until_us == wp_lease_expiry_us(w))
		return WP_LEASE_LONGEST;
	if (!w->token_accepted)
		return w->unleased ? WP_LEASE_MARKED : WP_LEASE_INHERITED;
	return w->last_renewal_us == 0 ? WP_LEASE_INHERITED : WP_LEASE_RENEWED;
}

struct wp_lease_event *
wp_next_lease_event(struct wp_pool *p)
{
	struct wp_lease_event *e = p->lease_events;

	if (e != NULL)
		DL_DELETE(p->lease_events, e);
	return e;
}

static bool
wp_may_queue_lease_event(struct wp_pool *p, int64_t now_us)
{
	if (now_us - p->lease_window_us >= WP_LEASE_WINDOW_US) {
		p->lease_window_us = now_us;
		p->lease_in_window = 0;
	}
	if (p->lease_in_window < WP_MAX_LEASE_EVENTS) {
		p->lease_in_window++;
		return true;
	}
	p->lease_skipped++;
	return false;
}

/* Return: the event, with what the pool takes the lease to be, or NULL. */
static struct wp_lease_event *
wp_queue_lease_event(struct wp_pool *p, const struct wp_worker *w,
    enum wp_lease_kind kind, int64_t now_us)
{
	struct wp_lease_event *e;

	if (!wp_may_queue_lease_event(p, now_us))
		return NULL;
	e = talloc_zero(p, struct wp_lease_event);
	if (e == NULL)
		abort();
	e->kind = kind;
	e->worker = tx_dup(e, w->id);
	e->incarnation_ms = w->incarnation_ms;
	e->known_incarnation_ms = w->known_incarnation_ms;
	e->clock_ms =
	    w->clock_read_us != 0 ? wp_worker_clock_ms(w, now_us) : -1;
	e->earlier_clock_ms = -1;
	e->lease_end_clock_ms = w->lease_end_clock_ms;
	e->lease_left_us = wp_lease_left_us(w, now_us);
	e->why = wp_lease_why(w, now_us);
	e->silent_us = w->clock_read_us != 0 ? now_us - w->clock_read_us : -1;
	e->tasks = wp_count_tasks(w);
	e->skipped = p->lease_skipped;
	p->lease_skipped = 0;
	DL_APPEND(p->lease_events, e);
	return e;
}

/* @clock_ms: clock of the new incarnation; -1 when unknown */
static void
wp_note_restart(struct wp_pool *p, const struct wp_worker *w,
    int64_t earlier_ms, int64_t incarnation_ms, int64_t clock_ms, bool replied,
    int64_t now_us)
{
	struct wp_lease_event *e;

	if (earlier_ms == 0 || incarnation_ms == 0 ||
	    earlier_ms == incarnation_ms)
		return;
	e = wp_queue_lease_event(p, w, WP_LEASE_RESTARTED, now_us);
	if (e == NULL)
		return;
	if (earlier_ms == w->incarnation_ms)
		e->earlier_clock_ms = e->clock_ms;
	e->earlier_incarnation_ms = earlier_ms;
	e->incarnation_ms = incarnation_ms;
	e->clock_ms = clock_ms;
	e->replied = replied;
}

void
wp_note_replied(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	wp_note_restart(p, w,
	    w->incarnation_ms != 0 ? w->incarnation_ms
				   : w->known_incarnation_ms,
	    reply->incarnation_ms, reply->clock_ms, true, now_us);
}

void
wp_note_listed(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_worker_info *info, int64_t now_us)
{
	wp_note_restart(p, w, w->known_incarnation_ms, info->incarnation_ms,
	    info->clock_ms > 0 ? info->clock_ms : -1, false, now_us);
}

void
wp_note_token_accepted(
    struct wp_pool *p, const struct wp_worker *w, int64_t now_us)
{
	wp_queue_lease_event(p, w, WP_LEASE_TOKEN_ACCEPTED, now_us);
}

void
wp_note_lease_expired(
    struct wp_pool *p, const struct wp_worker *w, int64_t now_us)
{
	if (w->tasks != NULL)
		wp_queue_lease_event(p, w, WP_LEASE_EXPIRED, now_us);
}
