#include <stdio.h>
#include <utlist.h>

#include "state/shard_internal.h"

static const char *
sh_check_worker(const struct sh_shard *sh, uint32_t w)
{
	const struct pl_worker *row = &sh->table->worker[w];
	struct st_res sum = row->free;
	const struct sh_task *task;

	if (row->free.cpu_mcpu < 0 || row->free.mem_bytes < 0 ||
	    row->free.accel < 0)
		return "a worker is overcommitted";
	DL_FOREACH(sh->worker[w].tasks, task) {
		st_res_add(&sum, &task->reserved);
		if (task->worker != w)
			return "a task is in the list of another worker";
	}
	if (sum.cpu_mcpu != row->capacity.cpu_mcpu ||
	    sum.mem_bytes != row->capacity.mem_bytes ||
	    sum.accel != row->capacity.accel)
		return "free and reserved resources do not add up to capacity";
	return NULL;
}

static const char *
sh_check_job(const struct sh_job *job)
{
	uint32_t waiting = 0;
	uint32_t open = 0;
	uint32_t i;

	for (i = 0; i < job->spec->count; i++) {
		const struct sh_task *task = &job->task[i];
		bool placed = task->state == SH_LOGGING ||
		    task->state == SH_STARTING || task->state == SH_RUNNING;

		waiting += task->state == SH_WAITING;
		open += task->state != SH_ENDED;
		if (placed != (task->worker != PL_NONE))
			return "a task's state and worker disagree";
		if ((task->state == SH_ENDED) !=
		    (task->result != ST_RESULT_NONE))
			return "a task's state and result disagree";
	}
	if (waiting != job->waiting || open != job->unfinished)
		return "a job's counts of tasks are wrong";
	if (job->queued != (job->waiting > 0 && !job->cancelled))
		return "a job is queued without need, or not queued";
	return NULL;
}

const char *
sh_check_invariants(const struct sh_shard *sh)
{
	const struct sh_job *job;
	const char *violation;
	uint32_t w;

	for (w = 0; w < sh->worker_count; w++) {
		violation = sh_check_worker(sh, w);
		if (violation != NULL)
			return violation;
	}
	for (job = sh->jobs; job != NULL; job = job->hh.next) {
		violation = sh_check_job(job);
		if (violation != NULL)
			return violation;
	}
	return NULL;
}

void
sh_explain_wait(const struct sh_shard *sh, const struct sh_job *job, char *buf)
{
	const char *name = job->spec->id;

	if (job->unfinished == 0) {
		snprintf(buf, SH_TEXT_BYTES, "%s has ended.", name);
		return;
	}
	if (job->cancelled) {
		snprintf(buf, SH_TEXT_BYTES,
		    "%s is cancelled; %u tasks are being stopped.", name,
		    job->unfinished);
		return;
	}
	if (job->waiting == 0) {
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits for nothing: all its open tasks have workers "
		    "or are being located.",
		    name);
		return;
	}
	switch (job->reason) {
	case SH_WAIT_CAPACITY:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits for %s: no usable worker has enough free.", name,
		    job->lacking_resource);
		break;
	case SH_WAIT_QUOTA:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits for team %s to use less: its quota of %s in "
		    "shard %s is used up.",
		    name, job->spec->team, job->lacking_resource, sh->id);
		break;
	case SH_WAIT_PRESET:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits for another preset: %s starts no heavy work.",
		    name, sh->policy->name);
		break;
	case SH_WAIT_GANG:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits until %s for all its %u tasks are free at once; "
		    "room %s reserved.",
		    name, job->lacking_resource, job->spec->count,
		    sh->reservation.job == job ? "is" : "is not yet");
		break;
	case SH_WAIT_STORE:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits for the platform's store: its start must be "
		    "logged first.",
		    name);
		break;
	case SH_WAIT_RECOVERY:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits until the workers of shard %s have answered "
		    "their new owner.",
		    name, sh->id);
		break;
	case SH_WAIT_TURN:
		snprintf(buf, SH_TEXT_BYTES,
		    "%s waits for its turn behind more urgent or older work.",
		    name);
		break;
	}
}
