#ifndef STATE_TYPES_H
#define STATE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * enum st_outcome - outcome of a request, as reported to its caller
 * @ST_DONE: ran; the whole result is attached
 * @ST_NOT_RUN: certainly did not run
 * @ST_UNKNOWN: may have run
 * @ST_PENDING: accepted, but has not ended yet
 */
enum st_outcome {
	ST_DONE,
	ST_NOT_RUN,
	ST_UNKNOWN,
	ST_PENDING,
};

/** enum st_class - urgency of a job or request, most urgent first */
enum st_class {
	ST_URGENT,
	ST_NORMAL,
	ST_HEAVY,
	ST_CLASS_COUNT,
};

/**
 * enum st_kind - how the tasks of a job run
 * @ST_SERVICE: until they are cancelled
 * @ST_BATCH: each to its end, independent of the others
 * @ST_GANG: to their end, and all started together
 */
enum st_kind {
	ST_SERVICE,
	ST_BATCH,
	ST_GANG,
	ST_KIND_COUNT,
};

/** enum st_result - how a task or a claimed request ended; NONE before */
enum st_result {
	ST_RESULT_NONE,
	ST_RESULT_DONE,
	ST_RESULT_FAILED,
	ST_RESULT_CANCELLED,
	ST_RESULT_UNKNOWN,
};

/**
 * struct st_res - an amount of each resource
 * @cpu_mcpu: thousandths of a core
 * @mem_bytes: memory
 * @accel: whole accelerators
 */
struct st_res {
	int64_t cpu_mcpu;
	int64_t mem_bytes;
	int32_t accel;
};

/**
 * struct st_job_spec - description of a job
 * @id: "SHARD.HASH"; derived from team and key
 * @key: idempotency key of the submission
 * @team: team whose quota it counts against
 * @name: groups jobs alike, to learn their run time and resource use
 * @kind: service, batch or gang
 * @job_class: urgency
 * @count: number of tasks
 * @per_task: resources of one task
 * @run_us: declared run time; 0 for services
 * @idempotent: a task may run again when its outcome is lost
 */
struct st_job_spec {
	char *id;
	char *key;
	char *team;
	char *name;
	enum st_kind kind;
	enum st_class job_class;
	uint32_t count;
	struct st_res per_task;
	int64_t run_us;
	bool idempotent;
};

/** st_outcome_name() - "done", "not_run", "unknown" or "pending" */
const char *st_outcome_name(enum st_outcome o);
/** st_class_name() - "urgent", "normal" or "heavy" */
const char *st_class_name(enum st_class c);
/** st_kind_name() - "service", "batch" or "gang" */
const char *st_kind_name(enum st_kind k);
/** st_result_name() - "none", "done", "failed", "cancelled", "unknown" */
const char *st_result_name(enum st_result r);

/**
 * st_class_parse() - parse a class name
 * @name: name; NULL means "normal"
 * @c: result
 *
 * Return: false when the name is unknown.
 */
bool st_class_parse(const char *name, enum st_class *c);

/**
 * st_kind_parse() - parse the name of a job kind
 * @name: name
 * @k: result
 *
 * Return: false when the name is unknown.
 */
bool st_kind_parse(const char *name, enum st_kind *k);

/** st_res_fits() - whether @need is within @available in each resource */
bool st_res_fits(const struct st_res *need, const struct st_res *available);
/** st_res_equal() - whether all amounts are the same */
bool st_res_equal(const struct st_res *a, const struct st_res *b);
/** st_res_add() - add @b to @a */
void st_res_add(struct st_res *a, const struct st_res *b);
/** st_res_max() - raise @a to at least @b in each resource */
void st_res_max(struct st_res *a, const struct st_res *b);
/** st_res_sub() - subtract @b from @a */
void st_res_sub(struct st_res *a, const struct st_res *b);

/**
 * st_res_count() - how many times @need fits into @available
 * @available: amounts available
 * @need: amounts needed; an all-zero need fits UINT32_MAX times
 */
uint64_t st_res_count(
    const struct st_res *available, const struct st_res *need);

/**
 * st_res_lacking() - name the first resource of which there is too little
 * @need: amounts needed
 * @available: amounts available
 *
 * Return: "cpu", "memory", "accelerators" or NULL when all fit.
 */
const char *st_res_lacking(
    const struct st_res *need, const struct st_res *available);

#endif
