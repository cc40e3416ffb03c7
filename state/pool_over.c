#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* Events that are kept for logs in this time; more are only counted. */
#define WP_OVER_WINDOW_US (CLK_US_PER_S)
#define WP_MAX_OVER_EVENTS 16
/* Runs that one event names. */
#define WP_MAX_OVER_RUNS 12

static const char *const wp_over_kind_names[] = {
    [WP_OVER_CAPACITY] = "capacity",
    [WP_OVER_STEP_LIMIT] = "step_limit",
};

const char *
wp_over_kind_name(enum wp_over_kind kind)
{
	return wp_over_kind_names[kind];
}

struct wp_over_event *
wp_next_over_event(struct wp_pool *p)
{
	struct wp_over_event *e = p->over_events;

	if (e != NULL)
		DL_DELETE(p->over_events, e);
	return e;
}

static bool
wp_is_same_step(const struct jb_ref *a, const struct jb_ref *b)
{
	return a->step == b->step && a->occurrence == b->occurrence &&
	    strcmp(a->job, b->job) == 0;
}

static uint32_t
wp_listed_of_step(
    const struct wp_renewal_reply *reply, const struct jb_ref *ref)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < reply->running_count; i++)
		n += wp_is_same_step(&reply->running[i].ref, ref);
	return n;
}

static struct wp_resources
wp_listed_resources(struct wp_pool *p, const struct wp_renewal_reply *reply)
{
	struct wp_resources sum = {0};
	uint32_t i;

	for (i = 0; i < reply->running_count; i++) {
		const struct wp_task *t =
		    wp_find_task(p, &reply->running[i].ref);
		struct wp_resources need;

		if (t == NULL)
			continue;
		need = wp_task_resources(t->step->spec);
		wp_resources_add(&sum, &need, 1);
	}
	return sum;
}

/* Without an entry, or with one of another incarnation, it is not known. */
static bool
wp_lists_over_capacity(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_renewal_reply *reply)
{
	struct wp_resources listed;

	if (!w->listed ||
	    (w->listed_incarnation_ms != 0 &&
		w->listed_incarnation_ms != reply->incarnation_ms))
		return false;
	listed = wp_listed_resources(p, reply);
	return !wp_resources_fit(&w->capacity, &listed);
}

/* Return: a run of a step that has more runs there than it may, or NULL. */
static const struct wp_running_task *
wp_lists_over_step_limit(
    struct wp_pool *p, const struct wp_renewal_reply *reply)
{
	uint32_t i;

	for (i = 0; i < reply->running_count; i++) {
		const struct wp_running_task *run = &reply->running[i];
		const struct wp_task *t = wp_find_task(p, &run->ref);

		if (t == NULL || t->step->spec->max_per_worker == 0)
			continue;
		if (wp_listed_of_step(reply, &run->ref) >
		    t->step->spec->max_per_worker)
			return run;
	}
	return NULL;
}

/* '+': placed there, '-': the task is elsewhere or nowhere, '?': unknown job */
static char
wp_run_mark(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_running_task *run)
{
	const struct wp_task *t = wp_find_task(p, &run->ref);

	if (t == NULL)
		return '?';
	return t->worker == w && t->run == run->run ? '+' : '-';
}

/* @step: only the runs of this step, or NULL */
static void
wp_name_runs(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_renewal_reply *reply, const struct jb_ref *step,
    struct wp_over_event *e)
{
	uint32_t named = 0;
	uint32_t i;

	e->runs = talloc_strdup(e, "");
	for (i = 0; i < reply->running_count; i++) {
		const struct wp_running_task *run = &reply->running[i];
		const struct jb_ref *ref = &run->ref;

		if (step != NULL && !wp_is_same_step(ref, step))
			continue;
		e->run_count++;
		if (named++ >= WP_MAX_OVER_RUNS)
			continue;
		e->runs = talloc_asprintf_append(e->runs, "%s%s.%u.%u.%u:%u%c",
		    named > 1 ? "," : "", ref->job, ref->occurrence, ref->step,
		    ref->index, run->run, wp_run_mark(p, w, run));
	}
}

static bool
wp_may_queue_over_event(struct wp_pool *p, int64_t now_us)
{
	if (now_us - p->over_window_us >= WP_OVER_WINDOW_US) {
		p->over_window_us = now_us;
		p->over_in_window = 0;
	}
	return p->over_in_window++ < WP_MAX_OVER_EVENTS;
}

static void
wp_queue_over_event(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_renewal_reply *reply, enum wp_over_kind kind,
    const struct jb_ref *step, int64_t now_us)
{
	struct wp_over_event *e;

	p->stats.over_limit[kind]++;
	if (!wp_may_queue_over_event(p, now_us))
		return;
	e = talloc_zero(p, struct wp_over_event);
	if (e == NULL)
		abort();
	e->kind = kind;
	e->worker = tx_dup(e, w->id);
	e->incarnation_ms = reply->incarnation_ms;
	e->clock_ms = reply->clock_ms;
	e->capacity = w->capacity;
	e->listed = wp_listed_resources(p, reply);
	e->used = w->used;
	e->orphaned = w->orphaned;
	wp_name_runs(p, w, reply, step, e);
	DL_APPEND(p->over_events, e);
}

void
wp_note_over_limit(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	bool over_capacity = wp_lists_over_capacity(p, w, reply);
	const struct wp_running_task *run = wp_lists_over_step_limit(p, reply);

	if (over_capacity && !w->over_capacity)
		wp_queue_over_event(
		    p, w, reply, WP_OVER_CAPACITY, NULL, now_us);
	if (run != NULL && !w->over_step_limit)
		wp_queue_over_event(
		    p, w, reply, WP_OVER_STEP_LIMIT, &run->ref, now_us);
	w->over_capacity = over_capacity;
	w->over_step_limit = run != NULL;
}
