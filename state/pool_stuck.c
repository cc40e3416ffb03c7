#include <string.h>

#include "state/pool_internal.h"

/*
 * Finds tasks that have had no run for long although there is room for them, and
 * what keeps them from running. For logs and tests: it decides nothing.
 */

/* A task that has waited for less time beside room is not stuck. */
#define WP_STUCK_WAITING_US (3 * CLK_US_PER_S)
/* The same for one that is being started or stopped: a lease, and some more. */
#define WP_STUCK_ORDER_US (6 * CLK_US_PER_S)
/* Steps that workers with room are looked for in one call. */
#define WP_STUCK_MAX_SCANS 64

static const char *const wp_stuck_names[] = {
    [WP_STUCK_ORDER] = "order",
    [WP_STUCK_HELD] = "held",
    [WP_STUCK_NOT_READY] = "not_ready",
    [WP_STUCK_UNLISTED] = "unlisted",
    [WP_STUCK_DEFERRED] = "deferred",
    [WP_STUCK_RETRY] = "retry",
    [WP_STUCK_SUSPECT] = "suspect",
    [WP_STUCK_AVOIDS] = "avoids",
    [WP_STUCK_RESERVED] = "reserved",
    [WP_STUCK_UNANSWERED] = "unanswered",
    [WP_STUCK_NOT_ASKED] = "not_asked",
    [WP_STUCK_NO_APPROVAL] = "no_approval",
    [WP_STUCK_SCAN] = "scan",
};

const char *
wp_stuck_name(enum wp_stuck_why why)
{
	return wp_stuck_names[why];
}

/* Workers on which a task of a step would fit, as the step can use them. */
struct wp_stuck_room {
	uint32_t suitable; /* usable, with room or not */
	uint32_t room;
	uint32_t disapproved; /* of the suitable ones */
	uint32_t open;	      /* with room, approved or not asked about */
	uint32_t unreserved;  /* of these, with room beside reservations */
	uint32_t valid;	      /* of these, with valid tickets, or none needed */
};

static bool
wp_is_disapproved(const struct wp_step *s, const struct wp_worker *w)
{
	const struct wp_ticket *ticket = wp_ticket_find(s, w);

	return ticket != NULL && ticket->answered && !ticket->approved;
}

static void
wp_stuck_add_worker(struct wp_stuck_room *n, const struct wp_step *s,
    const struct wp_worker *w, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_resources left = wp_free_resources(w);

	if (!wp_is_usable(w, now_us) || !wp_is_suitable(s, w))
		return;
	n->suitable++;
	n->disapproved += wp_is_disapproved(s, w);
	if (!wp_resources_fit(&left, &need) || wp_slots_left(s, w) == 0)
		return;
	n->room++;
	if (wp_is_disapproved(s, w))
		return;
	n->open++;
	left = wp_available_to(s, w, now_us);
	if (!wp_resources_fit(&left, &need) &&
	    !wp_goes_before_reservation(s, w))
		return;
	n->unreserved++;
	n->valid +=
	    !wp_needs_advice(s) || wp_ticket_valid(s, w, now_us) != NULL;
}

static struct wp_stuck_room
wp_stuck_look(const struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_stuck_room n = {0};
	const struct wp_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next)
		wp_stuck_add_worker(&n, s, w, now_us);
	return n;
}

/* A gang needs room for all its members; that one has it tells little. */
static bool
wp_has_stuck_room(const struct wp_step *s, const struct wp_stuck_room *n)
{
	if (n->suitable > 0 && n->disapproved == n->suitable)
		return true;
	return n->open > 0 && !(s->spec->flags & JB_GANG);
}

static bool
wp_avoids_all(const struct wp_pool *p, const struct wp_task *t, int64_t now_us)
{
	struct wp_scan scan;
	struct wp_worker *w;

	if (now_us > t->avoid_until_us)
		return false;
	wp_scan_begin(&scan, p, t->step);
	while ((w = wp_scan_next(&scan)) != NULL) {
		uint32_t i;

		if (!wp_may_start_on(t->step, w, now_us))
			continue;
		for (i = 0; i < t->avoided_count && i < WP_MAX_AVOIDED; i++) {
			if (t->avoided[i] == w)
				break;
		}
		if (i == t->avoided_count || i == WP_MAX_AVOIDED)
			return false;
	}
	return true;
}

/* What bars a task before workers are looked at; WP_STUCK_SCAN for nothing. */
static enum wp_stuck_why
wp_stuck_by_state(
    const struct wp_pool *p, const struct wp_task *t, int64_t now_us)
{
	const struct wp_step *s = t->step;

	if (t->state == WP_TASK_UNRECONCILED)
		return WP_STUCK_HELD;
	if (t->state != WP_TASK_WAITING)
		return WP_STUCK_ORDER;
	if (!s->ready)
		return WP_STUCK_NOT_READY;
	if (s->prev == NULL)
		return WP_STUCK_UNLISTED;
	if (s->occ->job->deferred)
		return WP_STUCK_DEFERRED;
	if (now_us < t->not_before_us)
		return WP_STUCK_RETRY;
	if (!wp_may_restart(p, t, now_us))
		return WP_STUCK_SUSPECT;
	return WP_STUCK_SCAN;
}

