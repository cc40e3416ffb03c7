#ifndef STATE_SHARD_INTERNAL_H
#define STATE_SHARD_INTERNAL_H

#include "state/shard.h"

/**
 * DOC: Shared by the files that implement a shard. Each uses only those named
 * before it: shard_log (records to be logged), shard_job (jobs, teams and their
 * queues), shard_claim (idempotency keys), shard_task (life cycle of a task,
 * learned use), shard_gang (gangs, preemption), shard_sched (scheduling passes),
 * shard_worker (leases, lost workers, quarantine), shard_outcome (runs that have
 * ended), shard_sync (messages to workers), shard_reply (their replies), shard
 * (the others together), shard_replay (log and snapshot), shard_check
 * (invariants, reasons for waiting).
 */

/**
 * sh_append_record() - add a record to the list to be logged
 *
 * Takes ownership of @r. Return: the record's number.
 */
uint64_t sh_append_record(struct sh_shard *sh, struct rc_record *r);
/**
 * sh_task_record() - describe the present state of a task
 * @ctx: parent of the record
 * @sh: shard
 * @kind: kind of the record
 * @task: task
 *
 * Return: a record without an epoch, and without a worker unless the task is on
 * one.
 */
struct rc_record *sh_task_record(TALLOC_CTX *ctx, const struct sh_shard *sh,
    enum rc_kind kind, const struct sh_task *task);
/** sh_append_task_record() - log a change of a task; returns the number */
uint64_t sh_append_task_record(
    struct sh_shard *sh, enum rc_kind kind, const struct sh_task *task);

/** sh_job_create() - add a job with all tasks in SH_WAITING */
struct sh_job *sh_job_create(
    struct sh_shard *sh, const struct st_job_spec *spec, int64_t now_us);
/** sh_team_get() - find a team; creates it, without a quota, on first use */
struct sh_team *sh_team_get(struct sh_shard *sh, const char *name);

/** sh_queue_update() - add a job to its team's queue or remove it, as needed */
void sh_queue_update(struct sh_job *job);
/** sh_schedule() - run one scheduling pass */
void sh_schedule(struct sh_shard *sh, int64_t now_us);
/** sh_reservation_drop() - drop the reservation for a gang */
void sh_reservation_drop(struct sh_shard *sh);
/** sh_gang_start() - start all tasks of a gang, or reserve capacity for it */
bool sh_gang_start(struct sh_shard *sh, struct sh_job *job, int64_t now_us);
/** sh_gang_tick() - expire a reservation, or preempt backfill once it starts */
void sh_gang_tick(struct sh_shard *sh, int64_t now_us);
/** sh_preempt() - preempt heavy tasks so that an urgent job can start */
void sh_preempt(struct sh_shard *sh, struct sh_job *job, int64_t now_us);

/** sh_task_set_state() - change a task's state and update the job's counts */
void sh_task_set_state(struct sh_task *task, enum sh_task_state state);
/** sh_task_assign() - assign a waiting task to a worker; false if too large */
bool sh_task_assign(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us);
/** sh_task_adopt() - assign a task to the worker that already runs it */
bool sh_task_adopt(
    struct sh_shard *sh, struct sh_task *task, uint32_t w, int64_t now_us);
/** sh_task_unassign() - release the resources reserved for a task */
void sh_task_unassign(struct sh_shard *sh, struct sh_task *task);
/** sh_task_requeue() - return a task that doesn't run to SH_WAITING */
void sh_task_requeue(struct sh_shard *sh, struct sh_task *task);
/** sh_task_end() - end a task and log it */
void sh_task_end(struct sh_shard *sh, struct sh_task *task,
    enum st_result result, int64_t now_us);
/** sh_task_need() - resources to reserve for a task, as corrected by use */
struct st_res sh_task_need(const struct sh_shard *sh, const struct sh_job *job);
/** sh_task_run_us() - expected run time; INT64_MAX when unknown */
int64_t sh_task_run_us(const struct sh_shard *sh, const struct sh_job *job);
/** sh_learn_run() - update a job's profile with the run time of a task */
void sh_learn_run(
    struct sh_shard *sh, const struct sh_task *task, int64_t run_us);
/** sh_learn_usage() - update a profile with a task's use; may reserve more */
void sh_learn_usage(
    struct sh_shard *sh, struct sh_task *task, const struct st_res *used);

/** sh_find_task() - task that a worker names; NULL when there is none */
struct sh_task *sh_find_task(struct sh_shard *sh, const struct sh_ref *ref);
/** sh_task_matches() - whether a task's latest start is the one named by @ref */
bool sh_task_matches(
    const struct sh_task *task, const struct sh_ref *ref, uint32_t w);
/** sh_orphan_add() - have a worker stop a run that is unknown or unwanted */
void sh_orphan_add(struct sh_shard *sh, uint32_t w, const struct sh_ref *ref);
/** sh_handle_ended() - apply the outcome of a run, and acknowledge it later */
void sh_handle_ended(struct sh_shard *sh, uint32_t w,
    const struct sh_ended *ended, int64_t now_us);
/** sh_remove_acked() - forget acknowledgements that the worker has received */
void sh_remove_acked(struct sh_shard *sh, struct sh_worker *wk,
    const struct sh_sync_reply *reply);

/** sh_drain() - move the tasks of a leaving worker elsewhere */
void sh_drain(struct sh_shard *sh, uint32_t w);
/** sh_task_lost() - a task has certainly stopped, and its outcome is unknown */
void sh_task_lost(struct sh_shard *sh, struct sh_task *task, int64_t now_us);
/** sh_lease_with_margin_us() - time after which an unrenewed lease is over */
int64_t sh_lease_with_margin_us(const struct sh_shard *sh);
/** sh_workers_tick() - detect lost workers and reconcile earlier tasks */
void sh_workers_tick(struct sh_shard *sh, int64_t now_us);
/** sh_worker_record_result() - count a result towards quarantine */
void sh_worker_record_result(struct sh_shard *sh, struct sh_task *task,
    enum st_result result, int64_t now_us);
/** sh_worker_update_usable() - recompute whether a worker may get tasks */
void sh_worker_update_usable(struct sh_shard *sh, uint32_t w, int64_t now_us);

#endif
