#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/shard_internal.h"

#define SH_MAX_PASS_STARTS 512U
#define SH_MAX_PASS_FAILURES 64U
#define SH_PASS_INTERVAL_US (250 * CLK_US_PER_MS)
#define SH_MAX_UNPLACEABLE 16U

/**
 * struct unplaceable_set - needs for which no worker was found in this pass
 * @need: resources of a task
 * @lacking: for each, the resource that is lacking
 */
struct unplaceable_set {
	struct st_res need[SH_MAX_UNPLACEABLE];
	const char *lacking[SH_MAX_UNPLACEABLE];
	uint32_t count;
};

static double
sh_fraction(int64_t used, int64_t total)
{
	return total > 0 ? (double)used / (double)total : 0.0;
}

/* The team's share of the resource of which it uses the largest share. */
static double
sh_dominant_share(const struct sh_shard *sh, const struct sh_team *team)
{
	double cpu = sh_fraction(team->used.cpu_mcpu, sh->capacity.cpu_mcpu);
	double mem = sh_fraction(team->used.mem_bytes, sh->capacity.mem_bytes);
	double acc = sh_fraction(team->used.accel, sh->capacity.accel);
	double most = cpu > mem ? cpu : mem;

	return most > acc ? most : acc;
}

static int64_t
sh_aged_class(
    const struct sh_shard *sh, const struct sh_job *job, int64_t now_us)
{
	enum st_class c = job->spec->job_class;
	int64_t aged;

	aged = (now_us - job->accepted_us) / sh->policy->aging_us[c];
	return (int64_t)c - aged;
}

static struct sh_job *
sh_next_job(struct sh_shard *sh, int64_t now_us)
{
	struct sh_job *best = NULL;
	int64_t best_class = INT64_MAX;
	double best_share = 0.0;
	struct sh_team *team;
	unsigned int c;

	for (team = sh->teams; team != NULL; team = team->hh.next) {
		double share = sh_dominant_share(sh, team);

		for (c = 0; c < ST_CLASS_COUNT; c++) {
			struct sh_job *job = team->cursor[c];
			int64_t aged_class;

			if (job == NULL)
				continue;
			aged_class = sh_aged_class(sh, job, now_us);
			if (aged_class > best_class ||
			    (aged_class == best_class && share > best_share))
				continue;
			if (aged_class == best_class && share == best_share &&
			    best != NULL &&
			    job->accepted_us >= best->accepted_us)
				continue;
			best = job;
			best_class = aged_class;
			best_share = share;
		}
	}
	return best;
}

/* What was lacking for an earlier need that was no larger, or NULL. */
static const char *
sh_known_unplaceable(
    const struct unplaceable_set *unplaceable, const struct st_res *need)
{
	uint32_t i;

	for (i = 0; i < unplaceable->count; i++) {
		if (st_res_fits(&unplaceable->need[i], need))
			return unplaceable->lacking[i];
	}
	return NULL;
}

static void
sh_add_unplaceable(struct unplaceable_set *unplaceable,
    const struct st_res *need, const char *lacking)
{
	if (unplaceable->count == SH_MAX_UNPLACEABLE)
		return;
	unplaceable->lacking[unplaceable->count] = lacking;
	unplaceable->need[unplaceable->count++] = *need;
}

static const char *
sh_quota_lacking(const struct sh_team *team, const struct st_res *need)
{
	struct st_res left = team->quota;

	st_res_sub(&left, &team->used);
	return st_res_lacking(need, &left);
}

static struct sh_task *
sh_next_waiting(struct sh_job *job)
{
	while (job->scan_from < job->spec->count) {
		if (job->task[job->scan_from].state == SH_WAITING)
			return &job->task[job->scan_from];
		job->scan_from++;
	}
	return NULL;
}

/* Whether policy, quota and store allow a start; if not, sets the reason. */
static bool
sh_may_start(struct sh_shard *sh, struct sh_job *job, struct st_res *need)
{
	struct st_res total = *need;

	if (!sh->policy->start_heavy && job->spec->job_class == ST_HEAVY &&
	    job->spec->kind != ST_SERVICE) {
		job->reason = SH_WAIT_PRESET;
		return false;
	}
	if (!sh->store_ok && !job->spec->idempotent) {
		job->reason = SH_WAIT_STORE;
		return false;
	}
	if (job->spec->kind == ST_GANG) {
		total.cpu_mcpu *= job->spec->count;
		total.mem_bytes *= job->spec->count;
		total.accel *= (int32_t)job->spec->count;
	}
	job->lacking_resource = sh_quota_lacking(job->team, &total);
	if (job->lacking_resource != NULL) {
		job->reason = SH_WAIT_QUOTA;
		return false;
	}
	return true;
}

