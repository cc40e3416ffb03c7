#include <stdio.h>
#include <string.h>
#include <utlist.h>

#include "common/counters.h"
#include "state/shard_internal.h"

#define SH_EPOCH_SHIFT 32
#define SH_MAX_CORRECTION 4
#define SH_MIN_RUNS 3

void
sh_task_set_state(struct sh_task *task, enum sh_task_state state)
{
	struct sh_job *job = task->job;

	if (task->state == SH_WAITING)
		job->waiting--;
	if (task->state == SH_ENDED) {
		job->unfinished++;
		job->results[task->result]--;
		task->result = ST_RESULT_NONE;
	}
	task->state = state;
	if (state == SH_WAITING) {
		job->waiting++;
		if (task->index < job->scan_from)
			job->scan_from = task->index;
	}
	if (state == SH_ENDED)
		job->unfinished--;
}

uint64_t
sh_append_task_record(
    struct sh_shard *sh, enum rc_kind kind, const struct sh_task *task)
{
	return sh_append_record(sh, sh_task_record(sh, sh, kind, task));
}

static bool
sh_task_reserve(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us)
{
	struct st_res need = sh_task_need(sh, task->job);

	if (!pl_reserve(sh->table, w, &need))
		return false;
	task->worker = w;
	task->reserved = need;
	task->stop = false;
	task->stop_sent = false;
	task->requeue = false;
	task->started_us = now_us;
	st_res_add(&task->job->team->used, &need);
	if (task->job->tasks_per_rack != NULL)
		task->job->tasks_per_rack[sh->table->worker[w].rack]++;
	DL_APPEND(sh->worker[w].tasks, task);
	return true;
}

bool
sh_task_assign(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us)
{
	if (!sh_task_reserve(sh, task, w, now_us))
		return false;
	task->attempt = (sh->epoch << SH_EPOCH_SHIFT) | ++sh->next_attempt;
	task->first_seq = 0;
	task->backfill = sh->table->worker[w].gang_from_us != 0;
	sh_task_set_state(
	    task, task->job->spec->idempotent ? SH_STARTING : SH_LOGGING);
	task->record_number = sh_append_task_record(sh, RC_TASK_STARTING, task);
	task->start_logged = true;
	sh->worker[w].send_needed = true;
	/* It gets no other one in this pass. */
	if (sh->worker[w].probing)
		sh->table->worker[w].usable = false;
	sh->starts++;
	sh_queue_update(task->job);
	return true;
}

bool
sh_task_adopt(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us)
{
	if (!sh_task_reserve(sh, task, w, now_us))
		return false;
	if (task->state == SH_UNRECONCILED)
		sh->unreconciled_count--;
	task->first_seq = UINT64_MAX;
	sh_task_set_state(task, SH_RUNNING);
	sh_queue_update(task->job);
	return true;
}

void
sh_task_unassign(struct sh_shard *sh, struct sh_task *task)
{
	if (task->worker == PL_NONE)
		return;
	pl_release(sh->table, task->worker, &task->reserved);
	st_res_sub(&task->job->team->used, &task->reserved);
	if (task->job->tasks_per_rack != NULL)
		task->job
		    ->tasks_per_rack[sh->table->worker[task->worker].rack]--;
	DL_DELETE(sh->worker[task->worker].tasks, task);
	task->worker = PL_NONE;
	memset(&task->reserved, 0, sizeof(task->reserved));
	sh->pass_needed = true;
}

void
sh_task_requeue(struct sh_shard *sh, struct sh_task *task)
{
	if (task->state == SH_UNRECONCILED)
		sh->unreconciled_count--;
	sh_task_unassign(sh, task);
	sh_task_set_state(task, SH_WAITING);
	task->start_logged = false;
	sh_append_task_record(sh, RC_TASK_REQUEUED, task);
	sh_queue_update(task->job);
	if (task->job->cancelled) {
		sh_task_set_state(task, SH_ENDED);
		task->result = ST_RESULT_CANCELLED;
		task->job->results[ST_RESULT_CANCELLED]++;
		if (task->job->unfinished == 0)
			task->job->ended_us = sh->now_us;
	}
	sh->pass_needed = true;
}

void
sh_task_end(struct sh_shard *sh, struct sh_task *task, enum st_result result,
    int64_t now_us)
{
	struct sh_job *job = task->job;

	ct_add(CT_TASKS_ENDED, 1);
	if (task->state == SH_UNRECONCILED)
		sh->unreconciled_count--;
	sh_task_set_state(task, SH_ENDED);
	task->result = result;
	job->results[result]++;
	task->record_number = sh_append_task_record(sh, RC_TASK_ENDED, task);
	sh_task_unassign(sh, task);
	sh_queue_update(job);
	job->end_record = task->record_number;
	if (job->unfinished == 0)
		job->ended_us = now_us;
}

