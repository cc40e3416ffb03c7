#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* A start has to arrive before its ticket expires. */
#define WP_TICKET_MARGIN_US (100 * CLK_US_PER_MS)
#define WP_ASK_RETRY_US (150 * CLK_US_PER_MS)
#define WP_ASK_AGAIN_US (50 * CLK_US_PER_MS)
#define WP_NOT_WORTH_ASKING UINT32_MAX
/* Places that a question looks for, and more of them for each task. */
#define WP_ASK_LEAST 12
#define WP_ASK_PER_TASK 3
#define WP_MAX_FIT 64
#define WP_AHEAD_US (200 * CLK_US_PER_MS)
/* A wide step asks several daemons at the same time. */
#define WP_MAX_ASKS_OUT 4

bool
wp_needs_advice(const struct wp_step *s)
{
	return s->occ->job->spec->policy.advice_valid_ms > 0;
}

struct wp_ticket *
wp_ticket_find(const struct wp_step *s, const struct wp_worker *w)
{
	struct wp_ticket *ticket;

	if (w->slot >= s->ticket_slots || s->ticket_at[w->slot] == 0)
		return NULL;
	ticket = &s->ticket[s->ticket_at[w->slot] - 1];
	return ticket->born_ms == w->born_ms ? ticket : NULL;
}

const char *
wp_ticket_valid(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	const struct wp_ticket *ticket = wp_ticket_find(s, w);

	if (ticket == NULL || !ticket->good ||
	    now_us + WP_TICKET_MARGIN_US > ticket->expires_us)
		return NULL;
	return ticket->text;
}

/* Places to ask about: not all are allowed, and some are taken meanwhile. */
static uint32_t
wp_places_wanted(const struct wp_step *s)
{
	return WP_ASK_LEAST + s->waiting * WP_ASK_PER_TASK;
}

static bool
wp_step_may_ask(const struct wp_step *s, int64_t now_us)
{
	return wp_needs_advice(s) && s->asks_out < WP_MAX_ASKS_OUT &&
	    now_us >= s->ask_again_us && s->waiting > 0 &&
	    s->asked_places < wp_places_wanted(s);
}

/* Tasks of the step that could start at once on tickets at hand. */
static uint32_t
wp_tickets_at_hand(struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_room need = wp_need(s->spec);
	struct wp_scan scan;
	struct wp_worker *w;
	uint32_t n = 0;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (wp_fits(w, &need) && wp_may_take(s, w, now_us) &&
		    wp_has_taker(s, w, now_us))
			n++;
	}
	return n;
}

/* Steps begin at different workers, so that they do not all want the same. */
static uint32_t
wp_step_hash(const struct wp_step *s)
{
	const char *c;
	uint32_t h = s->occ->number * 31 + s->number;

	for (c = s->occ->job->spec->id; *c != '\0'; c++)
		h = h * 31 + (uint8_t)*c;
	return h;
}

/* Naming workers may take about as long as the decision itself. */
static uint32_t
wp_ask_most(const struct jb_policy *policy)
{
	uint32_t n = WP_MAX_ASK;

	if (policy->advice_period_us > 0)
		n = policy->advice_decide_us / policy->advice_period_us;
	if (n > WP_MAX_ASK)
		return WP_MAX_ASK;
	return n < WP_ASK_LEAST ? WP_ASK_LEAST : n;
}

static uint32_t
wp_fit_count(const struct wp_worker *w, const struct wp_room *need)
{
	struct wp_room left = wp_free_room(w);
	int64_t n = WP_MAX_FIT;

	if (need->cpu_mcpu > 0 && left.cpu_mcpu / need->cpu_mcpu < n)
		n = left.cpu_mcpu / need->cpu_mcpu;
	if (need->mem_mb > 0 && left.mem_mb / need->mem_mb < n)
		n = left.mem_mb / need->mem_mb;
	if (need->gpu > 0 && left.gpu / need->gpu < n)
		n = left.gpu / need->gpu;
	return n > 0 ? (uint32_t)n : 0;
}