static enum wp_stuck_why
wp_stuck_by_workers(const struct wp_pool *p, const struct wp_task *t,
    const struct wp_stuck_room *n, int64_t now_us)
{
	if (n->open == 0)
		return WP_STUCK_NO_APPROVAL;
	if (n->unreserved == 0)
		return WP_STUCK_RESERVED;
	if (n->valid > 0)
		return wp_avoids_all(p, t, now_us) ? WP_STUCK_AVOIDS
						   : WP_STUCK_SCAN;
	return t->step->requests_in_flight > 0 ? WP_STUCK_UNANSWERED
					       : WP_STUCK_NOT_ASKED;
}

static uint32_t
wp_steps_ahead(const struct wp_pool *p, const struct wp_step *s)
{
	const struct wp_step *other;
	uint32_t n = 0;

	if (s->prev == NULL)
		return 0;
	for (other = p->ready; other != s; other = other->next)
		n++;
	return n;
}

static void
wp_stuck_fill(const struct wp_pool *p, const struct wp_task *t,
    const struct wp_stuck_room *n, struct wp_stuck *row, int64_t now_us)
{
	const struct wp_step *s = t->step;
	uint32_t i;

	memset(row, 0, sizeof(*row));
	wp_task_ref(t, &row->ref);
	row->run = t->run;
	row->state = t->state;
	row->waited_us = now_us - t->seen_since_us;
	row->not_before_us = t->not_before_us;
	row->worker = t->worker != NULL ? t->worker->id : "";
	row->waiting = s->waiting;
	row->listed = s->prev != NULL;
	row->ahead = wp_steps_ahead(p, s);
	row->suspects = s->suspects;
	row->room = n->room;
	row->in_flight = s->requests_in_flight;
	row->requested_slots = s->requested_slots;
	for (i = 0; i < s->ticket_count; i++) {
		const struct wp_ticket *ticket = &s->ticket[i];

		row->answered += ticket->answered;
		row->approved += ticket->approved;
		row->requested += ticket->requested;
		row->valid +=
		    wp_ticket_valid(s, p->worker_by_index[ticket->worker_index],
			now_us) != NULL;
	}
	row->why = wp_stuck_by_state(p, t, now_us);
	if (row->why == WP_STUCK_SCAN)
		row->why = wp_stuck_by_workers(p, t, n, now_us);
}

/* How long a task has to be seen without a run; INT64_MAX if it needs none. */
static int64_t
wp_stuck_after_us(const struct wp_task *t)
{
	switch (t->state) {
	case WP_TASK_WAITING:
	case WP_TASK_UNRECONCILED:
		return WP_STUCK_WAITING_US;
	case WP_TASK_STARTING:
	case WP_TASK_STOPPING:
		return WP_STUCK_ORDER_US;
	case WP_TASK_RUNNING:
	case WP_TASK_DONE:
	case WP_TASK_CANCELLED:
		break;
	}
	return INT64_MAX;
}

static bool
wp_stuck_see(struct wp_task *t, int64_t now_us)
{
	int64_t after_us = wp_stuck_after_us(t);

	if (t->seen_since_us == 0 || t->seen_state != t->state ||
	    t->seen_run != t->run) {
		t->seen_state = t->state;
		t->seen_run = t->run;
		t->seen_since_us = now_us;
	}
	return after_us != INT64_MAX && now_us - t->seen_since_us >= after_us;
}

/* The first task of a step that has been without a run for too long, or NULL. */
static struct wp_task *
wp_stuck_task(struct wp_step *s, int64_t now_us)
{
	struct wp_task *first = NULL;
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (wp_stuck_see(&s->task[i], now_us) && first == NULL)
			first = &s->task[i];
	}
	return first;
}

static bool
wp_may_begin(const struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->after_count; i++) {
		if (s->occ->step[s->spec->after[i]].unfinished > 0)
			return false;
	}
	return s->unfinished > 0 && s->occ->due_us <= now_us;
}

/* Rows that are being filled in. */
struct wp_stuck_search {
	struct wp_pool *pool;
	int64_t now_us;
	struct wp_stuck *list;
	uint32_t max;
	uint32_t count;
	uint32_t scans;
};

static void
wp_stuck_step(struct wp_stuck_search *q, struct wp_step *s)
{
	struct wp_stuck_room n = {0};
	struct wp_task *t;

	if (!wp_may_begin(s, q->now_us))
		return;
	t = wp_stuck_task(s, q->now_us);
	if (t == NULL || q->count == q->max || q->scans == WP_STUCK_MAX_SCANS)
		return;
	if (t->state == WP_TASK_WAITING) {
		q->scans++;
		n = wp_stuck_look(q->pool, s, q->now_us);
		if (!wp_has_stuck_room(s, &n))
			return;
	}
	wp_stuck_fill(q->pool, t, &n, &q->list[q->count++], q->now_us);
}

uint32_t
wp_find_stuck(
    struct wp_pool *p, int64_t now_us, struct wp_stuck *list, uint32_t max)
{
	struct wp_stuck_search q = {p, now_us, list, max, 0, 0};
	struct wp_job *job;
	struct wp_job *next;
	uint32_t k;
	uint32_t i;

	HASH_ITER(hh, p->jobs, job, next) {
		if (jb_has_ended(job->state) || job->final_state != JB_PENDING)
			continue;
		for (k = 0; k < jb_occurrences(job->spec); k++) {
			for (i = 0; i < job->spec->step_count; i++)
				wp_stuck_step(&q, &job->occ[k]->step[i]);
		}
	}
	return q.count;
}
