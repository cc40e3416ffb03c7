#include <stdlib.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * Which tasks are stopped to make room for a long-running one that lost its run.
 *
 * Never long-running tasks, nor members of gangs, as the whole gang would have
 * to start anew. Of the others, what is least missed goes first: tasks that fill,
 * then those that go on from a checkpoint, then those that have done the
 * least work. What is expected to end in time is left alone.
 */

/* A task with checkpoints loses about this much, at most. */
#define WP_CHECKPOINT_LOSS_US (CLK_US_PER_S)
/* Cores that an accelerator counts as. */
#define WP_GPU_CORES 8

enum wp_victim_kind {
	WP_VICTIM_FILLER,
	WP_VICTIM_CHECKPOINTED,
	WP_VICTIM_OTHER,
};

static enum wp_victim_kind
wp_victim_kind(const struct wp_task *t)
{
	if (t->step->spec->flags & JB_OPPORTUNISTIC)
		return WP_VICTIM_FILLER;
	return t->step->spec->flags & JB_CHECKPOINTS ? WP_VICTIM_CHECKPOINTED
						     : WP_VICTIM_OTHER;
}

/* Work that is lost if a task is stopped, in us on a thousandth of a core. */
static int64_t
wp_loss_of(const struct wp_task *t, int64_t now_us)
{
	const struct jb_step *spec = t->step->spec;
	int64_t lived_us = now_us - t->started_us;

	if ((spec->flags & JB_CHECKPOINTS) && lived_us > WP_CHECKPOINT_LOSS_US)
		lived_us = WP_CHECKPOINT_LOSS_US;
	return lived_us *
	    (spec->cpu_mcpu + (int64_t)spec->gpu * WP_GPU_CORES * 1000);
}

static bool
wp_may_be_stopped(const struct wp_task *t)
{
	return t->state == WP_TASK_RUNNING &&
	    !(t->step->spec->flags & (JB_LONG_RUNNING | JB_GANG)) &&
	    t->step->occ->job->final_state == JB_PENDING && wp_may_interrupt(t);
}

static int
wp_compare_victims(const void *a, const void *b)
{
	const struct wp_victim *x = a;
	const struct wp_victim *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	if (x->loss != y->loss)
		return x->loss < y->loss ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

/*
 * Lists the tasks that may be stopped on a worker, the least missed first, and
 * adds to @available what is expected to be free at @due_us without a stop.
 */
static void
wp_list_victims(struct wp_victims *v, const struct wp_worker *w,
    struct wp_resources *available, int64_t due_us, int64_t now_us)
{
	struct wp_task *t;

	v->victim = talloc_realloc(
	    v->ctx, v->victim, struct wp_victim, wp_count_tasks(w) + 1);
	if (v->victim == NULL)
		abort();
	v->count = 0;
	DL_FOREACH(w->tasks, t) {
		struct wp_resources need = wp_task_resources(t->step->spec);

		if (wp_frees_room(t) && wp_release_us(t, now_us) <= due_us) {
			wp_resources_add(available, &need, 1);
			continue;
		}
		if (!wp_may_be_stopped(t))
			continue;
		v->victim[v->count] = (struct wp_victim){
		    .task = t,
		    .kind = wp_victim_kind(t),
		    .loss = wp_loss_of(t, now_us),
		    .order = v->count,
		};
		v->count++;
	}
	qsort(v->victim, v->count, sizeof(*v->victim), wp_compare_victims);
}

/* Leaves out those without which the task fits as well, the most missed first. */
static void
wp_spare_victims(struct wp_victims *v, struct wp_resources *available,
    const struct wp_resources *need)
{
	uint32_t i = v->count;

	while (i-- > 0) {
		struct wp_resources freed =
		    wp_task_resources(v->victim[i].task->step->spec);
		struct wp_resources left = *available;

		wp_resources_add(&left, &freed, -1);
		if (!wp_resources_fit(&left, need))
			continue;
		*available = left;
		v->count--;
		v->victim[i] = v->victim[v->count];
	}
}

bool
wp_choose_victims(struct wp_victims *v, const struct wp_worker *w,
    const struct wp_resources *need, int64_t due_us, int64_t now_us)
{
	struct wp_resources available = wp_free_resources(w);
	uint32_t all;
	uint32_t i;

	wp_resources_add(&available, &w->held, -1);
	wp_list_victims(v, w, &available, due_us, now_us);
	all = v->count;
	v->count = 0;
	while (v->count < all && !wp_resources_fit(&available, need)) {
		struct wp_resources freed =
		    wp_task_resources(v->victim[v->count++].task->step->spec);

		wp_resources_add(&available, &freed, 1);
	}
	if (!wp_resources_fit(&available, need))
		return false;
	wp_spare_victims(v, &available, need);
	v->kind = 0;
	v->loss = 0;
	for (i = 0; i < v->count; i++) {
		if (v->victim[i].kind > v->kind)
			v->kind = v->victim[i].kind;
		v->loss += v->victim[i].loss;
	}
	return true;
}

bool
wp_is_less_missed(const struct wp_victims *a, const struct wp_victims *b)
{
	if (a->kind != b->kind)
		return a->kind < b->kind;
	return a->loss < b->loss;
}

void
wp_stop_victims(struct wp_pool *p, const struct wp_victims *v, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		p->stats.displaced++;
		wp_task_stop(p, v->victim[i].task, now_us);
	}
}
