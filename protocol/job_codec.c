#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/text.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/job_codec.h"
#include "protocol/pack.h"

static char *
jc_text(const char *text)
{
	return pk_text(text != NULL ? text : "");
}

static void
jc_fill_step(Currant__StepSpec *to, const struct jb_step *from)
{
	currant__step_spec__init(to);
	to->count = from->count;
	to->cpu_mcpu = from->cpu_mcpu;
	to->mem_mb = from->mem_mb;
	to->has_gpu = from->gpu > 0;
	to->gpu = from->gpu;
	to->has_estimate_ms = from->estimate_ms > 0;
	to->estimate_ms = from->estimate_ms;
	to->after = from->after;
	to->n_after = from->after_count;
	to->has_flags = from->flags != 0;
	to->flags = from->flags;
	to->label = from->label;
	to->rack = from->rack;
	to->has_max_per_worker = from->max_per_worker > 0;
	to->max_per_worker = from->max_per_worker;
	to->image = from->image;
	to->has_target_ms = from->target_ms > 0;
	to->target_ms = from->target_ms;
	to->has_may_miss = from->max_unavailable > 0;
	to->may_miss = from->max_unavailable;
}

static void
jc_fill_policy(Currant__QueuePolicy *to, const struct jb_policy *from)
{
	currant__queue_policy__init(to);
	to->priority = from->priority;
	to->max_attempts = from->max_attempts;
	to->stretch_milli = from->stretch_milli;
	to->target_latency_ms = from->target_latency_ms;
	to->has_advice_decide_us = from->advice_valid_ms > 0;
	to->advice_decide_us = from->advice_decide_us;
	to->has_advice_period_us = from->advice_valid_ms > 0;
	to->advice_period_us = from->advice_period_us;
	to->has_advice_valid_ms = from->advice_valid_ms > 0;
	to->advice_valid_ms = from->advice_valid_ms;
}

uint8_t *
jc_pack_job(TALLOC_CTX *ctx, const struct jb_spec *spec, size_t *bytes)
{
	Currant__AcceptedJob job = CURRANT__ACCEPTED_JOB__INIT;
	Currant__QueuePolicy policy;
	Currant__StepSpec *steps;
	Currant__StepSpec **rows;
	uint8_t *value;
	uint32_t i;

	steps = talloc_zero_array(NULL, Currant__StepSpec, spec->step_count);
	rows = talloc_zero_array(steps, Currant__StepSpec *, spec->step_count);
	if (steps == NULL || rows == NULL)
		abort();
	for (i = 0; i < spec->step_count; i++) {
		jc_fill_step(&steps[i], &spec->step[i]);
		rows[i] = &steps[i];
	}
	jc_fill_policy(&policy, &spec->policy);
	job.id = jc_text(spec->id);
	job.queue = jc_text(spec->queue);
	job.pool = jc_text(spec->pool);
	job.payload = jc_text(spec->payload);
	job.steps = rows;
	job.n_steps = spec->step_count;
	job.accepted_wall_ms = spec->accepted_wall_ms;
	job.policy = &policy;
	job.has_repeat_count = spec->repeat_count > 0;
	job.repeat_count = spec->repeat_count;
	job.has_first_due_ms = spec->repeat_count > 0;
	job.first_due_ms = spec->first_due_ms;
	job.has_interval_ms = spec->repeat_count > 0;
	job.interval_ms = spec->interval_ms;
	value = pk_pack(ctx, &job.base, bytes);
	talloc_free(steps);
	return value;
}

static char *
jc_copy(TALLOC_CTX *ctx, const char *text)
{
	return text != NULL ? talloc_strdup(ctx, text) : NULL;
}

static void
jc_read_step(TALLOC_CTX *ctx, struct jb_step *to, const Currant__StepSpec *from)
{
	to->count = from->count;
	to->cpu_mcpu = from->cpu_mcpu;
	to->mem_mb = from->mem_mb;
	to->gpu = from->gpu;
	to->estimate_ms = from->estimate_ms;
	to->after =
	    talloc_memdup(ctx, from->after, from->n_after * sizeof(uint32_t));
	to->after_count = (uint32_t)from->n_after;
	to->flags = from->flags;
	to->label = jc_copy(ctx, from->label);
	to->rack = jc_copy(ctx, from->rack);
	to->max_per_worker = from->max_per_worker;
	to->image = jc_copy(ctx, from->image);
	to->target_ms = from->target_ms;
	to->max_unavailable = from->may_miss;
}

