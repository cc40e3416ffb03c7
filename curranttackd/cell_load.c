#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_pool_internal.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/job_codec.h"

struct wp_job *
cp_load_job(struct cp_host *h, struct rp_job *row)
{
	struct jb_progress *progress = NULL;
	struct jb_spec *spec;
	struct wp_job *job;
	int64_t now_us = clk_now_us();

	if (row->progress != NULL) {
		progress = jc_unpack_progress(
		    NULL, row->progress, row->progress_bytes);
		/* Tasks that are done are not known, so none may be started. */
		if (progress == NULL) {
			lg_event(LG_ERROR, "pool", "unreadable_progress", "job",
			    row->id, NULL);
			return NULL;
		}
	}
	spec = jc_unpack_job(NULL, row->spec, row->spec_bytes);
	if (spec == NULL) {
		talloc_free(progress);
		return NULL;
	}
	job = wp_add_job(h->pool, spec, progress, row->spec_revision > h->fence,
	    cell_wall_to_steady_us(), now_us);
	talloc_free(progress);
	if (row->end_reported)
		wp_end_job(h->pool, job, row->state, now_us);
	if (row->cancelled) {
		cp_log_cancelled(h, row, "job");
		wp_cancel_job(h->pool, job, now_us);
	}
	return job;
}

static void
cp_close_worker(struct cp_host *h, const Currant__KnownWorker *row)
{
	struct jb_ref *task =
	    talloc_zero_array(NULL, struct jb_ref, row->n_tasks + 1);
	size_t i;

	if (task == NULL)
		abort();
	for (i = 0; i < row->n_tasks; i++) {
		snprintf(
		    task[i].job, sizeof(task[i].job), "%s", row->tasks[i]->job);
		task[i].occurrence = row->tasks[i]->occurrence;
		task[i].step = row->tasks[i]->step;
		task[i].index = row->tasks[i]->index;
	}
	wp_close_registered_worker(
	    h->pool, row->id, task, (uint32_t)row->n_tasks);
	talloc_free(task);
}

static Currant__PoolWorkers *
cp_read_registry(struct cp_host *h)
{
	struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);
	Currant__PoolWorkers *list;

	if (o->workers == NULL)
		return NULL;
	list =
	    currant__pool_workers__unpack(NULL, o->workers_bytes, o->workers);
	if (list == NULL)
		lg_event(LG_ERROR, "pool", "unreadable_registry", "pool",
		    h->name, NULL);
	return list;
}

/* Whether the last owner, and not one before it, stored a registry. */
static bool
cp_is_of_last_owner(const struct rp_owner *o, const Currant__PoolWorkers *list)
{
	return list->has_term && list->term + 1 == o->term;
}

/* A build that didn't tell may have known of an earlier incarnation. */
static int64_t
cp_late_lease_ms(const Currant__KnownWorker *row)
{
	if (row->has_late_lease_ms)
		return row->late_lease_ms;
	return !row->has_began_again || row->began_again ? -1 : 0;
}

static void
cp_load_worker(struct cp_host *h, const Currant__PoolWorkers *list,
    const Currant__KnownWorker *row, int64_t now_us)
{
	const struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);

	wp_add_registered_worker(h->pool, row->id, row->address, now_us);
	wp_describe_registered_worker(h->pool, row->id,
	    row->vm != NULL ? row->vm : "", row->born_ms, now_us);
	wp_inherit_late_lease(
	    h->pool, row->id, cp_late_lease_ms(row), o->workers_read_us);
	/* An owner in between may be of a build that doesn't know the mark. */
	if (row->has_lease_left_ms && cp_is_of_last_owner(o, list))
		wp_mark_registered_worker(
		    h->pool, row->id, row->lease_left_ms, o->workers_read_us);
	if (row->closed)
		cp_close_worker(h, row);
}

/* Adds the workers that earlier owners used, as some may not be listed now. */
static void
cp_load_registry(
    struct cp_host *h, const Currant__PoolWorkers *list, int64_t now_us)
{
	size_t i;

	for (i = 0; i < list->n_workers; i++)
		cp_load_worker(h, list, list->workers[i], now_us);
	wp_registry_loaded(h->pool);
}

/* An owner in between may have started them before it stored a registry. */
static void
cp_load_not_started(
    struct cp_host *h, const Currant__PoolWorkers *list, int64_t now_us)
{
	const struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);
	size_t i;

	if (!cp_is_of_last_owner(o, list))
		return;
	for (i = 0; i < list->n_not_started; i++)
		wp_job_never_started(h->pool, list->not_started[i], now_us);
}

void
cp_load_pool(struct cp_host *h, int64_t now_us)
{
	Currant__PoolWorkers *list = cp_read_registry(h);
	struct replica *r = h->cell->replica;
	struct rp_worker *w;
	struct rp_worker *wnext;
	struct rp_job *job;
	struct rp_job *next;

	if (list != NULL)
		cp_load_registry(h, list, now_us);
	HASH_ITER(hh, r->workers, w, wnext) {
		/* An entry that was not followed says nothing until it is read again. */
		bool listed = w->unlisted_us == 0 && r->has_workers;

		if (w->pool == NULL || strcmp(w->pool, h->name) != 0)
			continue;
		/* Unlisted and not in the list of earlier owners: nothing runs on it. */
		if (!listed && wp_find_worker(h->pool, w->id) == NULL)
			continue;
		wp_set_worker(h->pool, &w->info, now_us);
		if (!listed)
			wp_unlist_worker(h->pool, w->id);
	}
	HASH_ITER(hh, r->jobs, job, next) {
		if (job->spec != NULL &&
		    (!jb_has_ended(job->state) || job->end_reported) &&
		    strcmp(job->pool, h->name) == 0)
			cp_load_job(h, job);
	}
	if (list == NULL)
		return;
	cp_load_not_started(h, list, now_us);
	currant__pool_workers__free_unpacked(list, NULL);
}
