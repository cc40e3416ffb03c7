#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * Jobs that the registry names as not started.
 *
 * After a takeover, whatever may be on a silent worker waits for its lease to
 * expire, and a start order may have been sent just before. When much more waits
 * than can run, the registry therefore names jobs whose turn is far. From the
 * moment at which it may be stored until a registry without a job is known to be
 * stored, nothing of that job is started, so the next owner may start it at
 * once. Jobs that are due sooner are not named: they start without the store,
 * and for as long as an owner may go on without it.
 */

/* Between two looks at which jobs are due soon. */
#define WP_DEFER_INTERVAL_US (CLK_US_PER_S)
/* The same until the workers have answered a new owner. */
#define WP_DEFER_RETRY_US (100 * CLK_US_PER_MS)
/* A job that could start before its turn is not named again for so long. */
#define WP_DEFER_AGAIN_US (5 * CLK_US_PER_S)
/* Work in front of a job that is to be named, as a part of @near_work_ms. */
#define WP_FAR_PERCENT 125
/* Jobs that may start before their turn once the next registry is stored. */
#define WP_MAX_EARLY_JOBS 32
/* Jobs that the registry names, and queues that are told apart. */
#define WP_MAX_DEFERRED 512
#define WP_MAX_DEFER_QUEUES 32

/* Work of the steps of a queue that come first, on all workers. */
struct wp_queue_work {
	const char *queue;
	double ms;
};

/* Its job is forgotten; another one may be submitted under the identity. */
struct wp_named_identity {
	char job[JB_ID_BYTES];
	bool resuming; /* as of struct wp_job */
	struct wp_named_identity *prev;
	struct wp_named_identity *next;
};

static double
wp_share(int64_t need, int64_t all)
{
	return need > 0 && all > 0 ? (double)need / (double)all : 0;
}

/* How long all workers together take for the waiting tasks of a step. */
static double
wp_waiting_work_ms(const struct wp_step *s, const struct wp_resources *all)
{
	struct wp_resources need = wp_task_resources(s->spec);
	double share = wp_share(need.cpu_mcpu, all->cpu_mcpu);
	double mem = wp_share(need.mem_mb, all->mem_mb);
	double gpu = wp_share(need.gpu, all->gpu);

	if (mem > share)
		share = mem;
	if (gpu > share)
		share = gpu;
	return share * (double)s->waiting * (double)s->spec->estimate_ms;
}

/* NULL if there are too many queues. */
static struct wp_queue_work *
wp_get_queue_work(struct wp_queue_work *row, uint32_t *count, const char *queue)
{
	uint32_t i;

	for (i = 0; i < *count; i++) {
		if (strcmp(row[i].queue, queue) == 0)
			return &row[i];
	}
	if (*count == WP_MAX_DEFER_QUEUES)
		return NULL;
	row[*count] = (struct wp_queue_work){.queue = queue};
	return &row[(*count)++];
}

static void
wp_mark_near(struct wp_pool *p, const struct wp_resources *all)
{
	struct wp_queue_work row[WP_MAX_DEFER_QUEUES];
	uint32_t count = 0;
	struct wp_step *s;

	DL_FOREACH(p->ready, s) {
		struct wp_job *job = s->occ->job;
		struct wp_queue_work *work =
		    wp_get_queue_work(row, &count, job->spec->queue);
		double near_ms = (double)p->near_work_ms;

		if (!job->deferred)
			near_ms = near_ms * WP_FAR_PERCENT / 100;
		if (work == NULL || work->ms < near_ms)
			job->near_pass = p->defer_pass;
		if (work != NULL)
			work->ms += wp_waiting_work_ms(s, all);
	}
}

static bool
wp_is_step_untouched(const struct wp_step *s)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (s->task[i].state != WP_TASK_WAITING || s->task[i].run > 0 ||
		    s->task[i].worker != NULL)
			return false;
	}
	return true;
}

/* No owner has ordered a start of it, or every earlier one is ruled out. */
static bool
wp_is_untouched(const struct wp_job *job)
{
	uint32_t i;

	if (job->started || job->first_start_us != 0 ||
	    job->final_state != JB_PENDING || jb_has_ended(job->state) ||
	    jb_occurrences(job->spec) != 1)
		return false;
	for (i = 0; i < job->spec->step_count; i++) {
		if (!wp_is_step_untouched(&job->occ[0]->step[i]))
			return false;
	}
	return true;
}