static void
jc_read_policy(struct jb_policy *to, const Currant__QueuePolicy *from)
{
	to->priority = from->priority;
	to->max_attempts = from->max_attempts;
	to->stretch_milli = from->stretch_milli;
	to->target_latency_ms = from->target_latency_ms;
	to->advice_decide_us = from->advice_decide_us;
	to->advice_period_us = from->advice_period_us;
	to->advice_valid_ms = from->advice_valid_ms;
}

struct jb_spec *
jc_unpack_job(TALLOC_CTX *ctx, const uint8_t *value, size_t bytes)
{
	char error[128];
	Currant__AcceptedJob *job;
	struct jb_spec *spec;
	size_t i;

	job = currant__accepted_job__unpack(NULL, bytes, value);
	if (job == NULL)
		return NULL;
	spec = talloc_zero(ctx, struct jb_spec);
	if (spec == NULL)
		abort();
	snprintf(spec->id, sizeof(spec->id), "%s", job->id);
	spec->queue = jc_copy(spec, job->queue);
	spec->pool = jc_copy(spec, job->pool);
	spec->payload = jc_copy(spec, job->payload);
	spec->step = talloc_zero_array(spec, struct jb_step, job->n_steps + 1);
	spec->step_count = (uint32_t)job->n_steps;
	for (i = 0; i < job->n_steps; i++)
		jc_read_step(spec, &spec->step[i], job->steps[i]);
	spec->accepted_wall_ms = job->accepted_wall_ms;
	jc_read_policy(&spec->policy, job->policy);
	spec->repeat_count = job->repeat_count;
	spec->first_due_ms = job->first_due_ms;
	spec->interval_ms = job->interval_ms;
	currant__accepted_job__free_unpacked(job, NULL);
	if (!jb_validate(spec, error, sizeof(error)))
		TALLOC_FREE(spec);
	return spec;
}

static Currant__TaskCrash **
jc_fill_crashes(TALLOC_CTX *ctx, const struct jb_task_progress *from)
{
	Currant__TaskCrash *crashes;
	Currant__TaskCrash **rows;
	uint32_t i;

	crashes = talloc_zero_array(ctx, Currant__TaskCrash, from->crash_count);
	rows = talloc_zero_array(ctx, Currant__TaskCrash *, from->crash_count);
	if (crashes == NULL || rows == NULL)
		abort();
	for (i = 0; i < from->crash_count; i++) {
		const struct jb_crash *c = &from->crash[i];

		rows[i] = &crashes[i];
		currant__task_crash__init(rows[i]);
		rows[i]->run = c->run;
		rows[i]->worker = jc_text(c->worker);
		rows[i]->has_incarnation_ms = true;
		rows[i]->incarnation_ms = c->incarnation_ms;
		rows[i]->has_ended = c->ended;
		rows[i]->ended = c->ended;
		rows[i]->has_weight = true;
		rows[i]->weight = c->weight;
	}
	return rows;
}

static void
jc_fill_task(TALLOC_CTX *ctx, Currant__TaskProgress *to,
    const struct jb_task_progress *from)
{
	currant__task_progress__init(to);
	to->has_occurrence = from->occurrence > 0;
	to->occurrence = from->occurrence;
	to->has_step = from->step > 0;
	to->step = from->step;
	to->index = from->index;
	to->has_run = from->run > 0;
	to->run = from->run;
	to->failed_runs = (uint32_t *)(uintptr_t)from->failed_run;
	to->n_failed_runs = from->failed;
	to->has_failed_earlier = from->failed_earlier > 0;
	to->failed_earlier = from->failed_earlier;
	to->has_done = from->done;
	to->done = from->done;
	if (from->checkpoint != NULL)
		to->checkpoint = jc_text(from->checkpoint);
	to->has_crashed_workers = from->crashed_workers > 0;
	to->crashed_workers = from->crashed_workers;
	if (from->crash_count == 0)
		return;
	to->crashes = jc_fill_crashes(ctx, from);
	to->n_crashes = from->crash_count;
}

