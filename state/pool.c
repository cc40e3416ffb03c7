#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

struct wp_pool *
wp_create(TALLOC_CTX *ctx, const char *name, const struct wp_settings *settings)
{
	struct wp_pool *p = talloc_zero(ctx, struct wp_pool);

	if (p == NULL)
		abort();
	p->name = tx_dup(p, name);
	p->term = settings->term;
	p->earlier_owner_until_us = settings->earlier_owner_until_us;
	sw_init(&p->starts);
	p->capacity_valid_ms = settings->capacity_valid_ms;
	p->max_lease_ms = settings->max_lease_ms;
	p->near_work_ms = settings->near_work_ms;
	return p;
}

struct wp_job *
wp_find_job(struct wp_pool *p, const char *id)
{
	struct wp_job *job;

	HASH_FIND_STR(p->jobs, id, job);
	return job;
}

static struct wp_occurrence *
wp_occurrence_create(struct wp_job *job, uint32_t number, int64_t due_us,
    enum wp_task_state state)
{
	const struct jb_spec *spec = job->spec;
	struct wp_occurrence *occ = talloc_zero(job, struct wp_occurrence);
	uint32_t i;
	uint32_t j;

	if (occ == NULL)
		abort();
	occ->job = job;
	occ->number = number;
	occ->due_us = due_us;
	occ->unfinished_steps = spec->step_count;
	occ->step = talloc_zero_array(occ, struct wp_step, spec->step_count);
	if (occ->step == NULL)
		abort();
	for (i = 0; i < spec->step_count; i++) {
		struct wp_step *s = &occ->step[i];

		s->occ = occ;
		s->number = i;
		s->spec = &spec->step[i];
		s->unfinished = s->spec->count;
		s->waiting = state == WP_TASK_WAITING ? s->spec->count : 0;
		s->task =
		    talloc_zero_array(occ, struct wp_task, s->spec->count);
		if (s->task == NULL)
			abort();
		for (j = 0; j < s->spec->count; j++) {
			s->task[j].step = s;
			s->task[j].index = j;
			s->task[j].state = state;
		}
	}
	job->occ[number] = occ;
	return occ;
}

static int64_t
wp_due_us(const struct wp_job *job, uint32_t number, int64_t wall_to_us)
{
	const struct jb_spec *spec = job->spec;

	if (spec->repeat_count == 0)
		return job->arrived_us;
	return (spec->first_due_ms + spec->interval_ms * number) *
	    CLK_US_PER_MS +
	    wall_to_us;
}

/* All members of a gang share its runs. */
static void
wp_restore_earlier_failures(struct wp_task *t, uint32_t earlier)
{
	struct wp_step *s = t->step;

	t->failed_earlier = earlier;
	if (earlier <= s->gang_failed_earlier)
		return;
	s->gang_failed_count += earlier - s->gang_failed_earlier;
	s->gang_failed_earlier = earlier;
}

static void
wp_task_restore(struct wp_pool *p, struct wp_task *t,
    const struct jb_task_progress *entry, int64_t now_us)
{
	uint32_t i;

	if (entry->run > t->run)
		t->run = entry->run;
	t->has_run = entry->run > 0;
	for (i = 0; i < entry->failed; i++)
		wp_record_failed_run(t, entry->failed_run[i]);
	wp_restore_earlier_failures(t, entry->failed_earlier);
	wp_task_set_checkpoint(t, entry->checkpoint);
	t->crashed_workers = entry->crashed_workers;
	for (i = 0; i < entry->crash_count; i++)
		wp_crash_restore(p, t, &entry->crash[i], now_us);
	if (entry->done)
		wp_task_done(p, t);
}

/* Runs that still exist on workers are stopped there as orphans. */
static void
wp_job_close(struct wp_pool *p, struct wp_job *job, enum jb_state state)
{
	uint32_t k;
	uint32_t i;
	uint32_t j;

	job->state = state;
	for (k = 0; k < jb_occurrences(job->spec); k++) {
		for (i = 0; i < job->spec->step_count; i++) {
			struct wp_step *s = &job->occ[k]->step[i];

			for (j = 0; j < s->spec->count; j++)
				s->task[j].state = WP_TASK_CANCELLED;
			s->waiting = 0;
			wp_step_update_lists(p, s);
		}
	}
}

static void
wp_job_check_attempts(struct wp_pool *p, struct wp_job *job, int64_t now_us)
{
	uint32_t k;
	uint32_t i;
	uint32_t j;

	for (k = 0; k < jb_occurrences(job->spec); k++) {
		for (i = 0; i < job->spec->step_count; i++) {
			struct wp_step *s = &job->occ[k]->step[i];

			for (j = 0; j < s->spec->count; j++) {
				wp_check_attempts(p, &s->task[j], now_us);
				wp_check_crashes(p, &s->task[j], now_us);
			}
		}
	}
}