static struct sh_profile *
sh_profile_find(const struct sh_shard *sh, const struct sh_job *job, char *key,
    size_t key_bytes)
{
	struct sh_profile *p;

	snprintf(key, key_bytes, "%s/%s", job->spec->team, job->spec->name);
	HASH_FIND_STR(sh->profiles, key, p);
	return p;
}

static struct sh_profile *
sh_profile_get(struct sh_shard *sh, const struct sh_job *job)
{
	char key[256];
	struct sh_profile *p = sh_profile_find(sh, job, key, sizeof(key));

	if (p != NULL)
		return p;
	p = talloc_zero(sh, struct sh_profile);
	p->name = talloc_strdup(p, key);
	HASH_ADD_KEYPTR(hh, sh->profiles, p->name, strlen(p->name), p);
	return p;
}

/* The larger value, but at most SH_MAX_CORRECTION times the declared one. */
static int64_t
sh_corrected(int64_t declared, int64_t observed)
{
	if (observed > declared * SH_MAX_CORRECTION)
		observed = declared * SH_MAX_CORRECTION;
	return observed > declared ? observed : declared;
}

/* Whether any worker has the capacity for a task with learned needs. */
static bool
sh_correction_fits(const struct sh_shard *sh, struct sh_profile *p,
    const struct st_res *learned)
{
	if (!st_res_equal(&p->checked_need, learned)) {
		p->checked_need = *learned;
		p->checked_fits = pl_max_tasks(sh->table, learned) > 0;
	}
	return p->checked_fits;
}

struct st_res
sh_task_need(const struct sh_shard *sh, const struct sh_job *job)
{
	struct st_res need = job->spec->per_task;
	struct st_res learned = need;
	struct sh_profile *p;
	char key[256];

	p = sh_profile_find(sh, job, key, sizeof(key));
	if (p == NULL ||
	    (p->peak_cpu_mcpu <= need.cpu_mcpu &&
		p->peak_mem_bytes <= need.mem_bytes))
		return need;
	learned.cpu_mcpu = sh_corrected(need.cpu_mcpu, p->peak_cpu_mcpu);
	learned.mem_bytes = sh_corrected(need.mem_bytes, p->peak_mem_bytes);
	return sh_correction_fits(sh, p, &learned) ? learned : need;
}

int64_t
sh_task_run_us(const struct sh_shard *sh, const struct sh_job *job)
{
	char key[256];
	const struct sh_profile *p;

	if (job->spec->kind == ST_SERVICE || job->spec->run_us <= 0)
		return INT64_MAX;
	p = sh_profile_find(sh, job, key, sizeof(key));
	if (p == NULL || p->runs < SH_MIN_RUNS)
		return job->spec->run_us;
	return p->run_us;
}

void
sh_learn_run(struct sh_shard *sh, const struct sh_task *task, int64_t run_us)
{
	struct sh_profile *p = sh_profile_get(sh, task->job);
	int64_t declared = task->job->spec->run_us;

	if (declared > 0 && run_us > declared * SH_MAX_CORRECTION)
		run_us = declared * SH_MAX_CORRECTION;
	/* Rises by half of the difference, falls by an eighth: overestimates. */
	if (p->runs == 0)
		p->run_us = run_us;
	else if (run_us > p->run_us)
		p->run_us += (run_us - p->run_us) / 2;
	else
		p->run_us -= (p->run_us - run_us) / 8;
	p->runs++;
}

void
sh_learn_usage(
    struct sh_shard *sh, struct sh_task *task, const struct st_res *used)
{
	struct sh_profile *p = sh_profile_get(sh, task->job);
	struct st_res want;
	struct st_res more;

	if (used->mem_bytes > p->peak_mem_bytes)
		p->peak_mem_bytes = used->mem_bytes;
	if (used->cpu_mcpu > p->peak_cpu_mcpu)
		p->peak_cpu_mcpu = used->cpu_mcpu;
	/* Reports lag behind, so they raise a reservation but never lower it. */
	want = task->reserved;
	want.cpu_mcpu = sh_corrected(want.cpu_mcpu, used->cpu_mcpu);
	want.mem_bytes = sh_corrected(want.mem_bytes, used->mem_bytes);
	more = want;
	st_res_sub(&more, &task->reserved);
	if (more.cpu_mcpu == 0 && more.mem_bytes == 0)
		return;
	if (pl_reserve(sh->table, task->worker, &more)) {
		st_res_add(&task->job->team->used, &more);
		task->reserved = want;
	}
}
