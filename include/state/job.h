#ifndef STATE_JOB_H
#define STATE_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Jobs made of steps, as callers submit them.
 *
 * A job runs its steps once for each occurrence. A step is a number of
 * identical tasks, which may start once all tasks of the steps that it depends
 * on have succeeded.
 */

#define JB_ID_LENGTH 16
#define JB_ID_BYTES (JB_ID_LENGTH + 1)
#define JB_MAX_STEPS 64
#define JB_MAX_TASKS 4096
/* Of all occurrences: the progress of each has to fit into one stored value. */
#define JB_MAX_RECURRING_TASKS 32768
/* The last occurrence is due before: in the year 2109. */
#define JB_MAX_DUE_MS ((int64_t)1 << 42)
#define JB_MAX_PAYLOAD_BYTES 4000
/* Index of a progress entry that covers all tasks of its step. */
#define JB_ALL_TASKS UINT32_MAX

/** enum jb_step_flag - properties of a step */
enum jb_step_flag {
	JB_CHECKPOINTS = 1 << 0,   /* tasks save checkpoints as they run */
	JB_GANG = 1 << 1,	   /* all tasks must run at the same time */
	JB_SAME_RACK = 1 << 2,	   /* tasks run slower when spread over racks */
	JB_SPECULATIVE = 1 << 3,   /* copies of a task may run in parallel */
	JB_LONG_RUNNING = 1 << 4,  /* tasks run until the job is cancelled */
	JB_OPPORTUNISTIC = 1 << 5, /* tasks use cores that others leave idle */
};

/**
 * struct jb_step - a number of identical tasks
 * @count: number of tasks
 * @cpu_mcpu: cores of a task, in thousandths
 * @mem_mb: memory of a task
 * @gpu: accelerators of a task
 * @estimate_ms: estimated run time of a task; 0 when not given
 * @after: steps that this one depends on, @after_count of them
 * @flags: bits of enum jb_step_flag
 * @label: label that a worker must have, or NULL
 * @rack: rack that stores the data, or NULL
 * @max_per_worker: most tasks of an occurrence on one worker; 0 for no limit
 * @image: name of the program; tasks of one image behave alike; may be NULL
 * @target_ms: bound on the tail latency of a task that serves; 0 for none
 * @max_unavailable: most tasks that may be down for planned maintenance at a
 *	time; 0 when not given
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
 * struct jb_policy - configuration of a job's queue
 * @priority: 0 is served first and may preempt others
 * @max_attempts: failed runs of a task after which its job fails
 * @stretch_milli: latency objective, in thousandths of the critical path
 * @target_latency_ms: constant part of the objective, added to that
 * @advice_decide_us: fixed time of an advice request; 0 when the queue needs
 *	no advice
 * @advice_period_us: time added for each worker that the request names
 * @advice_valid_ms: how long a ticket from the advice service is valid
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
 * @pool: pool of workers that runs it
 * @payload: text that is passed on to its tasks
 * @step: steps, @step_count of them
 * @accepted_wall_ms: when it was accepted, by the wall clock of that daemon
 * @policy: configuration of its queue
 * @repeat_count: occurrences; 0 for a job that runs once, immediately
 * @first_due_ms: wall clock of the first occurrence
 * @interval_ms: time between occurrences
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

/** struct jb_ref - identifies a task */
struct jb_ref {
	char job[JB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/** enum jb_state - state of a job, as reported to callers */
enum jb_state {
	JB_PENDING,
	JB_RUNNING,
	JB_COMPLETED,
	JB_FAILED,
	JB_CANCELLED,
};

/**
 * struct jb_crash - a run that has crashed its worker, or may have done so
 * @run: the run
 * @worker: name of the worker; lives as long as what holds the crash
 * @incarnation_ms: incarnation of the worker
 * @ended: that incarnation has ended; before, the worker may only be silent
 * @weight: evidence against the task, one of the WP_CRASH_* weights; 0 when it is
 *	unknown whether the worker ever started the run
 * @made_us: when it was suspected, or loaded by this owner; not stored
 */
struct jb_crash {
	uint32_t run;
	const char *worker;
	int64_t incarnation_ms;
	bool ended;
	uint32_t weight;
	int64_t made_us;
};

/**
 * struct jb_task_progress - stored state of a task, for the pool's next owner
 * @index: task, or JB_ALL_TASKS when the whole step has succeeded
 * @run: number of the newest run
 * @failed_run: numbers of the newest runs that failed, @failed of them
 * @failed_earlier: runs that failed before these
 * @done: the task has succeeded
 * @checkpoint: where the next run resumes, or NULL
 * @listed: the task's worker lists that checkpoint as well; not stored
 * @crash: runs under which a worker has or may have crashed, @crash_count of
 *	them
 * @crashed_workers: workers that crashed while they ran it, since a run of it
 *	has lived for long
 */
struct jb_task_progress {
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
	const uint32_t *failed_run;
	uint32_t failed;
	uint32_t failed_earlier;
	bool done;
	const char *checkpoint;
	bool listed;
	const struct jb_crash *crash;
	uint32_t crash_count;
	uint32_t crashed_workers;
};

/**
 * struct jb_progress - stored state of a job, for the pool's next owner
 * @state: as reported to callers
 * @started: at least one task has been started
 * @task: entries, @task_count of them; tasks without one have not been started
 */
struct jb_progress {
	enum jb_state state;
	bool started;
	struct jb_task_progress *task;
	uint32_t task_count;
};

/**
 * jb_fit_checkpoints() - leave out checkpoints, so that progress can be stored
 * @progress: progress; loses checkpoints for which there is no room
 * @max_bytes: what the encoded progress may take
 *
 * Those that a worker lists go first: the next owner learns them from it, unless
 * the worker ends before that.
 *
 * Return: how many were left out.
 */
uint32_t jb_fit_checkpoints(struct jb_progress *progress, size_t max_bytes);

/** jb_state_name() - "pending", "running", "completed" and so on */
const char *jb_state_name(enum jb_state state);

/** jb_has_ended() - whether a state is final */
bool jb_has_ended(enum jb_state state);

/**
 * jb_validate() - check a submitted job
 * @spec: job
 * @error: set to the invalid field and the reason
 * @error_bytes: size of @error
 *
 * Return: whether the job is valid.
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

/** jb_occurrences() - how many times the steps run; at least 1 */
uint32_t jb_occurrences(const struct jb_spec *spec);

/** jb_ref_equal() - whether two references identify the same task */
bool jb_ref_equal(const struct jb_ref *a, const struct jb_ref *b);

#endif
