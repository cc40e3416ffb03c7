#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* A long-running task that reports this progress is available. */
#define WP_AVAILABLE_PERCENT 100

struct wp_worker *
wp_find_worker_on_vm(struct wp_pool *p, const char *vm)
{
	struct wp_worker *newest = NULL;
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp) {
		if (!w->listed || strcmp(w->vm, vm) != 0)
			continue;
		if (newest == NULL ||
		    w->incarnation_ms > newest->incarnation_ms)
			newest = w;
	}
	return newest;
}

void
wp_cancel_evacuations(struct wp_pool *p)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp)
		w->evacuating = false;
}

bool
wp_is_worker_empty(const struct wp_worker *w)
{
	return w->tasks == NULL && !w->has_unknown_run && w->orphan_count == 0;
}

static bool
wp_is_available(const struct wp_task *t)
{
	return t->state == WP_TASK_RUNNING &&
	    t->percent >= WP_AVAILABLE_PERCENT;
}

bool
wp_may_interrupt(const struct wp_task *t)
{
	const struct wp_step *s = t->step;
	uint32_t unavailable = 0;
	uint32_t i;

	if (s->spec->max_unavailable == 0)
		return true;
	for (i = 0; i < s->spec->count; i++)
		unavailable +=
		    &s->task[i] != t && !wp_is_available(&s->task[i]);
	return unavailable < s->spec->max_unavailable;
}

bool
wp_may_take_down(const struct wp_worker *w)
{
	const struct wp_task *t;

	DL_FOREACH(w->tasks, t) {
		if ((t->step->spec->flags & JB_LONG_RUNNING) &&
		    t->step->spec->max_unavailable > 0)
			return false;
	}
	return true;
}

/*
 * Short tasks without checkpoints may finish, since maintenance can wait.
 * Long-running tasks are stopped only as far as their step allows tasks to be
 * unavailable.
 */
void
wp_evacuate_worker(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		uint32_t flags = t->step->spec->flags;

		if (t->state != WP_TASK_RUNNING)
			continue;
		if ((flags & JB_LONG_RUNNING) && !wp_may_interrupt(t))
			continue;
		if (flags & (JB_LONG_RUNNING | JB_CHECKPOINTS))
			wp_task_stop(p, t, now_us);
	}
}
