#include <string.h>
#include <utlist.h>

#include "state/shard_internal.h"

#define SH_CANCEL_BUDGET 512U
#define SH_MAX_TASKS_PER_JOB 20000U

struct sh_shard *
sh_create(TALLOC_CTX *ctx, const char *id, const struct sh_settings *settings,
    const struct po_policy *policy, uint64_t seed)
{
	struct sh_shard *sh;

	sh = talloc_zero(ctx, struct sh_shard);
	if (sh == NULL)
		return NULL;
	sh->id = talloc_strdup(sh, id);
	sh->settings = *settings;
	sh->policy = policy;
	sh->rng.state = seed;
	sh->store_ok = true;
	sh->claims = cl_create(sh, settings->max_claim_bytes);
	sh->table = pl_create(sh, 0);
	if (sh->id == NULL || sh->claims == NULL || sh->table == NULL) {
		talloc_free(sh);
		return NULL;
	}
	return sh;
}

static uint32_t
sh_rack_index(struct sh_shard *sh, const char *rack)
{
	uint32_t i;
	uint32_t n = (uint32_t)talloc_array_length(sh->rack_name);

	for (i = 0; i < n; i++) {
		if (strcmp(sh->rack_name[i], rack) == 0)
			return i;
	}
	sh->rack_name = talloc_realloc(sh, sh->rack_name, char *, n + 1);
	sh->rack_name[n] = talloc_strdup(sh->rack_name, rack);
	return n;
}

/* FNV-1a. The shard's hash is a sum of these, so the order of ids is free. */
static uint64_t
sh_hash_id(const char *id)
{
	uint64_t h = UINT64_C(0xcbf29ce484222325);

	for (; *id != '\0'; id++)
		h = (h ^ (unsigned char)*id) * UINT64_C(0x100000001b3);
	return h;
}

int
sh_set_workers(
    struct sh_shard *sh, const struct sh_worker_spec *spec, uint32_t count)
{
	uint32_t w;

	sh->table = pl_create(sh, count);
	sh->worker = talloc_zero_array(sh, struct sh_worker, count);
	if (sh->table == NULL || (sh->worker == NULL && count > 0))
		return -1;
	sh->worker_count = count;
	for (w = 0; w < count; w++) {
		sh->worker[w].id = talloc_strdup(sh->worker, spec[w].id);
		sh->worker[w].address =
		    talloc_strdup(sh->worker, spec[w].address);
		pl_set_worker(sh->table, w, &spec[w].capacity,
		    sh_rack_index(sh, spec[w].rack));
		sh->table->worker[w].usable = false;
		sh->workers_hash += sh_hash_id(spec[w].id);
		st_res_add(&sh->capacity, &spec[w].capacity);
	}
	return 0;
}

void
sh_set_quota(struct sh_shard *sh, const char *team, const struct st_res *quota)
{
	sh_team_get(sh, team)->quota = *quota;
	sh->pass_needed = true;
}

void
sh_set_policy(struct sh_shard *sh, const struct po_policy *policy)
{
	sh->policy = policy;
	sh->pass_needed = true;
}

void
sh_set_store_ok(struct sh_shard *sh, bool ok)
{
	if (ok && !sh->store_ok)
		sh->pass_needed = true;
	sh->store_ok = ok;
}

const char *
sh_check_fit(const struct sh_shard *sh, const struct st_job_spec *spec)
{
	struct st_res largest = {0};
	struct st_res total;
	uint64_t max_tasks;
	uint32_t w;

	max_tasks = pl_max_tasks(sh->table, &spec->per_task);
	if (max_tasks >= (spec->kind == ST_GANG ? spec->count : 1))
		return NULL;
	for (w = 0; w < sh->table->count; w++)
		st_res_max(&largest, &sh->table->worker[w].capacity);
	if (max_tasks == 0 && st_res_lacking(&spec->per_task, &largest) != NULL)
		return st_res_lacking(&spec->per_task, &largest);
	total.cpu_mcpu = spec->per_task.cpu_mcpu * spec->count;
	total.mem_bytes = spec->per_task.mem_bytes * spec->count;
	total.accel = spec->per_task.accel * (int32_t)spec->count;
	if (st_res_lacking(&total, &sh->capacity) != NULL)
		return st_res_lacking(&total, &sh->capacity);
	/* Each total suffices, but not as split over the workers. */
	return spec->per_task.accel > 0 ? "accelerators" : "memory";
}

static bool
sh_same_spec(const struct st_job_spec *a, const struct st_job_spec *b)
{
	return a->kind == b->kind && a->job_class == b->job_class &&
	    a->count == b->count && st_res_equal(&a->per_task, &b->per_task) &&
	    a->run_us == b->run_us && a->idempotent == b->idempotent &&
	    strcmp(a->name, b->name) == 0 && strcmp(a->team, b->team) == 0;
}

enum sh_submit_result
sh_submit(struct sh_shard *sh, const struct st_job_spec *spec, int64_t now_us,
    struct sh_job **job, const char **why)
{
	struct rc_record *r;

