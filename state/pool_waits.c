#include <string.h>
#include <utlist.h>

#include "state/gang_plan.h"
#include "state/pool_internal.h"

/* Interval of the samples that a job's waiting times are made of. */
#define WP_WAIT_SAMPLE_US (250 * CLK_US_PER_MS)

static const char *const wp_wait_names[] = {
    [WP_WAIT_TURN] = "turn",
    [WP_WAIT_ADVICE] = "advice",
    [WP_WAIT_RESOURCES] = "resources",
    [WP_WAIT_RETRY] = "retry",
};

const char *
wp_wait_name(enum wp_wait wait)
{
	return wp_wait_names[wait];
}

static bool
wp_waits_for_retry(const struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (s->task[i].state == WP_TASK_WAITING &&
		    now_us >= s->task[i].not_before_us)
			return false;
	}
	return true;
}

static bool
wp_has_ticket(const struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_scan scan;
	struct wp_worker *w;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (wp_ticket_valid(s, w, now_us) != NULL)
			return true;
	}
	return false;
}

static enum wp_wait
wp_wait_of(const struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	if (wp_waits_for_retry(s, now_us))
		return WP_WAIT_RETRY;
	if (!wp_needs_advice(s))
		return WP_WAIT_RESOURCES;
	if (s->requests_in_flight > 0)
		return WP_WAIT_ADVICE;
	return wp_has_ticket(p, s, now_us) ? WP_WAIT_RESOURCES : WP_WAIT_TURN;
}

void
wp_waits_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_step *s;

	if (now_us < p->sample_waits_at_us)
		return;
	p->sample_waits_at_us = now_us + WP_WAIT_SAMPLE_US;
	DL_FOREACH(p->ready, s) {
		enum wp_wait wait = wp_wait_of(p, s, now_us);

		s->occ->job->waited_us[wait] += WP_WAIT_SAMPLE_US;
	}
}

static struct wp_queue_waits *
wp_waits_row(struct wp_queue_waits *list, uint32_t *count, uint32_t max,
    const struct wp_step *s)
{
	const char *queue = s->occ->job->spec->queue;
	bool gang = (s->spec->flags & JB_GANG) != 0;
	uint32_t i;

	for (i = 0; i < *count; i++) {
		if (list[i].gangs == gang && strcmp(list[i].queue, queue) == 0)
			return &list[i];
	}
	if (*count == max)
		return NULL;
	memset(&list[i], 0, sizeof(list[i]));
	list[i].queue = queue;
	list[i].gangs = gang;
	(*count)++;
	return &list[i];
}

uint32_t
wp_get_waits(const struct wp_pool *p, int64_t now_us,
    struct wp_queue_waits *list, uint32_t max)
{
	const struct wp_step *s;
	uint32_t count = 0;

	DL_FOREACH(p->ready, s) {
		enum wp_wait wait = wp_wait_of(p, s, now_us);
		struct wp_queue_waits *row = wp_waits_row(list, &count, max, s);

		if (row == NULL)
			continue;
		row->steps[wait]++;
		row->cpu_mcpu[wait] += (int64_t)s->waiting * s->spec->cpu_mcpu;
	}
	return count;
}

static void
wp_count_tickets(const struct wp_pool *p, const struct wp_step *s,
    struct wp_gang_wait *row, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	uint32_t i;

	for (i = 0; i < s->ticket_count; i++) {
		const struct wp_ticket *ticket = &s->ticket[i];
		struct wp_worker *w = p->worker_by_index[ticket->worker_index];
		struct wp_resources available = wp_available_to(s, w, now_us);
		uint32_t limit = wp_slots_left(s, w);

		row->requested += ticket->requested;
		row->approved += ticket->approved;
		if (wp_ticket_valid(s, w, now_us) == NULL)
			continue;
		row->valid++;
		if (limit > s->spec->count)
			limit = s->spec->count;
		if (wp_may_start_on(s, w, now_us))
			row->room += gp_fit_count(&available, &need, limit);
	}
}

static void
wp_describe_gang(const struct wp_pool *p, const struct wp_step *s,
    struct wp_gang_wait *row, int64_t now_us)
{
	uint32_t i;

	memset(row, 0, sizeof(*row));
	row->job = s->occ->job->spec->id;
	row->step = s->number;
	row->members = s->spec->count;
	row->waiting = s->waiting;
	row->asked_us = s->requests_in_flight > 0 ? s->asked_us : 0;
	row->planned_us = s->planned_us;
	row->reserved = s->reserved;
	row->suspects = s->suspects;
	for (i = 0; i < s->spec->count; i++) {
		if (s->task[i].not_before_us > row->not_before_us)
			row->not_before_us = s->task[i].not_before_us;
	}
	wp_count_tickets(p, s, row, now_us);
}

uint32_t
wp_get_gang_waits(const struct wp_pool *p, int64_t now_us,
    struct wp_gang_wait *list, uint32_t max)
{
	const struct wp_step *s;
	uint32_t count = 0;

	DL_FOREACH(p->ready, s) {
		if (count == max)
			break;
		if (!(s->spec->flags & JB_GANG))
			continue;
		wp_describe_gang(p, s, &list[count], now_us);
		list[count].rank = count;
		count++;
	}
	return count;
}
