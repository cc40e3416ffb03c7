#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * The steps that may start, in the order in which they start: a list with the
 * levels of a skip list above it, as thousands of steps may wait. One step in
 * WP_READY_FANOUT of a level is in the next one as well.
 */

#define WP_READY_FANOUT 16

/* Late work of the highest priority still goes before less urgent work. */
static enum wp_lateness
wp_sort_lateness(const struct wp_step *s)
{
	if (s->lateness == WP_LATE && s->occ->job->spec->policy.priority == 0)
		return WP_ON_TIME;
	return s->lateness;
}

/*
 * A step under which a worker may have crashed goes first: as long as its tasks
 * wait to be tried, they may still crash workers. Under overload, steps that
 * can still meet their objective go first and steps whose result is worth
 * nothing any more go last. Within each group, the more urgent priority goes
 * first, then the earlier objective.
 */
static int
wp_compare_steps(const struct wp_step *a, const struct wp_step *b)
{
	const struct wp_job *ja = a->occ->job;
	const struct wp_job *jb = b->occ->job;
	uint32_t pa = ja->spec->policy.priority;
	uint32_t pb = jb->spec->policy.priority;

	if ((a->suspects > 0) != (b->suspects > 0))
		return a->suspects > 0 ? -1 : 1;
	if (wp_sort_lateness(a) != wp_sort_lateness(b))
		return wp_sort_lateness(a) < wp_sort_lateness(b) ? -1 : 1;
	if (pa != pb)
		return pa < pb ? -1 : 1;
	if (a->lateness != b->lateness)
		return a->lateness < b->lateness ? -1 : 1;
	if (ja->objective_us != jb->objective_us)
		return ja->objective_us < jb->objective_us ? -1 : 1;
	if (ja != jb)
		return strcmp(ja->spec->id, jb->spec->id);
	if (a->occ != b->occ)
		return a->occ->number < b->occ->number ? -1 : 1;
	return a->number < b->number ? -1 : 1;
}

/* Levels of the next step: one in WP_READY_FANOUT has a further one. */
static uint32_t
wp_ready_draw_levels(struct wp_pool *p)
{
	uint32_t n = ++p->ready_inserted;
	uint32_t levels = 0;

	while (levels < WP_READY_LEVELS && n % WP_READY_FANOUT == 0) {
		n /= WP_READY_FANOUT;
		levels++;
	}
	return levels;
}

/* The step on a level after @s, or the first one. */
static struct wp_step *
wp_ready_next(struct wp_pool *p, const struct wp_step *s, uint32_t level)
{
	return s != NULL ? s->level[level].next : p->ready_level[level];
}

static void
wp_ready_link(struct wp_pool *p, struct wp_step *s, struct wp_step *before,
    uint32_t level)
{
	struct wp_step *next = wp_ready_next(p, before, level);

	s->level[level].prev = before;
	s->level[level].next = next;
	if (next != NULL)
		next->level[level].prev = s;
	if (before != NULL)
		before->level[level].next = s;
	else
		p->ready_level[level] = s;
}

/* The last step that goes before @s, and the same on each level. */
static struct wp_step *
wp_ready_find(struct wp_pool *p, const struct wp_step *s,
    struct wp_step *before[WP_READY_LEVELS])
{
	struct wp_step *last = NULL;
	struct wp_step *next;
	uint32_t i;

	for (i = WP_READY_LEVELS; i > 0; i--) {
		next = wp_ready_next(p, last, i - 1);
		while (next != NULL && wp_compare_steps(next, s) < 0) {
			last = next;
			next = next->level[i - 1].next;
		}
		before[i - 1] = last;
	}
	next = last != NULL ? last->next : p->ready;
	while (next != NULL && wp_compare_steps(next, s) < 0) {
		last = next;
		next = next->next;
	}
	return last;
}

void
wp_ready_insert(struct wp_pool *p, struct wp_step *s)
{
	struct wp_step *before[WP_READY_LEVELS];
	struct wp_step *last = wp_ready_find(p, s, before);
	uint32_t i;

	if (last != NULL)
		DL_APPEND_ELEM(p->ready, last, s);
	else
		DL_PREPEND(p->ready, s);
	s->levels = wp_ready_draw_levels(p);
	for (i = 0; i < s->levels; i++)
		wp_ready_link(p, s, before[i], i);
}

void
wp_ready_remove(struct wp_pool *p, struct wp_step *s)
{
	uint32_t i;

	DL_DELETE(p->ready, s);
	s->prev = NULL;
	s->next = NULL;
	for (i = 0; i < s->levels; i++) {
		struct wp_step *prev = s->level[i].prev;
		struct wp_step *next = s->level[i].next;

		if (next != NULL)
			next->level[i].prev = prev;
		if (prev != NULL)
			prev->level[i].next = next;
		else
			p->ready_level[i] = next;
	}
	s->levels = 0;
}