	*why = NULL;
	*job = sh_find_job(sh, spec->id);
	if (*job != NULL) {
		if (sh_same_spec((*job)->spec, spec))
			return SH_DUPLICATE;
		*why = "the key was used for other work";
		return SH_KEY_REUSED;
	}
	*why = sh_check_fit(sh, spec);
	if (*why != NULL)
		return SH_IMPOSSIBLE;
	if (spec->count > SH_MAX_TASKS_PER_JOB) {
		*why = "count";
		return SH_IMPOSSIBLE;
	}
	if (!sh->store_ok) {
		*why = "the store takes no writes";
		return SH_STORE_UNAVAILABLE;
	}
	*job = sh_job_create(sh, spec, now_us);
	r = talloc_zero(sh, struct rc_record);
	r->kind = RC_JOB_ACCEPTED;
	r->spec = rc_dup_spec(r, spec);
	(*job)->accept_record = sh_append_record(sh, r);
	sh_queue_update(*job);
	sh->pass_needed = true;
	return SH_ACCEPTED;
}

bool
sh_job_ended(const struct sh_shard *sh, const struct sh_job *job)
{
	return job->unfinished == 0 && job->end_record <= sh->committed;
}

static uint32_t
sh_permille(int64_t used, int64_t total)
{
	return total > 0 ? (uint32_t)(used * 1000 / total) : 0;
}

uint32_t
sh_load(const struct sh_shard *sh)
{
	struct st_res used = {0};
	const struct sh_team *team;
	const struct sh_job *job;
	uint32_t cpu;
	uint32_t mem;
	uint32_t waiting = 0;
	int c;

	for (team = sh->teams; team != NULL; team = team->hh.next) {
		st_res_add(&used, &team->used);
		for (c = 0; c < ST_CLASS_COUNT; c++) {
			DL_FOREACH(team->queue[c], job)
				waiting += job->waiting;
		}
	}
	cpu = sh_permille(used.cpu_mcpu, sh->capacity.cpu_mcpu);
	mem = sh_permille(used.mem_bytes / 1000, sh->capacity.mem_bytes / 1000);
	return (cpu > mem ? cpu : mem) + waiting;
}

static void
sh_cancel_enqueue(struct sh_shard *sh, struct sh_job *job)
{
	if (job->cancel_queued)
		return;
	job->cancel_queued = true;
	job->cancel_next = NULL;
	if (sh->cancel_tail != NULL)
		sh->cancel_tail->cancel_next = job;
	else
		sh->cancel_head = job;
	sh->cancel_tail = job;
}

void
sh_cancel(struct sh_shard *sh, struct sh_job *job)
{
	struct rc_record *r;

	if (job->cancelled || job->unfinished == 0)
		return;
	job->cancelled = true;
	r = talloc_zero(sh, struct rc_record);
	r->kind = RC_JOB_CANCELLED;
	r->job = talloc_strdup(r, job->spec->id);
	job->end_record = sh_append_record(sh, r);
	if (sh->reservation.job == job)
		sh_reservation_drop(sh);
	sh_queue_update(job);
	sh_cancel_enqueue(sh, job);
}

static void
sh_cancel_task(struct sh_shard *sh, struct sh_task *task, int64_t now_us)
{
	switch (task->state) {
	case SH_WAITING:
		/* The job's cancellation record covers it. */
		sh_task_set_state(task, SH_ENDED);
		task->result = ST_RESULT_CANCELLED;
		task->job->results[ST_RESULT_CANCELLED]++;
		if (task->job->unfinished == 0)
			task->job->ended_us = now_us;
		break;
	case SH_LOGGING:
		sh_task_unassign(sh, task);
		sh_task_end(sh, task, ST_RESULT_CANCELLED, now_us);
		break;
	case SH_STARTING:
	case SH_RUNNING:
		task->stop = true;
		task->requeue = false;
		sh->worker[task->worker].send_needed = true;
		break;
	case SH_UNRECONCILED:
	case SH_ENDED:
		break;
	}
}

static void
sh_cancel_tick(struct sh_shard *sh, int64_t now_us)
{
	uint32_t budget = SH_CANCEL_BUDGET;
	struct sh_job *job;

	while ((job = sh->cancel_head) != NULL && budget > 0) {
		while (sh->cancel_scan < job->spec->count && budget > 0) {
			sh_cancel_task(
			    sh, &job->task[sh->cancel_scan++], now_us);
			budget--;
		}
		if (sh->cancel_scan < job->spec->count)
			return;
		sh->cancel_scan = 0;
		sh->cancel_head = job->cancel_next;
		if (sh->cancel_head == NULL)
			sh->cancel_tail = NULL;
		job->cancel_queued = false;
		sh->pass_needed = true;
	}
}

void
sh_tick(struct sh_shard *sh, int64_t now_us)
{
	if (!sh->active)
		return;
	sh->now_us = now_us;
	sh_workers_tick(sh, now_us);
	sh_cancel_tick(sh, now_us);
	sh_gang_tick(sh, now_us);
	if (sh->pass_needed || now_us >= sh->next_pass_us)
		sh_schedule(sh, now_us);
}
