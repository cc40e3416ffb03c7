#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "common/clock.h"
#include "protocol/job_json.h"
#include "protocol/json_fields.h"

#define JJ_MAX_COUNT 20000
#define JJ_MAX_ACCEL 64
#define JJ_MAX_RUN_US (INT64_C(30) * 24 * 3600 * CLK_US_PER_S)
#define JJ_MAX_KEY_BYTES 128

static void
jj_read_key(struct jf_reader *r, struct st_job_spec *spec, const char *header)
{
	const char *key = jf_string(r, "key", false);

	if (key != NULL && header != NULL && strcmp(key, header) != 0)
		jf_fail(r, "key", "differs from the Idempotency-Key header");
	if (key == NULL)
		key = header;
	if (key != NULL && (key[0] == '\0' || strlen(key) > JJ_MAX_KEY_BYTES))
		jf_fail(r, "key", "must have 1 to 128 characters");
	spec->key = key != NULL ? talloc_strdup(spec, key) : NULL;
}

struct st_job_spec *
jj_parse_job(TALLOC_CTX *ctx, const char *body, size_t body_bytes,
    const char *key, char *error)
{
	struct st_job_spec *spec;
	struct jf_reader r;
	const char *text;
	json_t *value;

	value = jf_parse(body, body_bytes, error);
	if (value == NULL)
		return NULL;
	spec = talloc_zero(ctx, struct st_job_spec);
	jf_begin(&r, value, error);
	jj_read_key(&r, spec, key);
	spec->team = talloc_strdup(spec, jf_name(&r, "team", true));
	spec->name = talloc_strdup(spec, jf_name(&r, "name", true));
	text = jf_string(&r, "kind", true);
	if (text != NULL && !st_kind_parse(text, &spec->kind))
		jf_fail(&r, "kind", "must be service, batch or gang");
	text = jf_string(&r, "class", false);
	if (!st_class_parse(text, &spec->job_class))
		jf_fail(&r, "class", "must be urgent, normal or heavy");
	spec->count = (uint32_t)jf_integer(&r, "count", 1, 1, JJ_MAX_COUNT);
	spec->per_task.cpu_mcpu = jf_cpu_mcpu(&r, "cpu");
	spec->per_task.mem_bytes = jf_memory_bytes(&r, "memory");
	spec->per_task.accel =
	    (int32_t)jf_integer(&r, "accelerators", 0, 0, JJ_MAX_ACCEL);
	spec->run_us = jf_duration_us(&r, "run",
	    spec->kind == ST_SERVICE ? 0 : -1, CLK_US_PER_MS, JJ_MAX_RUN_US);
	spec->idempotent = jf_bool(&r, "idempotent", spec->kind == ST_SERVICE);
	if (spec->kind == ST_SERVICE && !spec->idempotent)
		jf_fail(&r, "idempotent", "must be true for a service");
	if (!jf_end(&r))
		TALLOC_FREE(spec);
	json_decref(value);
	return spec;
}

char *
jj_job_id(TALLOC_CTX *ctx, const char *shard, const char *team, const char *key)
{
	XXH128_hash_t h;
	char *scoped;
	char *id;

	scoped = talloc_asprintf(ctx, "%s/%s", team, key);
	if (scoped == NULL)
		return NULL;
	h = XXH3_128bits(scoped, strlen(scoped));
	id = talloc_asprintf(
	    ctx, "%s.%016" PRIx64 "%016" PRIx64, shard, h.high64, h.low64);
	talloc_free(scoped);
	return id;
}

static const char *
jj_job_state(const struct sh_shard *sh, const struct sh_job *job)
{
	if (!sh_job_ended(sh, job))
		return job->cancelled ? "cancelling" : "open";
	if (job->results[ST_RESULT_UNKNOWN] > 0)
		return "unknown";
	if (job->results[ST_RESULT_FAILED] > 0)
		return "failed";
	if (job->results[ST_RESULT_CANCELLED] > 0)
		return "cancelled";
	return "done";
}

static const char *
jj_task_state(const struct sh_shard *sh, const struct sh_task *task)
{
	static const char *const names[] = {
	    [SH_WAITING] = "waiting",
	    [SH_UNRECONCILED] = "locating",
	    [SH_LOGGING] = "starting",
	    [SH_STARTING] = "starting",
	    [SH_RUNNING] = "running",
	    [SH_ENDED] = "ended",
	};

	/* A task is shown as ended only once its end is durable. */
	if (task->state == SH_ENDED && task->record_number > sh->committed)
		return "running";
	return names[task->state];
}

