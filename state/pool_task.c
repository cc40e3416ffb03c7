#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* How long a task avoids a worker on which it failed. */
#define WP_AVOID_US (4 * CLK_US_PER_S)

struct wp_resources
wp_task_resources(const struct jb_step *step)
{
	struct wp_resources need = {
	    .cpu_mcpu = step->cpu_mcpu,
	    .mem_mb = step->mem_mb,
	    .gpu = step->gpu,
	};

	if (step->flags & JB_OPPORTUNISTIC)
		need.cpu_mcpu = 0;
	return need;
}

void
wp_resources_add(
    struct wp_resources *to, const struct wp_resources *n, int sign)
{
	to->cpu_mcpu += sign * n->cpu_mcpu;
	to->mem_mb += sign * n->mem_mb;
	to->gpu += sign * n->gpu;
}

static int64_t
wp_not_negative(int64_t n)
{
	return n > 0 ? n : 0;
}

void
wp_resources_clip(struct wp_resources *n)
{
	n->cpu_mcpu = wp_not_negative(n->cpu_mcpu);
	n->mem_mb = wp_not_negative(n->mem_mb);
	n->gpu = wp_not_negative(n->gpu);
}

/* An unknown run may take all that a worker has, however much that is. */
struct wp_resources
wp_free_resources(const struct wp_worker *w)
{
	struct wp_resources left = {0};

	if (!w->has_unknown_run)
		left = w->capacity;
	wp_resources_add(&left, &w->used, -1);
	wp_resources_add(&left, &w->orphaned, -1);
	wp_resources_add(&left, &w->strayed, -1);
	return left;
}

bool
wp_resources_fit(
    const struct wp_resources *available, const struct wp_resources *need)
{
	return need->cpu_mcpu <= available->cpu_mcpu &&
	    need->mem_mb <= available->mem_mb && need->gpu <= available->gpu;
}

bool
wp_is_overfull(const struct wp_worker *w)
{
	return !wp_resources_fit(&w->capacity, &w->used);
}

void
wp_task_ref(const struct wp_task *t, struct jb_ref *ref)
{
	memset(ref, 0, sizeof(*ref));
	memcpy(ref->job, t->step->occ->job->spec->id, sizeof(ref->job));
	ref->occurrence = t->step->occ->number;
	ref->step = t->step->number;
	ref->index = t->index;
}

bool
wp_is_of_step(const struct wp_step *s, const struct jb_ref *ref)
{
	return ref->step == s->number && ref->occurrence == s->occ->number &&
	    strcmp(ref->job, s->occ->job->spec->id) == 0;
}

struct wp_task *
wp_find_task(struct wp_pool *p, const struct jb_ref *ref)
{
	struct wp_job *job = wp_find_job(p, ref->job);
	struct wp_occurrence *occ;

	if (job == NULL || ref->occurrence >= jb_occurrences(job->spec))
		return NULL;
	occ = job->occ[ref->occurrence];
	if (occ == NULL || ref->step >= job->spec->step_count ||
	    ref->index >= job->spec->step[ref->step].count)
		return NULL;
	return &occ->step[ref->step].task[ref->index];
}

uint32_t
wp_next_run(const struct wp_pool *p, const struct wp_task *t)
{
	uint32_t base = p->term * WP_RUNS_PER_TERM;

	return (t->run > base ? t->run : base) + 1;
}

void
wp_task_set_checkpoint(struct wp_task *t, const char *checkpoint)
{
	if (checkpoint == NULL || checkpoint[0] == '\0')
		return;
	if (t->checkpoint != NULL && strcmp(t->checkpoint, checkpoint) == 0)
		return;
	talloc_free(t->checkpoint);
	t->checkpoint = talloc_strdup(t->step->occ, checkpoint);
}

struct wp_order *
wp_queue_order(struct wp_pool *p, enum wp_order_kind kind, struct wp_worker *w,
    const struct jb_ref *ref, uint32_t run)
{
	struct wp_order *o = talloc_zero(p, struct wp_order);

	if (o == NULL)
		abort();
	o->kind = kind;
	o->worker = tx_dup(o, w->id);
	o->address = tx_dup(o, w->address);
	o->incarnation_ms = w->incarnation_ms;
	o->fence = w->fence;
	o->ref = *ref;
	o->run = run;
	if (kind == WP_ORDER_STOP)
		o->sends = w->unanswered_stops + 1;
	DL_APPEND(p->orders, o);
	return o;
}