/* What is worth asking of a worker for a step: how many of its tasks fit. */
static uint32_t
wp_worth_asking(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_room *need, int64_t now_us)
{
	const struct wp_ticket *ticket;
	uint32_t spare;
	uint32_t fit;

	if (!wp_usable(w, now_us) || !wp_may_run(s, w))
		return WP_NOT_WORTH_ASKING;
	ticket = wp_ticket_find(s, w);
	if (ticket != NULL && ticket->asked)
		return WP_NOT_WORTH_ASKING;
	if (ticket != NULL && ticket->known &&
	    (!ticket->good ||
		now_us + WP_TICKET_MARGIN_US <= ticket->expires_us))
		return WP_NOT_WORTH_ASKING;
	/* A worker that is known to be good is asked again for its room. */
	if (ticket != NULL && ticket->known && !wp_fits(w, need))
		return WP_NOT_WORTH_ASKING;
	spare = wp_spare_places(s, w);
	if (spare == 0 || !wp_has_taker(s, w, now_us))
		return WP_NOT_WORTH_ASKING;
	fit = wp_fit_count(w, need);
	return fit < spare ? fit : spare;
}

/* A question that is being put together. */
struct wp_asking {
	struct wp_ask *ask;
	struct wp_room need;
	uint32_t most;
	uint32_t wanted;
	uint32_t expected;
};

/*
 * The answer takes longer for each worker named, so as few are named as will
 * probably do.
 */
static void
wp_ask_some(const struct wp_pool *p, const struct wp_step *s,
    struct wp_asking *a, bool with_room, int64_t now_us)
{
	uint32_t count = HASH_COUNT(p->workers);
	uint32_t skip = count > 0 ? wp_step_hash(s) % count : 0;
	struct wp_worker *w = p->workers;
	uint32_t i;

	for (i = 0; i < skip; i++)
		w = w->hh.next;
	for (i = 0; i < count; i++, w = w->hh.next) {
		uint32_t fit;

		if (w == NULL)
			w = p->workers;
		if (a->ask->worker_count >= a->most || a->expected >= a->wanted)
			return;
		fit = wp_worth_asking(s, w, &a->need, now_us);
		if (fit == WP_NOT_WORTH_ASKING || (fit > 0) != with_room)
			continue;
		a->ask->worker[a->ask->worker_count++] = w->id;
		a->expected += fit > 0 ? fit : 1;
	}
}

static void
wp_ticket_slots(const struct wp_pool *p, struct wp_step *s)
{
	if (s->ticket_slots >= p->worker_slots)
		return;
	s->ticket_at =
	    talloc_realloc(s->occ, s->ticket_at, uint16_t, p->worker_slots);
	s->ticket = talloc_realloc(
	    s->occ, s->ticket, struct wp_ticket, p->worker_slots);
	if (s->ticket_at == NULL || s->ticket == NULL)
		abort();
	memset(s->ticket_at + s->ticket_slots, 0,
	    (p->worker_slots - s->ticket_slots) * sizeof(*s->ticket_at));
	s->ticket_slots = p->worker_slots;
}

static struct wp_ticket *
wp_ticket_get(
    const struct wp_pool *p, struct wp_step *s, const struct wp_worker *w)
{
	struct wp_ticket *ticket;

	wp_ticket_slots(p, s);
	if (s->ticket_at[w->slot] == 0)
		s->ticket_at[w->slot] = (uint16_t)++s->ticket_count;
	ticket = &s->ticket[s->ticket_at[w->slot] - 1];
	if (ticket->born_ms != w->born_ms || ticket->slot != w->slot)
		memset(ticket, 0, sizeof(*ticket));
	ticket->slot = w->slot;
	ticket->born_ms = w->born_ms;
	return ticket;
}

static bool
wp_fill_ask(
    struct wp_pool *p, struct wp_step *s, int64_t now_us, struct wp_ask *ask)
{
	const struct jb_spec *spec = s->occ->job->spec;
	struct wp_asking a = {
	    .ask = ask,
	    .need = wp_need(s->spec),
	    .most = wp_ask_most(&spec->policy),
	    .wanted = wp_places_wanted(s) - s->asked_places,
	};
	uint32_t i;

	ask->worker_count = 0;
	wp_ask_some(p, s, &a, true, now_us);
	wp_ask_some(p, s, &a, false, now_us);
	if (ask->worker_count == 0)
		return false;
	memcpy(ask->job, spec->id, sizeof(ask->job));
	ask->occurrence = s->occ->number;
	ask->step = s->number;
	ask->decide_us = spec->policy.advice_decide_us;
	ask->period_us = spec->policy.advice_period_us;
	ask->valid_ms = spec->policy.advice_valid_ms;
	ask->priority = spec->policy.priority;
	ask->places = a.expected;
	s->asks_out++;
	s->asked_places += a.expected;
	for (i = 0; i < ask->worker_count; i++)
		wp_ticket_get(p, s, wp_find_worker(p, ask->worker[i]))->asked =
		    true;
	p->stats.asks++;
	return true;
}