static void
wp_job_restore(struct wp_pool *p, struct wp_job *job,
    const struct jb_progress *progress, int64_t now_us)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < progress->task_count; i++) {
		const struct jb_task_progress *entry = &progress->task[i];
		struct wp_step *s;

		if (entry->occurrence >= jb_occurrences(job->spec) ||
		    entry->step >= job->spec->step_count)
			continue;
		s = &job->occ[entry->occurrence]->step[entry->step];
		if (entry->index == JB_ALL_TASKS) {
			for (j = 0; j < s->spec->count; j++)
				wp_task_done(p, &s->task[j]);
		} else if (entry->index < s->spec->count) {
			wp_task_restore(
			    p, &s->task[entry->index], entry, now_us);
		}
	}
	if (!jb_has_ended(progress->state))
		wp_job_check_attempts(p, job, now_us);
	if (jb_has_ended(progress->state))
		wp_job_close(p, job, progress->state);
	job->started = progress->started;
}

static void
wp_set_objective(struct wp_job *job)
{
	const struct jb_policy *policy = &job->spec->policy;
	int64_t chain_ms = jb_critical_path_ms(job->spec);
	int64_t objective_us;

	objective_us = chain_ms * policy->stretch_milli +
	    (int64_t)policy->target_latency_ms * CLK_US_PER_MS;
	job->objective_us = job->arrived_us + objective_us;
}

static void
wp_occurrence_begin(
    struct wp_pool *p, struct wp_occurrence *occ, int64_t now_us)
{
	if (occ->due_us <= now_us)
		wp_occurrence_advance(p, occ);
}

struct wp_job *
wp_add_job(struct wp_pool *p, struct jb_spec *spec,
    const struct jb_progress *progress, bool is_new, int64_t wall_to_us,
    int64_t now_us)
{
	struct wp_job *job = talloc_zero(p, struct wp_job);
	uint32_t k;

	if (job == NULL)
		abort();
	job->pool = p;
	job->spec = talloc_steal(job, spec);
	job->occ = talloc_zero_array(
	    job, struct wp_occurrence *, jb_occurrences(spec));
	job->unfinished_occurrences = jb_occurrences(spec);
	job->inherited = !is_new;
	job->store_not_before_us = is_new ? now_us + WP_STORE_INTERVAL_US : 0;
	job->arrived_us = spec->accepted_wall_ms * CLK_US_PER_MS + wall_to_us;
	if (job->arrived_us > now_us)
		job->arrived_us = now_us;
	wp_set_objective(job);
	HASH_ADD_STR(p->jobs, spec->id, job);
	wp_defer_inherit(p, job);
	for (k = 0; k < jb_occurrences(spec); k++)
		wp_occurrence_create(job, k, wp_due_us(job, k, wall_to_us),
		    is_new || p->reconciled ? WP_TASK_WAITING
					    : WP_TASK_UNRECONCILED);
	if (progress != NULL)
		wp_job_restore(p, job, progress, now_us);
	for (k = 0; k < jb_occurrences(spec) && !jb_has_ended(job->state); k++)
		wp_occurrence_begin(p, job->occ[k], now_us);
	return job;
}

static bool
wp_job_is_on_worker(const struct wp_job *job)
{
	uint32_t k;
	uint32_t i;
	uint32_t j;

	for (k = 0; k < jb_occurrences(job->spec); k++) {
		for (i = 0; i < job->spec->step_count; i++) {
			const struct wp_step *s = &job->occ[k]->step[i];

			for (j = 0; j < s->spec->count; j++) {
				if (s->task[j].worker != NULL)
					return true;
			}
		}
	}
	return false;
}

void
wp_end_job(
    struct wp_pool *p, struct wp_job *job, enum jb_state state, int64_t now_us)
{
	if (!wp_job_is_on_worker(job)) {
		wp_job_close(p, job, state);
		wp_mark_dirty(job);
	} else if (job->final_state != JB_PENDING) {
		job->final_state = state;
	} else {
		wp_job_stop(p, job, state, now_us);
	}
}

void
wp_cancel_job(struct wp_pool *p, struct wp_job *job, int64_t now_us)
{
	wp_job_stop(p, job, JB_CANCELLED, now_us);
}

/* A copy that is being stopped goes on until its worker no longer lists it. */
static void
wp_forget_copy(struct wp_worker *w, const struct wp_task *t, int64_t now_us)
{
	int64_t began_ms = t->confirmed_clock_ms + 1;
	int64_t clock_ms = wp_worker_clock_ms(w, now_us);

	w->has_unknown_run = true;
	/* Lists that were made before it began are outdated. */
	if (began_ms > clock_ms)
		began_ms = clock_ms;
	if (w->lists_clock_ms < began_ms)
		w->lists_clock_ms = began_ms;
}

static void
wp_task_forget(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	if (t->worker != NULL)
		wp_forget_copy(t->worker, t, now_us);
	wp_task_release(t);
	wp_crash_forget(p, t);
}