uint32_t
wp_count_tasks(const struct wp_worker *w)
{
	const struct wp_task *t;
	uint32_t n = 0;

	DL_FOREACH(w->tasks, t)
		n++;
	return n;
}

static void
wp_task_attach(struct wp_task *t, struct wp_worker *w)
{
	struct wp_resources need = wp_task_resources(t->step->spec);

	t->worker = w;
	wp_resources_add(&w->used, &need, 1);
	DL_APPEND(w->tasks, t);
}

void
wp_task_release(struct wp_task *t)
{
	struct wp_resources need = wp_task_resources(t->step->spec);
	struct wp_worker *w = t->worker;

	if (w == NULL)
		return;
	wp_resources_add(&w->used, &need, -1);
	DL_DELETE(w->tasks, t);
	w->freed = true;
	t->worker = NULL;
	t->in_doubt = false;
	t->resend_at_us = 0;
	t->order_in_flight = false;
	t->confirmed_clock_ms = 0;
	t->stopped_clock_ms = 0;
}

/* A start is refused once the worker's capacity may have shrunk unnoticed. */
static int64_t
wp_start_deadline_ms(const struct wp_worker *w, int64_t now_us)
{
	int64_t until = wp_worker_clock_ms(w, now_us + WP_START_VALID_US);

	if (w->capacity_until_ms != 0 && w->capacity_until_ms < until)
		return w->capacity_until_ms;
	return until;
}

void
wp_task_send_start(
    struct wp_pool *p, struct wp_task *t, const char *ticket, int64_t now_us)
{
	struct wp_worker *w = t->worker;
	struct wp_order *o;
	struct jb_ref ref;
	int64_t until = wp_start_deadline_ms(w, now_us);

	wp_task_ref(t, &ref);
	o = wp_queue_order(p, WP_ORDER_START, w, &ref, t->run);
	o->payload = t->step->occ->job->spec->payload;
	if (t->checkpoint != NULL)
		o->checkpoint = talloc_strdup(o, t->checkpoint);
	if (ticket != NULL)
		o->ticket = talloc_strdup(o, ticket);
	o->deadline_clock_ms = until;
	o->sent = sw_send(&p->starts, now_us);
	if (until > w->lease_end_clock_ms)
		w->lease_end_clock_ms = until;
	if (until > t->deadline_clock_ms)
		t->deadline_clock_ms = until;
	o->sends = ++t->start_sends;
	t->order_in_flight = true;
	t->resend_at_us = now_us + WP_RESEND_DELAY_US;
	p->stats.starts++;
}

void
wp_task_place(struct wp_pool *p, struct wp_task *t, struct wp_worker *w,
    uint32_t run, const char *ticket, int64_t now_us)
{
	struct wp_job *job = t->step->occ->job;

	wp_task_attach(t, w);
	t->state = WP_TASK_STARTING;
	t->step->waiting--;
	t->run = run;
	t->start_sends = 0;
	t->started_us = now_us;
	t->progressed_us = now_us;
	t->percent = 0;
	t->load = 0;
	t->pace = WP_FULL_PACE;
	t->pace_confirmed = true;
	t->confirmed_clock_ms = 0;
	t->deadline_clock_ms = 0;
	wp_task_send_start(p, t, ticket, now_us);
	if (job->first_start_us == 0)
		job->first_start_us = now_us;
	job->last_start_us = now_us;
}

void
wp_job_begun(struct wp_job *job)
{
	if (job->started)
		return;
	job->started = true;
	wp_mark_dirty(job);
}

void
wp_task_adopt(
    struct wp_task *t, struct wp_worker *w, uint32_t run, int64_t now_us)
{
	if (t->state == WP_TASK_WAITING)
		t->step->waiting--;
	wp_task_attach(t, w);
	t->state = WP_TASK_RUNNING;
	t->run = run;
	t->started_us = now_us;
	t->progressed_us = now_us;
	t->pace = WP_FULL_PACE;
	t->pace_confirmed = false;
	t->confirmed_clock_ms = w->lists_clock_ms;
	t->deadline_clock_ms = 0;
	wp_step_update_lists(t->step->occ->job->pool, t->step);
}

void
wp_task_requeue(struct wp_task *t, int64_t not_before_us)
{
	struct wp_job *job = t->step->occ->job;

	wp_task_release(t);
	if (t->state == WP_TASK_DONE)
		return;
	if (job->final_state != JB_PENDING) {
		t->state = WP_TASK_CANCELLED;
		wp_job_finish_stop(job);
		return;
	}
	t->state = WP_TASK_WAITING;
	t->not_before_us = not_before_us;
	t->step->full_scan_at_us = 0;
	t->step->waiting++;
	wp_restore_soon(t);
	wp_step_update_lists(job->pool, t->step);
}

