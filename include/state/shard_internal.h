#ifndef STATE_SHARD_INTERNAL_H
#define STATE_SHARD_INTERNAL_H

#include "state/shard.h"

/** sh_append_record() - append a record to be logged; takes ownership */
uint64_t sh_append_record(struct sh_shard *sh, struct rc_record *r);
/** sh_append_task_record() - append a record about a task */
uint64_t sh_append_task_record(
    struct sh_shard *sh, enum rc_kind kind, const struct sh_task *task);

/** sh_job_create() - insert a job whose tasks all wait */
struct sh_job *sh_job_create(
    struct sh_shard *sh, const struct st_job_spec *spec, int64_t now_us);
/** sh_team_get() - a team, made on first use */
struct sh_team *sh_team_get(struct sh_shard *sh, const char *name);

/** sh_queue_update() - queue or unqueue a job after a change */
void sh_queue_update(struct sh_job *job);
/** sh_schedule() - one scheduling pass */
void sh_schedule(struct sh_shard *sh, int64_t now_us);
/** sh_reservation_drop() - give up a gang's reserved room */
void sh_reservation_drop(struct sh_shard *sh);
/** sh_gang_start() - start all tasks of a gang, or reserve room for it */
bool sh_gang_start(struct sh_shard *sh, struct sh_job *job, int64_t now_us);
/** sh_gang_tick() - expire reservations and enforce their start */
void sh_gang_tick(struct sh_shard *sh, int64_t now_us);
/** sh_preempt() - make room for an urgent job by displacing heavy work */
void sh_preempt(struct sh_shard *sh, struct sh_job *job, int64_t now_us);

/** sh_task_set_state() - change state and keep the job's counts */
void sh_task_set_state(struct sh_task *task, enum sh_task_state state);
/** sh_task_assign() - reserve a worker for a waiting task and start it */
bool sh_task_assign(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us);
/** sh_task_adopt() - note that a task already runs on a worker */
bool sh_task_adopt(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us);
/** sh_task_unassign() - give the task's room back */
void sh_task_unassign(struct sh_shard *sh, struct sh_task *task);
/** sh_task_requeue() - let a task that does not run wait again */
void sh_task_requeue(struct sh_shard *sh, struct sh_task *task);
/** sh_task_end() - end a task and log it */
void sh_task_end(struct sh_shard *sh, struct sh_task *task,
    enum st_result result, int64_t now_us);
/** sh_task_need() - resources to reserve, with learned corrections */
struct st_res sh_task_need(const struct sh_shard *sh, const struct sh_job *job);
/** sh_task_run_us() - expected run time, with learned corrections */
int64_t sh_task_run_us(const struct sh_shard *sh, const struct sh_job *job);
/** sh_learn_run() - note how long a task ran */
void sh_learn_run(
    struct sh_shard *sh, const struct sh_task *task, int64_t run_us);
/** sh_learn_usage() - note what a task uses; may raise its reservation */
void sh_learn_usage(
    struct sh_shard *sh, struct sh_task *task, const struct st_res *used);

/** sh_lease_with_margin_us() - from its last possible renewal a lease has lapsed */
int64_t sh_lease_with_margin_us(const struct sh_shard *sh);
/** sh_workers_tick() - detect lost workers and resolve held tasks */
void sh_workers_tick(struct sh_shard *sh, int64_t now_us);
/** sh_worker_note_result() - count failures towards quarantine */
void sh_worker_note_result(struct sh_shard *sh, struct sh_task *task,
    enum st_result result, int64_t now_us);
/** sh_worker_update_usable() - recompute whether a worker gets tasks */
void sh_worker_update_usable(struct sh_shard *sh, uint32_t w, int64_t now_us);

#endif
