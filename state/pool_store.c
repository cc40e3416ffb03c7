#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

static bool
wp_task_has_progress(const struct wp_task *t)
{
	return t->run > 0 || t->failed_count > 0 || t->crash_count > 0 ||
	    t->state == WP_TASK_DONE;
}

static void
wp_add_step_progress(const struct wp_step *s, struct jb_progress *progress)
{
	uint32_t i;

	if (s->unfinished == 0) {
		progress->task[progress->task_count++] =
		    (struct jb_task_progress){
			.occurrence = s->occ->number,
			.step = s->number,
			.index = JB_ALL_TASKS,
			.done = true,
		    };
		return;
	}
	for (i = 0; i < s->spec->count; i++) {
		const struct wp_task *t = &s->task[i];

		if (!wp_task_has_progress(t))
			continue;
		progress->task[progress->task_count++] =
		    (struct jb_task_progress){
			.occurrence = s->occ->number,
			.step = s->number,
			.index = i,
			.run = t->run,
			.failed_run = t->failed_run,
			.failed = t->failed_count,
			.failed_earlier = t->failed_earlier,
			.done = t->state == WP_TASK_DONE,
			.checkpoint =
			    t->state == WP_TASK_DONE ? NULL : t->checkpoint,
			.listed = t->worker != NULL && t->worker->reachable,
			.crash = t->crash,
			.crash_count = t->crash_count,
			.crashed_workers = t->crashed_workers,
		    };
	}
}

static void
wp_get_progress(
    struct wp_job *job, TALLOC_CTX *ctx, struct jb_progress *progress)
{
	uint32_t total = 0;
	uint32_t k;
	uint32_t i;

	for (i = 0; i < job->spec->step_count; i++)
		total += job->spec->step[i].count;
	total *= jb_occurrences(job->spec);
	progress->state = wp_public_state(job);
	progress->started = job->started;
	progress->task_count = 0;
	progress->task = talloc_zero_array(ctx, struct jb_task_progress, total);
	if (jb_has_ended(job->state))
		return;
	for (k = 0; k < jb_occurrences(job->spec); k++) {
		for (i = 0; i < job->spec->step_count; i++)
			wp_add_step_progress(&job->occ[k]->step[i], progress);
	}
}

/* The end of a job is stored at once; other progress may wait. */
static bool
wp_is_job_due(const struct wp_job *job, int64_t now_us)
{
	return jb_has_ended(job->state) || job->pool->draining ||
	    job->crash_unstored || now_us >= job->store_not_before_us;
}

static struct wp_job *
wp_first_due(struct wp_pool *p, int64_t now_us)
{
	struct wp_job *first = NULL;
	struct wp_job *job;

	for (job = p->dirty; job != NULL; job = job->dirty_next) {
		if (jb_has_ended(job->state))
			return job;
		if (first == NULL && wp_is_job_due(job, now_us))
			first = job;
	}
	return first;
}

bool
wp_is_store_due(struct wp_pool *p, int64_t now_us)
{
	return wp_first_due(p, now_us) != NULL;
}

struct wp_job *
wp_next_dirty(struct wp_pool *p, TALLOC_CTX *ctx, int64_t now_us,
    struct jb_progress *progress)
{
	struct wp_job *job = wp_first_due(p, now_us);

	if (job == NULL)
		return NULL;
	DL_DELETE2(p->dirty, job, dirty_prev, dirty_next);
	job->dirty = false;
	if (job->crash_unstored)
		job->crash_commit = p->commits + 1;
	job->crash_unstored = false;
	job->store_not_before_us = now_us + WP_STORE_INTERVAL_US;
	wp_get_progress(job, ctx, progress);
	return job;
}

void
wp_mark_dirty(struct wp_job *job)
{
	struct wp_pool *p = job->pool;

	if (job->dirty)
		return;
	job->dirty = true;
	job->dirty_seq = p->end_seq;
	DL_APPEND2(p->dirty, job, dirty_prev, dirty_next);
}

void
wp_record_run_end(struct wp_pool *p, struct wp_worker *w, uint64_t number)
{
	struct wp_unacked_end *end;

	w->unacked = talloc_realloc(
	    p, w->unacked, struct wp_unacked_end, w->unacked_count + 1);
	if (w->unacked == NULL)
		abort();
	end = &w->unacked[w->unacked_count++];
	end->number = number;
	end->seq = ++p->end_seq;
	w->processed_end = number;
}

/* All run ends before this one are stored, or in the commit being made. */
static uint64_t
wp_first_unstored_seq(const struct wp_pool *p)
{
	uint64_t seq = p->end_seq + 1;
	const struct wp_job *job;

	for (job = p->dirty; job != NULL; job = job->dirty_next) {
		if (job->dirty_seq < seq)
			seq = job->dirty_seq;
	}
	return seq;
}

void
wp_commit_begin(struct wp_pool *p)
{
	p->commit_seq = wp_first_unstored_seq(p);
}

static void
wp_worker_ack_ends(struct wp_worker *w, uint64_t seq, int64_t now_us)
{
	uint32_t stored = 0;

	while (stored < w->unacked_count && w->unacked[stored].seq < seq)
		stored++;
	if (stored == 0)
		return;
	w->acked_end = w->unacked[stored - 1].number;
	w->unacked_count -= stored;
	memmove(w->unacked, w->unacked + stored,
	    w->unacked_count * sizeof(*w->unacked));
	if (w->renew_at_us > now_us)
		w->renew_at_us = now_us;
}

void
wp_commit_end(struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	p->commits++;
	HASH_ITER(hh, p->workers, w, tmp)
		wp_worker_ack_ends(w, p->commit_seq, now_us);
}
