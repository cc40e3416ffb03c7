#include "state/pool_internal.h"

/*
 * Which workers may run something for an earlier owner. Each owner keeps a
 * registry of the workers that may run something in the store.
 */

void
wp_registry_begin(struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	p->registry_dirty = false;
	HASH_ITER(hh, p->workers, w, tmp) {
		w->registering = wp_needs_registration(w, now_us);
		/* The store may have it long before this owner knows. */
		w->registered &= w->registering;
	}
}

void
wp_registry_end(struct wp_pool *p)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp)
		w->registered = w->registering;
}

static void
wp_requeue_unreconciled(struct wp_job *job, int64_t now_us)
{
	uint32_t k;
	uint32_t i;
	uint32_t j;

	for (k = 0; k < jb_occurrences(job->spec); k++) {
		struct wp_occurrence *occ = job->occ[k];

		for (i = 0; occ != NULL && i < job->spec->step_count; i++) {
			for (j = 0; j < job->spec->step[i].count; j++) {
				if (occ->step[i].task[j].state ==
				    WP_TASK_UNRECONCILED)
					wp_task_requeue(
					    &occ->step[i].task[j], now_us);
			}
		}
	}
}

bool
wp_is_holding(const struct wp_worker *w, int64_t now_us)
{
	return !w->token_accepted && now_us < w->earlier_owner_until_us;
}

void
wp_reconcile_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_job *job;
	struct wp_job *next;

	if (p->reconciled || p->ownership_unconfirmed)
		return;
	wp_copy_unreconciled(p, now_us);
	HASH_ITER(hh, p->workers, w, tmp) {
		if (wp_is_holding(w, now_us))
			return;
	}
	p->reconciled = true;
	HASH_ITER(hh, p->jobs, job, next)
		wp_requeue_unreconciled(job, now_us);
}