/* Return: false while no worker can be used, so that nothing is far. */
static bool
wp_plan_deferred(struct wp_pool *p, int64_t now_us)
{
	struct wp_resources all = wp_usable_capacity(p, now_us);
	uint32_t count = 0;
	struct wp_step *s;

	p->defer_pass++;
	if (p->near_work_ms == 0 || all.cpu_mcpu <= 0)
		return false;
	wp_mark_near(p, &all);
	DL_FOREACH(p->ready, s) {
		struct wp_job *job = s->occ->job;

		if (count == WP_MAX_DEFERRED)
			break;
		if (job->near_pass == p->defer_pass ||
		    job->far_pass == p->defer_pass ||
		    now_us < job->defer_at_us || !wp_is_untouched(job))
			continue;
		job->far_pass = p->defer_pass;
		count++;
	}
	return true;
}

void
wp_defer_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_job *job;
	struct wp_job *next;

	if (p->near_work_ms == 0 || now_us < p->defer_at_us)
		return;
	p->defer_at_us = now_us + WP_DEFER_RETRY_US;
	if (!wp_plan_deferred(p, now_us))
		return;
	p->defer_at_us = now_us + WP_DEFER_INTERVAL_US;
	HASH_ITER(hh, p->jobs, job, next) {
		bool far = job->far_pass == p->defer_pass;

		if (far != (job->deferred && !job->resuming) &&
		    !jb_has_ended(job->state))
			p->registry_dirty = true;
	}
}

void
wp_defer_begin(struct wp_pool *p, int64_t now_us)
{
	struct wp_named_identity *id;
	struct wp_job *job;
	struct wp_job *next;

	p->early_jobs = 0;
	wp_plan_deferred(p, now_us);
	HASH_ITER(hh, p->jobs, job, next) {
		bool far = job->far_pass == p->defer_pass;

		job->resuming = job->deferred && !far;
		job->deferred |= far;
	}
	DL_FOREACH(p->named_identities, id)
		id->resuming = true;
}

static void
wp_drop_identity(struct wp_pool *p, struct wp_named_identity *id)
{
	DL_DELETE(p->named_identities, id);
	talloc_free(id);
}

void
wp_defer_end(struct wp_pool *p)
{
	struct wp_named_identity *id;
	struct wp_named_identity *tmp;
	struct wp_job *job;
	struct wp_job *next;

	HASH_ITER(hh, p->jobs, job, next) {
		if (!job->resuming)
			continue;
		job->deferred = false;
		job->resuming = false;
	}
	DL_FOREACH_SAFE(p->named_identities, id, tmp) {
		if (id->resuming)
			wp_drop_identity(p, id);
	}
}

void
wp_defer_forget(struct wp_pool *p, const struct wp_job *job)
{
	struct wp_named_identity *id;

	if (!job->deferred)
		return;
	id = talloc_zero(p, struct wp_named_identity);
	if (id == NULL)
		abort();
	memcpy(id->job, job->spec->id, sizeof(id->job));
	id->resuming = job->resuming;
	DL_APPEND(p->named_identities, id);
}

void
wp_defer_inherit(struct wp_pool *p, struct wp_job *job)
{
	struct wp_named_identity *id;

	DL_FOREACH(p->named_identities, id) {
		if (strcmp(id->job, job->spec->id) == 0)
			break;
	}
	if (id == NULL)
		return;
	job->deferred = true;
	job->resuming = id->resuming;
	p->registry_dirty = true;
	wp_drop_identity(p, id);
}

void
wp_defer_no_longer(struct wp_pool *p, struct wp_job *job, int64_t now_us)
{
	if (job->resuming || now_us < job->defer_at_us ||
	    p->early_jobs == WP_MAX_EARLY_JOBS)
		return;
	p->early_jobs++;
	job->defer_at_us = now_us + WP_DEFER_AGAIN_US;
	p->registry_dirty = true;
}

bool
wp_is_named(const struct wp_job *job)
{
	return job->deferred && !job->resuming;
}

static void
wp_requeue_never_started(struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (s->task[i].state == WP_TASK_UNRECONCILED &&
		    s->task[i].run == 0)
			wp_task_requeue(&s->task[i], now_us);
	}
}

void
wp_job_never_started(struct wp_pool *p, const char *id, int64_t now_us)
{
	struct wp_job *job = wp_find_job(p, id);
	uint32_t i;

	if (job == NULL || job->started || jb_has_ended(job->state) ||
	    jb_occurrences(job->spec) != 1)
		return;
	for (i = 0; i < job->spec->step_count; i++)
		wp_requeue_never_started(&job->occ[0]->step[i], now_us);
}
