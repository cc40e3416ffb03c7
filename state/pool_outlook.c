#include <utlist.h>

#include "state/pool_internal.h"

/* A job's result is worth nothing after this many times its objective. */
#define WP_TOO_LATE_FACTOR 3
/* Estimates are off by half and more, so only half of one is relied on. */
#define WP_ESTIMATE_DIVISOR 2

static enum wp_lateness
wp_lateness_of(const struct wp_step *s, int64_t now_us)
{
	const struct wp_job *job = s->occ->job;
	int64_t remaining_us = jb_critical_path_from_ms(job->spec, s->number) *
	    CLK_US_PER_MS / WP_ESTIMATE_DIVISOR;
	int64_t start_us = job->arrived_us;
	int64_t allowed_us = job->objective_us - job->arrived_us;
	int64_t ends_us = now_us + remaining_us;

	/* These have no objective that they could miss. */
	if (allowed_us <= 0 ||
	    (s->spec->flags & (JB_LONG_RUNNING | JB_OPPORTUNISTIC)))
		return WP_ON_TIME;
	if (s->occ->due_us > start_us)
		start_us = s->occ->due_us;
	if (ends_us > start_us + WP_TOO_LATE_FACTOR * allowed_us)
		return WP_TOO_LATE;
	return ends_us > start_us + allowed_us ? WP_LATE : WP_ON_TIME;
}

void
wp_lateness_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_step *s;
	struct wp_step *tmp;

	DL_FOREACH_SAFE(p->ready, s, tmp) {
		enum wp_lateness outlook = wp_lateness_of(s, now_us);

		if (outlook == s->lateness)
			continue;
		wp_step_unlist(p, s);
		s->lateness = outlook;
		wp_step_update_lists(p, s);
	}
}
