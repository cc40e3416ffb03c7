#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_approval.h"

/* Delay after a request that was not answered. */
#define WP_ADVICE_RETRY_US (150 * CLK_US_PER_MS)
/* Added to the time that advice takes. */
#define WP_PREFETCH_MARGIN_US (200 * CLK_US_PER_MS)

bool
wp_needs_advice(const struct wp_step *s)
{
	return s->occ->job->spec->policy.advice_valid_ms > 0;
}

struct wp_ticket *
wp_ticket_find(const struct wp_step *s, const struct wp_worker *w)
{
	struct wp_ticket *ticket;

	if (w->index >= s->ticket_index_count || s->ticket_index[w->index] == 0)
		return NULL;
	ticket = &s->ticket[s->ticket_index[w->index] - 1];
	return ticket->incarnation_ms == w->incarnation_ms ? ticket : NULL;
}

const char *
wp_ticket_valid(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	const struct wp_ticket *ticket = wp_ticket_find(s, w);

	if (ticket == NULL || !ticket->approved ||
	    now_us + WP_TICKET_MARGIN_US > ticket->expires_us)
		return NULL;
	return ticket->text;
}

static void
wp_grow_tickets(const struct wp_pool *p, struct wp_step *s)
{
	if (s->ticket_index_count >= p->worker_count)
		return;
	s->ticket_index =
	    talloc_realloc(s->occ, s->ticket_index, uint16_t, p->worker_count);
	s->ticket = talloc_realloc(
	    s->occ, s->ticket, struct wp_ticket, p->worker_count);
	if (s->ticket_index == NULL || s->ticket == NULL)
		abort();
	memset(s->ticket_index + s->ticket_index_count, 0,
	    (p->worker_count - s->ticket_index_count) *
		sizeof(*s->ticket_index));
	s->ticket_index_count = p->worker_count;
}

struct wp_ticket *
wp_ticket_get(
    const struct wp_pool *p, struct wp_step *s, const struct wp_worker *w)
{
	struct wp_ticket *ticket;

	wp_grow_tickets(p, s);
	if (s->ticket_index[w->index] == 0) {
		s->ticket_index[w->index] = (uint16_t)++s->ticket_count;
		memset(&s->ticket[s->ticket_count - 1], 0, sizeof(*ticket));
	}
	ticket = &s->ticket[s->ticket_index[w->index] - 1];
	if (ticket->incarnation_ms != w->incarnation_ms) {
		talloc_free(ticket->text);
		memset(ticket, 0, sizeof(*ticket));
	}
	ticket->worker_index = w->index;
	ticket->incarnation_ms = w->incarnation_ms;
	return ticket;
}

void
wp_tickets_forget(struct wp_step *s)
{
	TALLOC_FREE(s->ticket);
	TALLOC_FREE(s->ticket_index);
	s->ticket_count = 0;
	s->ticket_index_count = 0;
}

/* When a running task will end, extrapolated from its progress. */
int64_t
wp_expected_end_us(const struct wp_task *t)
{
	int64_t total_us = t->step->spec->estimate_ms * CLK_US_PER_MS;

	if (t->percent > 0)
		total_us =
		    (t->progressed_us - t->started_us) * 100 / t->percent;
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

		if (t->state != WP_TASK_DONE &&
		    (t->state != WP_TASK_RUNNING || wp_expected_end_us(t) > us))
			return false;
	}
	return true;
}

/*
 * For chains of short steps: advice is requested while the steps before are
 * still running, so that the step need not wait for it.
 */
void
wp_prefetch_advice(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;
	int64_t cost_us = (int64_t)policy->advice_decide_us +
	    (int64_t)policy->advice_period_us * wp_max_request_workers(policy);
	uint32_t i;

	if (s->ready || s->upcoming || s->spec->after_count == 0 ||
	    !wp_needs_advice(s))
		return;
	for (i = 0; i < s->spec->after_count; i++) {
		if (!wp_ends_before(&s->occ->step[s->spec->after[i]],
			now_us + cost_us + WP_PREFETCH_MARGIN_US))
			return;
	}
	s->upcoming = true;
	wp_step_update_lists(p, s);
}

static struct wp_step *
wp_find_requested_step(
    struct wp_pool *p, const struct wp_advice_request *request)
{
	struct jb_ref ref = {
	    .occurrence = request->occurrence,
	    .step = request->step,
	};
	struct wp_task *t;

	memcpy(ref.job, request->job, sizeof(ref.job));
	t = wp_find_task(p, &ref);
	return t != NULL ? t->step : NULL;
}

/* The ticket that a request is about; NULL if its worker has been restarted. */
static struct wp_ticket *
wp_requested_ticket(struct wp_pool *p, struct wp_step *s,
    const struct wp_advice_request *request, uint32_t i)
{
	const struct wp_worker *w = wp_find_worker(p, request->worker[i]);

	if (w == NULL || w->incarnation_ms != request->incarnation_ms[i])
		return NULL;
	return wp_ticket_get(p, s, w);
}

static void
wp_approve(struct wp_pool *p, struct wp_step *s,
    const struct wp_advice_request *request, const struct wp_approval *a,
    int64_t valid_from_us)
{
	struct wp_ticket *ticket = NULL;
	uint32_t i;

	for (i = 0; i < request->worker_count; i++) {
		if (strcmp(request->worker[i], a->worker) == 0)
			ticket = wp_requested_ticket(p, s, request, i);
	}
	if (ticket == NULL)
		return;
	ticket->approved = true;
	ticket->expires_us =
	    valid_from_us + (int64_t)request->valid_ms * CLK_US_PER_MS;
	tx_set(s->ticket, &ticket->text, a->ticket);
}

void
wp_on_advice(struct wp_pool *p, const struct wp_advice_request *request,
    bool ok, const struct wp_approval *approved, uint32_t approved_count,
    int64_t valid_from_us, int64_t now_us)
{
	struct wp_step *s = wp_find_requested_step(p, request);
	struct wp_ticket *ticket;
	uint32_t i;

	if (s == NULL)
		return;
	s->requests_in_flight--;
	s->requested_slots -= request->slots;
	if (ok)
		wp_update_approval_rate(p, s, request, approved_count, now_us);
	for (i = 0; i < request->worker_count; i++) {
		ticket = wp_requested_ticket(p, s, request, i);
		if (ticket == NULL)
			continue;
		ticket->requested = false;
		ticket->answered |= ok;
		ticket->approved &= !ok;
		if (!ticket->approved)
			TALLOC_FREE(ticket->text);
	}
	if (!ok) {
		s->next_request_us = now_us + WP_ADVICE_RETRY_US;
		return;
	}
	s->next_request_us = now_us;
	s->full_scan_at_us = 0;
	for (i = 0; i < approved_count; i++)
		wp_approve(p, s, request, &approved[i], valid_from_us);
	if (approved_count > 0)
		wp_lost_approved(s);
}