uint8_t *
jc_pack_progress(
    TALLOC_CTX *ctx, const struct jb_progress *progress, size_t *bytes)
{
	Currant__JobProgress p = CURRANT__JOB_PROGRESS__INIT;
	Currant__TaskProgress *tasks;
	Currant__TaskProgress **rows;
	uint8_t *value;
	uint32_t i;

	tasks = talloc_zero_array(
	    NULL, Currant__TaskProgress, progress->task_count + 1);
	rows = talloc_zero_array(
	    tasks, Currant__TaskProgress *, progress->task_count + 1);
	if (tasks == NULL || rows == NULL)
		abort();
	for (i = 0; i < progress->task_count; i++) {
		jc_fill_task(tasks, &tasks[i], &progress->task[i]);
		rows[i] = &tasks[i];
	}
	p.state = (uint32_t)progress->state;
	p.started = progress->started;
	p.tasks = rows;
	p.n_tasks = progress->task_count;
	value = pk_pack(ctx, &p.base, bytes);
	talloc_free(tasks);
	return value;
}

static enum jb_state
jc_read_state(uint32_t state)
{
	return state <= JB_CANCELLED ? (enum jb_state)state : JB_PENDING;
}

bool
jc_unpack_state(
    const uint8_t *value, size_t bytes, enum jb_state *state, bool *started)
{
	Currant__JobProgressHead *head =
	    currant__job_progress_head__unpack(NULL, bytes, value);

	if (head == NULL)
		return false;
	*state = jc_read_state(head->state);
	*started = head->started;
	currant__job_progress_head__free_unpacked(head, NULL);
	return true;
}

static struct jb_crash *
jc_read_crashes(TALLOC_CTX *ctx, const Currant__TaskProgress *from)
{
	struct jb_crash *crash;
	size_t i;

	if (from->n_crashes == 0)
		return NULL;
	crash = talloc_zero_array(ctx, struct jb_crash, from->n_crashes);
	if (crash == NULL)
		abort();
	for (i = 0; i < from->n_crashes; i++) {
		const Currant__TaskCrash *c = from->crashes[i];

		crash[i].run = c->run;
		crash[i].worker = tx_dup(crash, c->worker);
		crash[i].incarnation_ms = c->incarnation_ms;
		crash[i].ended = c->ended;
		crash[i].weight = c->weight;
	}
	return crash;
}

struct jb_progress *
jc_unpack_progress(TALLOC_CTX *ctx, const uint8_t *value, size_t bytes)
{
	Currant__JobProgress *p;
	struct jb_progress *progress;
	size_t i;

	p = currant__job_progress__unpack(NULL, bytes, value);
	if (p == NULL)
		return NULL;
	progress = talloc_zero(ctx, struct jb_progress);
	if (progress == NULL)
		abort();
	progress->state = jc_read_state(p->state);
	progress->started = p->started;
	progress->task = talloc_zero_array(
	    progress, struct jb_task_progress, p->n_tasks + 1);
	progress->task_count = (uint32_t)p->n_tasks;
	for (i = 0; i < p->n_tasks; i++) {
		const Currant__TaskProgress *from = p->tasks[i];

		progress->task[i] = (struct jb_task_progress){
		    .occurrence = from->occurrence,
		    .step = from->step,
		    .index = from->index,
		    .run = from->run,
		    .failed_run = talloc_memdup(progress, from->failed_runs,
			from->n_failed_runs * sizeof(uint32_t)),
		    .failed = (uint32_t)from->n_failed_runs,
		    .failed_earlier = from->failed_earlier,
		    .done = from->done,
		    .checkpoint = jc_copy(progress, from->checkpoint),
		    .crash = jc_read_crashes(progress, from),
		    .crash_count = (uint32_t)from->n_crashes,
		    .crashed_workers = from->crashed_workers,
		};
	}
	currant__job_progress__free_unpacked(p, NULL);
	return progress;
}