static int64_t
sh_task_ends_us(
    const struct sh_shard *sh, const struct sh_job *job, int64_t now_us)
{
	int64_t run_us = sh_task_run_us(sh, job);

	/* Only preemptible tasks may run on capacity reserved for a gang. */
	if (!job->spec->idempotent || run_us > INT64_MAX - now_us)
		return INT64_MAX;
	return now_us + run_us;
}

static const char *
sh_capacity_lacking(const struct sh_shard *sh, const struct st_res *need)
{
	struct st_res free = {0};
	uint32_t w;

	for (w = 0; w < sh->table->count; w++) {
		const struct pl_worker *row = &sh->table->worker[w];

		if (!row->usable)
			continue;
		if (row->free.accel >= need->accel &&
		    row->free.mem_bytes > free.mem_bytes)
			free = row->free;
	}
	if (st_res_lacking(need, &free) != NULL)
		return st_res_lacking(need, &free);
	return "room";
}

static bool
sh_start_task(struct sh_shard *sh, struct sh_job *job,
    struct unplaceable_set *unplaceable, int64_t now_us)
{
	struct pl_request req = {.need = sh_task_need(sh, job)};
	struct sh_task *task;
	uint32_t w;

	job->reason = SH_WAIT_CAPACITY;
	job->lacking_resource = sh_known_unplaceable(unplaceable, &req.need);
	if (job->lacking_resource != NULL) {
		if (job->spec->job_class == ST_URGENT)
			sh_preempt(sh, job, now_us);
		return false;
	}
	task = sh_next_waiting(job);
	if (task == NULL)
		return false;
	req.ends_us = sh_task_ends_us(sh, job, now_us);
	req.tasks_per_rack = job->tasks_per_rack;
	w = pl_pick_score(sh->table, &req, sh->policy, &sh->rng);
	if (w != PL_NONE && sh_task_assign(sh, task, w, now_us))
		return true;
	job->lacking_resource = sh_capacity_lacking(sh, &req.need);
	/* With a reservation, a shorter task with this need might still fit. */
	if (sh->reservation.job == NULL)
		sh_add_unplaceable(
		    unplaceable, &req.need, job->lacking_resource);
	if (job->spec->job_class == ST_URGENT)
		sh_preempt(sh, job, now_us);
	return false;
}

/* Continues a pass that was cut short; urgent jobs are tried from the start. */
static void
sh_pass_begin(struct sh_shard *sh)
{
	struct sh_team *team;

	for (team = sh->teams; team != NULL; team = team->hh.next) {
		team->cursor[ST_URGENT] = team->queue[ST_URGENT];
		if (!sh->pass_cut_short)
			memcpy(team->cursor, team->queue, sizeof(team->cursor));
	}
}

/*
 * Capacity freed by preempting heavy tasks is for the urgent job that needed
 * it. Another heavy task started there would only be preempted again.
 */
static bool
sh_must_yield(const struct sh_job *job, bool urgent_waits)
{
	return urgent_waits && job->spec->job_class == ST_HEAVY &&
	    job->spec->kind != ST_SERVICE;
}

void
sh_schedule(struct sh_shard *sh, int64_t now_us)
{
	struct unplaceable_set unplaceable = {.count = 0};
	uint32_t starts = 0;
	uint32_t tries = 0;
	bool urgent_waits = false;
	struct sh_job *job;
	bool ok;

	sh_pass_begin(sh);
	sh->pass_needed = false;
	while (starts < SH_MAX_PASS_STARTS && tries < SH_MAX_PASS_FAILURES &&
	    (job = sh_next_job(sh, now_us)) != NULL) {
		struct st_res need = sh_task_need(sh, job);

		ok = !sh_must_yield(job, urgent_waits) &&
		    sh_may_start(sh, job, &need);
		if (ok && job->spec->kind == ST_GANG)
			ok = sh_gang_start(sh, job, now_us);
		else if (ok)
			ok = sh_start_task(sh, job, &unplaceable, now_us);
		if (ok) {
			starts++;
			continue;
		}
		tries++;
		urgent_waits |= job->spec->job_class == ST_URGENT &&
		    job->reason == SH_WAIT_CAPACITY && job->preempting;
		if (job->queued)
			job->team->cursor[job->spec->job_class] = job->next;
	}
	sh->pass_cut_short =
	    starts == SH_MAX_PASS_STARTS || tries == SH_MAX_PASS_FAILURES;
	if (sh->pass_cut_short)
		sh->pass_needed = true;
	sh->next_pass_us = now_us + SH_PASS_INTERVAL_US;
}
