#include "state/pool_internal.h"

/* A member that waits while others run can't join their run any more. */
void
wp_gang_tick(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	if (s->waiting == 0 || s->waiting == s->spec->count)
		return;
	for (i = 0; i < s->spec->count; i++) {
		struct wp_task *t = &s->task[i];

		if (t->state == WP_TASK_STARTING || t->state == WP_TASK_RUNNING)
			wp_task_stop(p, t, now_us);
	}
}
