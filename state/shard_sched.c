#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/shard_internal.h"

#define SH_PASS_STARTS 512U
#define SH_PASS_TRIES 64U
#define SH_PASS_INTERVAL_US (250 * CLK_US_PER_MS)
#define SH_MISS_SHAPES 16U

/** struct miss_set - shapes that found no worker in this pass */
struct miss_set {
	struct st_res need[SH_MISS_SHAPES];
	const char *lacking[SH_MISS_SHAPES];
	uint32_t count;
};

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
	/* The present pass sees it too. */
	if (team->cursor[c] == NULL)
		team->cursor[c] = job;
	/* A requeued job goes back to its place by age. */
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

static double
sh_share_of(int64_t used, int64_t total)
{
	return total > 0 ? (double)used / (double)total : 0.0;
}

/* Share of the resource of which the team has most. */
static double
sh_dominant_share(const struct sh_shard *sh, const struct sh_team *team)
{
	double cpu = sh_share_of(team->used.cpu_mcpu, sh->capacity.cpu_mcpu);
	double mem = sh_share_of(team->used.mem_bytes, sh->capacity.mem_bytes);
	double acc = sh_share_of(team->used.accel, sh->capacity.accel);
	double most = cpu > mem ? cpu : mem;

	return most > acc ? most : acc;
}

static int64_t
sh_rank(const struct sh_shard *sh, const struct sh_job *job, int64_t now_us)
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
	int64_t best_rank = INT64_MAX;
	double best_share = 0.0;
	struct sh_team *team;
	unsigned int c;

	for (team = sh->teams; team != NULL; team = team->hh.next) {
		double share = sh_dominant_share(sh, team);

		for (c = 0; c < ST_CLASS_COUNT; c++) {
			struct sh_job *job = team->cursor[c];
			int64_t rank;

			if (job == NULL)
				continue;
			rank = sh_rank(sh, job, now_us);
			if (rank > best_rank ||
			    (rank == best_rank && share > best_share))
				continue;
			if (rank == best_rank && share == best_share &&
			    best != NULL &&
			    job->accepted_us >= best->accepted_us)
				continue;
			best = job;
			best_rank = rank;
			best_share = share;
		}
	}
	return best;
}

/* What a shape lacks that was tried before, or NULL. */
static const char *
sh_missed_before(const struct miss_set *miss, const struct st_res *need)
{
	uint32_t i;

	for (i = 0; i < miss->count; i++) {
		if (st_res_fits(&miss->need[i], need))
			return miss->lacking[i];
	}
	return NULL;
}

static void
sh_miss_add(
    struct miss_set *miss, const struct st_res *need, const char *lacking)
{
	if (miss->count == SH_MISS_SHAPES)
		return;
	miss->lacking[miss->count] = lacking;
	miss->need[miss->count++] = *need;
}

static const char *
sh_quota_short(const struct sh_team *team, const struct st_res *need)
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

/* Whether policy, quota and the store let the job start; else says why. */
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
	job->lacking_resource = sh_quota_short(job->team, &total);
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

	/* Only what can be displaced may run on room reserved for a gang. */
	if (!job->spec->idempotent || run_us > INT64_MAX - now_us)
		return INT64_MAX;
	return now_us + run_us;
}

static const char *
sh_scarcest(const struct sh_shard *sh, const struct st_res *need)
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
sh_start_one(struct sh_shard *sh, struct sh_job *job, struct miss_set *miss,
    int64_t now_us)
{
	struct pl_request req = {.need = sh_task_need(sh, job)};
	struct sh_task *task;
	uint32_t w;

	job->reason = SH_WAIT_CAPACITY;
	job->lacking_resource = sh_missed_before(miss, &req.need);
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
	job->lacking_resource = sh_scarcest(sh, &req.need);
	/* A shorter task might still fit on reserved room. */
	if (sh->reservation.job == NULL)
		sh_miss_add(miss, &req.need, job->lacking_resource);
	if (job->spec->job_class == ST_URGENT)
		sh_preempt(sh, job, now_us);
	return false;
}

/* A pass that was cut short goes on where it stopped, but for urgent work. */
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
 * Room that heavy work has given up is for the urgent work that needed it;
 * heavy work would only be displaced again.
 */
static bool
sh_yields(const struct sh_job *job, bool urgent_waits)
{
	return urgent_waits && job->spec->job_class == ST_HEAVY &&
	    job->spec->kind != ST_SERVICE;
}

void
sh_schedule(struct sh_shard *sh, int64_t now_us)
{
	struct miss_set miss = {.count = 0};
	uint32_t starts = 0;
	uint32_t tries = 0;
	bool urgent_waits = false;
	struct sh_job *job;
	bool ok;

	sh_pass_begin(sh);
	sh->pass_needed = false;
	while (starts < SH_PASS_STARTS && tries < SH_PASS_TRIES &&
	    (job = sh_next_job(sh, now_us)) != NULL) {
		struct st_res need = sh_task_need(sh, job);

		ok = !sh_yields(job, urgent_waits) &&
		    sh_may_start(sh, job, &need);
		if (ok && job->spec->kind == ST_GANG)
			ok = sh_gang_start(sh, job, now_us);
		else if (ok)
			ok = sh_start_one(sh, job, &miss, now_us);
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
	sh->pass_cut_short = starts == SH_PASS_STARTS || tries == SH_PASS_TRIES;
	if (sh->pass_cut_short)
		sh->pass_needed = true;
	sh->next_pass_us = now_us + SH_PASS_INTERVAL_US;
}