void
wp_forget_job(struct wp_pool *p, struct wp_job *job, int64_t now_us)
{
	uint32_t k;
	uint32_t i;
	uint32_t j;

	for (k = 0; k < jb_occurrences(job->spec); k++) {
		struct wp_occurrence *occ = job->occ[k];

		for (i = 0; i < job->spec->step_count; i++) {
			occ->step[i].ready = false;
			occ->step[i].upcoming = false;
			wp_step_update_lists(p, &occ->step[i]);
			for (j = 0; j < job->spec->step[i].count; j++)
				wp_task_forget(
				    p, &occ->step[i].task[j], now_us);
		}
	}
	wp_forget_holds(p);
	if (job->dirty)
		DL_DELETE2(p->dirty, job, dirty_prev, dirty_next);
	wp_defer_forget(p, job);
	HASH_DEL(p->jobs, job);
	talloc_free(job);
}

static void
wp_jobs_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_job *job;
	struct wp_job *next;
	uint32_t k;
	uint32_t i;

	HASH_ITER(hh, p->jobs, job, next) {
		if (jb_has_ended(job->state) || job->final_state != JB_PENDING)
			continue;
		for (k = 0; k < jb_occurrences(job->spec); k++) {
			struct wp_occurrence *occ = job->occ[k];

			if (occ->unfinished_steps == 0)
				continue;
			wp_occurrence_begin(p, occ, now_us);
			for (i = 0; i < job->spec->step_count; i++) {
				if (occ->step[i].spec->flags & JB_GANG)
					wp_gang_tick(p, &occ->step[i], now_us);
				wp_prefetch_advice(p, &occ->step[i], now_us);
			}
		}
	}
}

void
wp_tick(struct wp_pool *p, int64_t now_us)
{
	if (p->superseded)
		return;
	if (p->first_tick_us == 0)
		p->first_tick_us = now_us;
	wp_workers_tick(p, now_us);
	wp_crash_tick(p, now_us);
	wp_reconcile_tick(p, now_us);
	wp_defer_tick(p, now_us);
	wp_jobs_tick(p, now_us);
	wp_lateness_tick(p, now_us);
	wp_waits_tick(p, now_us);
	wp_restore_tick(p, now_us);
	wp_reserve_tick(p, now_us);
	wp_schedule(p, now_us);
}

struct wp_order *
wp_next_order(struct wp_pool *p)
{
	struct wp_order *o = p->orders;

	if (o != NULL)
		DL_DELETE(p->orders, o);
	return o;
}

enum jb_state
wp_public_state(const struct wp_job *job)
{
	if (jb_has_ended(job->state))
		return job->state;
	return job->started ? JB_RUNNING : JB_PENDING;
}

static void
wp_count_step(const struct wp_step *s, struct wp_counts *n)
{
	uint32_t i;

	n->asking += s->requests_in_flight > 0;
	for (i = 0; i < s->spec->count; i++) {
		switch (s->task[i].state) {
		case WP_TASK_WAITING:
			n->waiting += s->ready;
			n->late += s->ready && s->lateness != WP_ON_TIME;
			break;
		case WP_TASK_UNRECONCILED:
			n->held++;
			break;
		case WP_TASK_STARTING:
		case WP_TASK_RUNNING:
			n->running++;
			break;
		case WP_TASK_STOPPING:
			n->running++;
			n->stops_unanswered += s->task[i].resend_at_us != 0;
			break;
		case WP_TASK_DONE:
		case WP_TASK_CANCELLED:
			break;
		}
	}
}

static uint32_t
wp_percent(int64_t part, int64_t whole)
{
	return whole > 0 ? (uint32_t)(part * 100 / whole) : 0;
}

void
wp_get_counts(const struct wp_pool *p, int64_t now_us, struct wp_counts *n)
{
	struct wp_worker *w;
	struct wp_worker *wnext;
	struct wp_resources used = {0};
	struct wp_resources all = {0};
	struct wp_job *job;
	struct wp_job *next;
	uint32_t k;
	uint32_t i;

	memset(n, 0, sizeof(*n));
	HASH_ITER(hh, p->workers, w, wnext) {
		/* Nothing depends on one that is gone. */
		if (!wp_needs_registration(w, now_us))
			continue;
		n->unfenced += !w->token_accepted;
		n->unreachable += w->unreachable_since_us != 0;
		n->usable += wp_is_usable(w, now_us);
		n->outdated += w->listed && !wp_knows_capacity(w, now_us);
		if (!wp_is_usable(w, now_us))
			continue;
		n->overfull += wp_is_overfull(w);
		wp_resources_add(&all, &w->capacity, 1);
		wp_resources_add(&used, &w->used, 1);
	}
	n->cpu_percent = wp_percent(used.cpu_mcpu, all.cpu_mcpu);
	n->gpu_percent = wp_percent(used.gpu, all.gpu);
	HASH_ITER(hh, p->jobs, job, next) {
		if (jb_has_ended(job->state))
			continue;
		n->jobs++;
		for (k = 0; k < jb_occurrences(job->spec); k++) {
			for (i = 0; i < job->spec->step_count; i++)
				wp_count_step(&job->occ[k]->step[i], n);
		}
	}
}
