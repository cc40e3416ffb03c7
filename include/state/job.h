#ifndef STATE_JOB_H
#define STATE_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Jobs of steps, as callers submit them.
 *
 * A job runs its steps once for each occurrence. A step is a number of equal
 * tasks that may start when all tasks of the steps before it have ended well.
 */

#define JB_ID_LENGTH 16
#define JB_ID_BYTES (JB_ID_LENGTH + 1)
#define JB_MAX_STEPS 64
#define JB_MAX_TASKS 4096
#define JB_MAX_PAYLOAD_BYTES 4000
/* Index of a progress entry that speaks for all tasks of its step. */
#define JB_ALL_TASKS UINT32_MAX

/** enum jb_step_flag - properties of a step */
enum jb_step_flag {
	JB_CHECKPOINTS = 1 << 0,   /* saves its progress as it runs */
	JB_GANG = 1 << 1,	   /* tasks work only together */
	JB_SAME_RACK = 1 << 2,	   /* slow when spread over racks */
	JB_SPECULATIVE = 1 << 3,   /* copies of a task may run in parallel */
	JB_LONG_RUNNING = 1 << 4,  /* runs until the job is cancelled */
	JB_OPPORTUNISTIC = 1 << 5, /* takes cores that others leave unused */
};

/**
 * struct jb_step - a number of equal tasks
 * @count: tasks
 * @cpu_mcpu: cores of a task, in thousandths
 * @mem_mb: memory of a task
 * @gpu: accelerators of a task
 * @estimate_ms: how long a task takes, roughly; 0 when not said
 * @after: steps that must have ended first, @after_count of them
 * @flags: bits of enum jb_step_flag
 * @label: label that a worker must have, or NULL
 * @rack: rack where the data lies, or NULL
 * @max_per_worker: tasks of an occurrence on one worker; 0 for any number
 * @image: names what runs; tasks of one image behave alike; may be NULL
 * @target_ms: bound on the tail latency of a task that serves; 0 for none
 * @max_unavailable: tasks that planned work may stop at a time; 0 when not said
 */
struct jb_step {
	uint32_t count;
	uint32_t cpu_mcpu;
	uint32_t mem_mb;
	uint32_t gpu;
	uint32_t estimate_ms;
	uint32_t *after;
	uint32_t after_count;
	uint32_t flags;
	char *label;
	char *rack;
	uint32_t max_per_worker;
	char *image;
	uint32_t target_ms;
	uint32_t max_unavailable;
};

/**
 * struct jb_policy - what the configuration says of a job's queue
 * @priority: 0 comes first and may displace others
 * @max_attempts: runs of a task that may fail
 * @stretch_milli: latency objective in thousandths of the longest chain
 * @target_latency_ms: added to the stretched chain
 * @advice_decide_us: time of a call for advice, 0 where none is needed
 * @advice_period_us: added for each worker named
 * @advice_valid_ms: life of a ticket
 */
struct jb_policy {
	uint32_t priority;
	uint32_t max_attempts;
	uint32_t stretch_milli;
	uint32_t target_latency_ms;
	uint32_t advice_decide_us;
	uint32_t advice_period_us;
	uint32_t advice_valid_ms;
};

/**
 * struct jb_spec - an accepted job
 * @id: chosen by the caller
 * @queue: queue it was submitted to
 * @pool: workers that run it
 * @payload: passed on to its tasks
 * @step: steps, @step_count of them
 * @accepted_wall_ms: wall clock of the daemon that accepted it
 * @policy: of its queue
 * @repeat_count: occurrences; 0 for a job that runs once, at once
 * @first_due_ms: wall clock of the first occurrence
 * @interval_ms: between occurrences
 */
struct jb_spec {
	char id[JB_ID_BYTES];
	char *queue;
	char *pool;
	char *payload;
	struct jb_step *step;
	uint32_t step_count;
	int64_t accepted_wall_ms;
	struct jb_policy policy;
	uint32_t repeat_count;
	int64_t first_due_ms;
	int64_t interval_ms;
};

/** struct jb_ref - names a task */
struct jb_ref {
	char job[JB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/** enum jb_state - what callers are told of a job */
enum jb_state {
	JB_PENDING,
	JB_RUNNING,
	JB_COMPLETED,
	JB_FAILED,
	JB_CANCELLED,
};

/**
 * struct jb_task_progress - what must outlive the owner of a task
 * @index: task, or JB_ALL_TASKS when the whole step has ended well
 * @run: newest run
 * @failed_run: runs that failed, @failed of them
 * @done: it has ended well
 * @checkpoint: where the next run resumes, or NULL
 */
struct jb_task_progress {
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
	const uint32_t *failed_run;
	uint32_t failed;
	bool done;
	const char *checkpoint;
};

/**
 * struct jb_progress - what must outlive the owner of a job
 * @state: as shown to callers
 * @started: a task has been started at some time
 * @task: entries, @task_count of them; tasks without one are untouched
 */
struct jb_progress {
	enum jb_state state;
	bool started;
	struct jb_task_progress *task;
	uint32_t task_count;
};

/** jb_state_name() - word for a state */
const char *jb_state_name(enum jb_state state);

/** jb_has_ended() - whether a state is final */
bool jb_has_ended(enum jb_state state);

/**
 * jb_validate() - find what is wrong with a submitted job
 * @spec: job
 * @error: field and reason
 * @error_bytes: size of @error
 *
 * Return: whether the job is sound.
 */
bool jb_validate(const struct jb_spec *spec, char *error, size_t error_bytes);

/**
 * jb_critical_path_ms() - longest chain of estimates through the steps
 * @spec: job
 */
int64_t jb_critical_path_ms(const struct jb_spec *spec);

/**
 * jb_critical_path_from_ms() - critical path that begins with a step
 * @spec: job
 * @step: its first step
 */
int64_t jb_critical_path_from_ms(const struct jb_spec *spec, uint32_t step);

/** jb_occurrences() - how often the steps run */
uint32_t jb_occurrences(const struct jb_spec *spec);

/** jb_ref_equal() - whether two references name the same task */
bool jb_ref_equal(const struct jb_ref *a, const struct jb_ref *b);

#endif