void
wp_task_send_stop(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	struct jb_ref ref;

	t->resend_at_us = now_us + WP_RESEND_DELAY_US;
	wp_task_ref(t, &ref);
	wp_queue_order(p, WP_ORDER_STOP, t->worker, &ref, t->run);
}

void
wp_task_stop(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	t->state = WP_TASK_STOPPING;
	t->stopped_clock_ms = 0;
	wp_task_send_stop(p, t, now_us);
}

static void
wp_step_update_upcoming(struct wp_pool *p, struct wp_step *s)
{
	bool wanted = s->upcoming && !s->ready && s->waiting > 0;

	if (wanted == s->upcoming_listed)
		return;
	if (wanted)
		DL_APPEND2(p->upcoming, s, upcoming_prev, upcoming_next);
	else
		DL_DELETE2(p->upcoming, s, upcoming_prev, upcoming_next);
	s->upcoming_listed = wanted;
}

void
wp_step_unlist(struct wp_pool *p, struct wp_step *s)
{
	wp_reservation_release(p, s);
	wp_ready_remove(p, s);
}

/* Until gangs are planned again: just before the next step. */
static uint32_t
wp_rank_between(const struct wp_step *s)
{
	if (s->next == NULL)
		return UINT32_MAX;
	return s->next->rank > 0 ? s->next->rank - 1 : 0;
}

void
wp_step_update_lists(struct wp_pool *p, struct wp_step *s)
{
	bool listed = s->prev != NULL;
	bool wanted = s->ready && s->waiting > 0;

	if (wanted && !listed) {
		wp_ready_insert(p, s);
		s->rank = wp_rank_between(s);
	}
	if (!wanted && listed)
		wp_step_unlist(p, s);
	wp_step_update_upcoming(p, s);
}

void
wp_step_mark_ready(struct wp_pool *p, struct wp_step *s)
{
	if (s->ready)
		return;
	s->ready = true;
	wp_step_update_lists(p, s);
}

void
wp_occurrence_advance(struct wp_pool *p, struct wp_occurrence *occ)
{
	const struct jb_spec *spec = occ->job->spec;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < spec->step_count; i++) {
		const struct jb_step *step = &spec->step[i];
		bool ready = true;

		for (j = 0; j < step->after_count; j++)
			ready &= occ->step[step->after[j]].unfinished == 0;
		if (ready)
			wp_step_mark_ready(p, &occ->step[i]);
	}
}

static void
wp_job_occurrence_ended(struct wp_job *job)
{
	job->unfinished_occurrences--;
	if (job->unfinished_occurrences > 0)
		return;
	job->state = JB_COMPLETED;
}

void
wp_task_done(struct wp_pool *p, struct wp_task *t)
{
	struct wp_step *s = t->step;
	struct wp_job *job = s->occ->job;

	if (t->state == WP_TASK_DONE || t->state == WP_TASK_CANCELLED)
		return;
	if (t->state == WP_TASK_WAITING) {
		s->waiting--;
		wp_step_update_lists(p, s);
	}
	t->state = WP_TASK_DONE;
	s->trial_passed |= t->crash_count > 0;
	wp_crash_forget(p, t);
	s->unfinished--;
	wp_mark_dirty(job);
	if (s->unfinished > 0) {
		wp_job_finish_stop(job);
		return;
	}
	wp_tickets_forget(s);
	s->occ->unfinished_steps--;
	if (s->occ->unfinished_steps == 0)
		wp_job_occurrence_ended(job);
	else
		wp_occurrence_advance(p, s->occ);
	wp_job_finish_stop(job);
}

void
wp_task_avoid(struct wp_task *t, struct wp_worker *w, int64_t now_us)
{
	if (w == NULL)
		return;
	t->avoided[t->avoided_count % WP_MAX_AVOIDED] = w;
	t->avoided_count++;
	t->avoid_until_us = now_us + WP_AVOID_US;
}

static bool
wp_has_failed_run(const struct wp_task *t, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < t->failed_count; i++) {
		if (t->failed_run[i] == run)
			return true;
	}
	return false;
}

/* A failed run of a gang counts once, whichever of its members report it. */
static bool
wp_gang_has_failed_run(const struct wp_step *s, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (wp_has_failed_run(&s->task[i], run))
			return true;
	}
	return false;
}