/* When a running task ends, as far as its progress tells. */
static int64_t
wp_expected_end_us(const struct wp_task *t)
{
	int64_t total_us = t->step->spec->estimate_ms * CLK_US_PER_MS;

	if (t->percent > 0)
		total_us = (t->moved_us - t->started_us) * 100 / t->percent;
	return t->started_us + total_us;
}

static bool
wp_ends_before(const struct wp_step *s, int64_t us)
{
	uint32_t i;

	if (!s->ready || s->waiting > 0)
		return false;
	for (i = 0; i < s->spec->count; i++) {
		const struct wp_task *t = &s->task[i];

		if (t->state != WP_DONE &&
		    (t->state != WP_RUNNING || wp_expected_end_us(t) > us))
			return false;
	}
	return true;
}

/*
 * For chains of short steps: the time that advice takes passes while the steps
 * before are still running.
 */
void
wp_look_ahead(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;
	int64_t cost_us = (int64_t)policy->advice_decide_us +
	    (int64_t)policy->advice_period_us * wp_ask_most(policy);
	uint32_t i;

	if (s->ready || s->near || s->spec->after_count == 0 ||
	    !wp_needs_advice(s))
		return;
	for (i = 0; i < s->spec->after_count; i++) {
		if (!wp_ends_before(&s->occ->step[s->spec->after[i]],
			now_us + cost_us + WP_AHEAD_US))
			return;
	}
	s->near = true;
	wp_step_update(p, s);
}

bool
wp_next_ask(struct wp_pool *p, int64_t now_us, struct wp_ask *ask)
{
	struct wp_step *s;

	DL_FOREACH(p->ready, s) {
		if (!wp_step_may_ask(s, now_us))
			continue;
		s->ask_again_us = now_us + WP_ASK_AGAIN_US;
		if (wp_tickets_at_hand(p, s, now_us) < s->waiting &&
		    wp_fill_ask(p, s, now_us, ask))
			return true;
	}
	/* Once is enough: the rest is asked for when the step is ready. */
	DL_FOREACH2(p->near, s, near_next)
	{
		if (wp_step_may_ask(s, now_us) && s->ticket_count == 0 &&
		    wp_fill_ask(p, s, now_us, ask))
			return true;
	}
	return false;
}

static struct wp_step *
wp_find_step(struct wp_pool *p, const struct wp_ask *ask)
{
	struct jb_ref ref = {
	    .occurrence = ask->occurrence,
	    .step = ask->step,
	};
	struct wp_task *t;

	memcpy(ref.job, ask->job, sizeof(ref.job));
	t = wp_find_task(p, &ref);
	return t != NULL ? t->step : NULL;
}

void
wp_on_advice(struct wp_pool *p, const struct wp_ask *ask, bool ok,
    const struct wp_advice *good, uint32_t good_count, int64_t asked_us,
    int64_t now_us)
{
	struct wp_step *s = wp_find_step(p, ask);
	struct wp_ticket *ticket;
	struct wp_worker *w;
	uint32_t i;

	if (s == NULL)
		return;
	s->asks_out--;
	s->asked_places -= ask->places;
	for (i = 0; i < ask->worker_count; i++) {
		w = wp_find_worker(p, ask->worker[i]);
		if (w != NULL)
			wp_ticket_get(p, s, w)->asked = false;
	}
	if (!ok) {
		s->ask_again_us = now_us + WP_ASK_RETRY_US;
		return;
	}
	s->ask_again_us = now_us + WP_ASK_AGAIN_US;
	s->try_again_us = 0;
	for (i = 0; i < ask->worker_count; i++) {
		w = wp_find_worker(p, ask->worker[i]);
		if (w == NULL)
			continue;
		ticket = wp_ticket_get(p, s, w);
		ticket->known = true;
		ticket->good = false;
	}
	for (i = 0; i < good_count; i++) {
		w = wp_find_worker(p, good[i].worker);
		if (w == NULL)
			continue;
		ticket = wp_ticket_get(p, s, w);
		ticket->good = true;
		ticket->expires_us =
		    asked_us + (int64_t)ask->valid_ms * CLK_US_PER_MS;
		snprintf(
		    ticket->text, sizeof(ticket->text), "%s", good[i].ticket);
	}
}
