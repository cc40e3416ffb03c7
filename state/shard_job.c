#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/shard_internal.h"

struct sh_team *
sh_team_get(struct sh_shard *sh, const char *name)
{
	struct sh_team *team;

	HASH_FIND_STR(sh->teams, name, team);
	if (team != NULL)
		return team;
	team = talloc_zero(sh, struct sh_team);
	team->name = talloc_strdup(team, name);
	team->quota.cpu_mcpu = INT64_MAX;
	team->quota.mem_bytes = INT64_MAX;
	team->quota.accel = INT32_MAX;
	HASH_ADD_KEYPTR(hh, sh->teams, team->name, strlen(team->name), team);
	return team;
}

struct sh_job *
sh_find_job(struct sh_shard *sh, const char *id)
{
	struct sh_job *job;

	HASH_FIND_STR(sh->jobs, id, job);
	return job;
}

struct sh_job *
sh_job_create(
    struct sh_shard *sh, const struct st_job_spec *spec, int64_t now_us)
{
	struct sh_job *job;
	uint32_t i;

	job = talloc_zero(sh, struct sh_job);
	if (job == NULL)
		abort();
	job->spec = rc_dup_spec(job, spec);
	job->task = talloc_zero_array(job, struct sh_task, spec->count);
	if (job->spec == NULL || job->task == NULL)
		abort();
	for (i = 0; i < spec->count; i++) {
		job->task[i].job = job;
		job->task[i].index = i;
		job->task[i].worker = PL_NONE;
	}
	if (spec->kind == ST_SERVICE)
		job->tasks_per_rack =
		    talloc_zero_array(job, uint16_t, sh->table->rack_count + 1);
	job->waiting = spec->count;
	job->unfinished = spec->count;
	job->accepted_us = now_us;
	job->team = sh_team_get(sh, spec->team);
	HASH_ADD_KEYPTR(hh, sh->jobs, job->spec->id, strlen(spec->id), job);
	return job;
}

void
sh_queue_update(struct sh_job *job)
{
	bool want = job->waiting > 0 && !job->cancelled;
	struct sh_team *team = job->team;
	enum st_class c = job->spec->job_class;

	if (want == job->queued)
		return;
	job->queued = want;
	if (!want) {
		if (team->cursor[c] == job)
			team->cursor[c] = job->next;
		DL_DELETE(team->queue[c], job);
		return;
	}
	/* Lets a pass that is under way see the job, too. */
	if (team->cursor[c] == NULL)
		team->cursor[c] = job;
	/* The queue is sorted by age, also when a job returns to it. */
	if (team->queue[c] == NULL ||
	    team->queue[c]->prev->accepted_us <= job->accepted_us) {
		DL_APPEND(team->queue[c], job);
	} else {
		struct sh_job *at;

		DL_FOREACH(team->queue[c], at) {
			if (at->accepted_us > job->accepted_us)
				break;
		}
		DL_PREPEND_ELEM(team->queue[c], at, job);
	}
}
