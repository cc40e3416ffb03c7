#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* A start has to arrive before its ticket expires. */
#define WP_TICKET_MARGIN_US (100 * CLK_US_PER_MS)
#define WP_ASK_RETRY_US (150 * CLK_US_PER_MS)
#define WP_ASK_AGAIN_US (50 * CLK_US_PER_MS)

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

static bool
wp_step_may_ask(const struct wp_step *s, int64_t now_us)
{
	return wp_needs_advice(s) && !s->ask_out && now_us >= s->ask_again_us &&
	    s->waiting > 0;
}

/* Tasks of the step that could start at once on tickets at hand. */
static uint32_t
wp_tickets_at_hand(struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_room need = wp_need(s->spec);
	struct wp_worker *w;
	struct wp_worker *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, p->workers, w, tmp) {
		if (wp_usable(w, now_us) && wp_fits(w, &need) &&
		    wp_ticket_valid(s, w, now_us) != NULL)
			n++;
	}
	return n;
}

static bool
wp_worth_asking(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_room *need, int64_t now_us)
{
	const struct wp_ticket *ticket;

	if (!wp_usable(w, now_us) || !wp_may_run(s, w))
		return false;
	ticket = wp_ticket_find(s, w);
	if (ticket == NULL)
		return true;
	return ticket->good && wp_fits(w, need) &&
	    now_us + WP_TICKET_MARGIN_US > ticket->expires_us;
}

static bool
wp_fill_ask(
    struct wp_pool *p, struct wp_step *s, int64_t now_us, struct wp_ask *ask)
{
	const struct jb_spec *spec = s->occ->job->spec;
	struct wp_room need = wp_need(s->spec);
	struct wp_worker *w;
	struct wp_worker *tmp;

	ask->worker_count = 0;
	HASH_ITER(hh, p->workers, w, tmp) {
		if (ask->worker_count < WP_MAX_ASK &&
		    wp_worth_asking(s, w, &need, now_us))
			ask->worker[ask->worker_count++] = w->id;
	}
	if (ask->worker_count == 0)
		return false;
	memcpy(ask->job, spec->id, sizeof(ask->job));
	ask->occurrence = s->occ->number;
	ask->step = s->number;
	ask->decide_us = spec->policy.advice_decide_us;
	ask->period_us = spec->policy.advice_period_us;
	ask->valid_ms = spec->policy.advice_valid_ms;
	ask->priority = spec->policy.priority;
	s->ask_out = true;
	p->stats.asks++;
	return true;
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
	return false;
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
	s->ask_out = false;
	if (!ok) {
		s->ask_again_us = now_us + WP_ASK_RETRY_US;
		return;
	}
	s->ask_again_us = now_us + WP_ASK_AGAIN_US;
	s->try_again_us = 0;
	for (i = 0; i < ask->worker_count; i++) {
		w = wp_find_worker(p, ask->worker[i]);
		if (w != NULL)
			wp_ticket_get(p, s, w)->good = false;
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