/* An end that is read again is a recent one, so older numbers can go. */
static void
wp_drop_oldest_failed_run(struct wp_task *t)
{
	t->failed_count--;
	t->failed_earlier++;
	memmove(t->failed_run, t->failed_run + 1,
	    t->failed_count * sizeof(t->failed_run[0]));
}

bool
wp_record_failed_run(struct wp_task *t, uint32_t run)
{
	struct wp_step *s = t->step;

	if (wp_has_failed_run(t, run))
		return false;
	if ((s->spec->flags & JB_GANG) && !wp_gang_has_failed_run(s, run))
		s->gang_failed_count++;
	if (t->failed_count == WP_MAX_FAILED_RUNS)
		wp_drop_oldest_failed_run(t);
	t->failed_run[t->failed_count++] = run;
	return true;
}

void
wp_check_attempts(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	const struct wp_step *s = t->step;
	struct wp_job *job = s->occ->job;
	uint32_t max_attempts = job->spec->policy.max_attempts;
	uint32_t failed;

	failed = s->spec->flags & JB_GANG ? s->gang_failed_count
					  : t->failed_earlier + t->failed_count;
	if (!(s->spec->flags & JB_LONG_RUNNING) && max_attempts > 0 &&
	    failed >= max_attempts)
		wp_job_stop(p, job, JB_FAILED, now_us);
}

void
wp_count_failure(
    struct wp_pool *p, struct wp_task *t, uint32_t run, int64_t now_us)
{
	if (!wp_record_failed_run(t, run))
		return;
	wp_mark_dirty(t->step->occ->job);
	wp_check_attempts(p, t, now_us);
}

/*
 * Whether runs of an earlier owner, before the one that has failed now, may
 * have failed on workers that have not responded to this owner yet.
 */
static bool
wp_may_have_failed_unseen(const struct wp_pool *p, const struct wp_task *t)
{
	uint32_t term = t->run / WP_RUNS_PER_TERM;
	uint32_t known = 0;
	uint32_t i;

	if (p->reconciled || term == p->term)
		return false;
	for (i = 0; i < t->failed_count; i++)
		known += t->failed_run[i] / WP_RUNS_PER_TERM == term;
	return t->run % WP_RUNS_PER_TERM > known;
}

void
wp_task_failed(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	wp_task_avoid(t, t->worker, now_us);
	wp_task_requeue(t, now_us + WP_RESTART_DELAY_US);
	wp_count_failure(p, t, t->run, now_us);
	if (t->state != WP_TASK_WAITING || !wp_may_have_failed_unseen(p, t))
		return;
	t->state = WP_TASK_UNRECONCILED;
	t->step->waiting--;
	wp_step_update_lists(p, t->step);
}

void
wp_job_finish_stop(struct wp_job *job)
{
	uint32_t k;
	uint32_t i;
	uint32_t j;

	if (job->final_state == JB_PENDING || jb_has_ended(job->state))
		return;
	for (k = 0; k < jb_occurrences(job->spec); k++) {
		struct wp_occurrence *occ = job->occ[k];

		for (i = 0; occ != NULL && i < job->spec->step_count; i++) {
			for (j = 0; j < job->spec->step[i].count; j++) {
				enum wp_task_state state =
				    occ->step[i].task[j].state;

				if (state != WP_TASK_DONE &&
				    state != WP_TASK_CANCELLED)
					return;
			}
		}
	}
	job->state = job->final_state;
	wp_mark_dirty(job);
}

static void
wp_step_stop(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		struct wp_task *t = &s->task[i];

		switch (t->state) {
		case WP_TASK_WAITING:
			s->waiting--;
			t->state = WP_TASK_CANCELLED;
			break;
		case WP_TASK_STARTING:
		case WP_TASK_RUNNING:
			wp_task_stop(p, t, now_us);
			break;
		case WP_TASK_UNRECONCILED:
		case WP_TASK_STOPPING:
		case WP_TASK_DONE:
		case WP_TASK_CANCELLED:
			break;
		}
	}
	wp_step_update_lists(p, s);
}

void
wp_job_stop(
    struct wp_pool *p, struct wp_job *job, enum jb_state state, int64_t now_us)
{
	uint32_t k;
	uint32_t i;

	if (job->final_state != JB_PENDING || jb_has_ended(job->state))
		return;
	job->final_state = state;
	wp_mark_dirty(job);
	for (k = 0; k < jb_occurrences(job->spec); k++) {
		for (i = 0; job->occ[k] != NULL && i < job->spec->step_count;
		     i++)
			wp_step_stop(p, &job->occ[k]->step[i], now_us);
	}
	wp_job_finish_stop(job);
}