static json_t *
jj_resources_to_json(const struct st_res *res)
{
	return json_pack("{s:f, s:I, s:i}", "cpu",
	    (double)res->cpu_mcpu / 1000.0, "memory_bytes",
	    (json_int_t)res->mem_bytes, "accelerators", res->accel);
}

static json_t *
jj_task_to_json(const struct sh_shard *sh, const struct sh_task *task)
{
	json_t *o =
	    json_pack("{s:i, s:s, s:I}", "index", (int)task->index, "state",
		jj_task_state(sh, task), "attempt", (json_int_t)task->attempt);

	if (task->state == SH_ENDED)
		json_object_set_new(
		    o, "result", json_string(st_result_name(task->result)));
	if (task->worker != PL_NONE)
		json_object_set_new(
		    o, "worker", json_string(sh->worker[task->worker].id));
	return o;
}

json_t *
jj_job_to_json(
    const struct sh_shard *sh, const struct sh_job *job, bool with_tasks)
{
	const struct st_job_spec *spec = job->spec;
	uint32_t running = 0;
	json_t *tasks = json_array();
	json_t *o;
	uint32_t i;

	for (i = 0; i < spec->count; i++) {
		running += job->task[i].state == SH_RUNNING;
		if (with_tasks)
			json_array_append_new(
			    tasks, jj_task_to_json(sh, &job->task[i]));
	}
	o = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b}",
	    "job", spec->id, "state", jj_job_state(sh, job), "team", spec->team,
	    "name", spec->name, "kind", st_kind_name(spec->kind), "class",
	    st_class_name(spec->job_class), "count", (int)spec->count,
	    "running", (int)running, "waiting", (int)job->waiting, "ended",
	    sh_job_ended(sh, job));
	json_object_set_new(o, "each", jj_resources_to_json(&spec->per_task));
	json_object_set_new(o, "results",
	    json_pack("{s:i, s:i, s:i, s:i}", "done",
		(int)job->results[ST_RESULT_DONE], "failed",
		(int)job->results[ST_RESULT_FAILED], "cancelled",
		(int)job->results[ST_RESULT_CANCELLED], "unknown",
		(int)job->results[ST_RESULT_UNKNOWN]));
	if (with_tasks)
		json_object_set(o, "tasks", tasks);
	json_decref(tasks);
	return o;
}

static const char *
jj_worker_state(const struct sh_shard *sh, uint32_t w)
{
	const struct sh_worker *wk = &sh->worker[w];

	if (wk->state == SH_W_UNFENCED)
		return "unfenced";
	if (wk->state == SH_W_LOST)
		return "lost";
	if (wk->leaving)
		return "leaving";
	if (sh->now_us < wk->quarantined_until_us)
		return "quarantined";
	return sh->table->worker[w].usable ? "usable" : "paused";
}

json_t *
jj_workers_to_json(const struct sh_shard *sh)
{
	json_t *list = json_array();
	uint32_t w;

	for (w = 0; w < sh->worker_count; w++) {
		const struct pl_worker *row = &sh->table->worker[w];
		const struct sh_task *task;
		int tasks = 0;
		json_t *o;

		DL_COUNT(sh->worker[w].tasks, task, tasks);
		o = json_pack("{s:s, s:s, s:s, s:s, s:i}", "worker",
		    sh->worker[w].id, "shard", sh->id, "rack",
		    sh->rack_name[row->rack], "state", jj_worker_state(sh, w),
		    "tasks", tasks);
		json_object_set_new(
		    o, "capacity", jj_resources_to_json(&row->capacity));
		json_object_set_new(
		    o, "free", jj_resources_to_json(&row->free));
		json_array_append_new(list, o);
	}
	return list;
}

json_t *
jj_placements_to_json(const struct sh_shard *sh)
{
	json_t *list = json_array();
	const struct sh_task *task;
	uint32_t w;

	for (w = 0; w < sh->worker_count; w++) {
		DL_FOREACH(sh->worker[w].tasks, task) {
			json_array_append_new(list,
			    json_pack("{s:s, s:i, s:s, s:s, s:s}", "job",
				task->job->spec->id, "index", (int)task->index,
				"state", jj_task_state(sh, task), "worker",
				sh->worker[w].id, "shard", sh->id));
		}
	}
	return list;
}
