#ifndef STATE_SHARD_H
#define STATE_SHARD_H

#include "state/shard_messages.h"
#include "state/shard_types.h"

/**
 * DOC: State and scheduling decisions of one shard of workers.
 *
 * Does no I/O and reads no clock: the caller passes in events and the time,
 * then fetches records to log (sh_pending_records()) and messages to send to
 * workers (sh_sync_build()). An action that must wait until a record is durable
 * stores the record's number and is held back until sh_committed() reports it.
 */

#define SH_TEXT_BYTES 160

/**
 * struct sh_worker_spec - a worker as configured
 * @id: VM id
 * @address: "IP:PORT"
 * @rack: rack name
 * @capacity: its total resources
 */
struct sh_worker_spec {
	const char *id;
	const char *address;
	const char *rack;
	struct st_res capacity;
};

/**
 * sh_create() - create an empty shard that is not active
 * @ctx: talloc parent
 * @id: shard id
 * @settings: times and limits
 * @policy: policy in effect; must outlive the shard
 * @seed: seed of its random generator
 *
 * Return: the shard, to be freed with talloc_free(), or NULL without memory.
 */
struct sh_shard *sh_create(TALLOC_CTX *ctx, const char *id,
    const struct sh_settings *settings, const struct po_policy *policy,
    uint64_t seed);

/**
 * sh_set_workers() - configure the workers; must precede sh_apply()
 * @sh: shard
 * @spec: workers
 * @count: number of them
 *
 * Return: 0 or -1 without memory.
 */
int sh_set_workers(
    struct sh_shard *sh, const struct sh_worker_spec *spec, uint32_t count);

/** sh_set_quota() - set this shard's part of a team's quota */
void sh_set_quota(
    struct sh_shard *sh, const char *team, const struct st_res *quota);

/** sh_set_policy() - switch the policy in effect */
void sh_set_policy(struct sh_shard *sh, const struct po_policy *policy);

/** sh_set_leaving() - mark a worker as leaving or not */
void sh_set_leaving(struct sh_shard *sh, uint32_t w, bool leaving);

/** sh_set_store_ok() - whether the store accepts writes at present */
void sh_set_store_ok(struct sh_shard *sh, bool ok);

/**
 * sh_apply() - replay one record; only before sh_activate()
 * @sh: shard
 * @r: record
 */
void sh_apply(struct sh_shard *sh, const struct rc_record *r);

/**
 * sh_seal_record() - make the record with which a new epoch seals the log
 *
 * After it, appends of earlier epochs fail. Aborts without memory.
 */
struct rc_record *sh_seal_record(TALLOC_CTX *ctx, const struct sh_shard *sh);

/**
 * sh_activate() - take over as the shard's owner, after the log is sealed
 * @sh: shard
 * @epoch: new epoch
 * @now_us: time
 */
void sh_activate(struct sh_shard *sh, uint64_t epoch, int64_t now_us);

/**
 * sh_previous_owner_stopped() - note that the earlier owner has stopped
 * @sh: shard
 * @now_us: time from which that owner renews no leases
 */
void sh_previous_owner_stopped(struct sh_shard *sh, int64_t now_us);

/**
 * sh_check_fit() - whether a job could run if the shard were empty
 * @sh: shard
 * @spec: job
 *
 * Return: NULL, or the resource that is lacking.
 */
const char *sh_check_fit(
    const struct sh_shard *sh, const struct st_job_spec *spec);

enum sh_submit_result {
	SH_ACCEPTED,	      /* durable once accept_record is committed */
	SH_DUPLICATE,	      /* same key and description: the job exists */
	SH_KEY_REUSED,	      /* same key, other description */
	SH_IMPOSSIBLE,	      /* would not fit even on idle workers */
	SH_STORE_UNAVAILABLE, /* can't be made durable now */
};

/**
 * sh_submit() - accept a job
 * @sh: shard
 * @spec: job
 * @now_us: time
 * @job: the job, for SH_ACCEPTED and SH_DUPLICATE
 * @why: for the other results, a reason or the lacking resource; static text
 */
enum sh_submit_result sh_submit(struct sh_shard *sh,
    const struct st_job_spec *spec, int64_t now_us, struct sh_job **job,
    const char **why);

/** sh_find_job() - find a job by id; NULL when there is none */
struct sh_job *sh_find_job(struct sh_shard *sh, const char *id);

/**
 * sh_load() - measure how loaded the shard is, to compare shards
 * @sh: shard
 *
 * Return: used share of CPU or memory, whichever is higher, in thousandths,
 * plus the number of waiting tasks.
 */
uint32_t sh_load(const struct sh_shard *sh);

/** sh_job_ended() - whether all tasks have ended and this is durable */
bool sh_job_ended(const struct sh_shard *sh, const struct sh_job *job);

/** sh_cancel() - cancel a job; sh_tick() stops its tasks */
void sh_cancel(struct sh_shard *sh, struct sh_job *job);

/**
 * sh_claim_take() - claim an idempotency key, logging a new claim
 * @sh: shard
 * @key: key
 * @body_hash: hash of the request
 * @unknown_wall_us: by when the claim's holder must report the outcome
 * @expires_wall_us: the claim is forgotten then
 * @now_wall_us: wall clock
 * @claim: the key's claim, or NULL with CL_FULL
 *
 * Return: as cl_take(); CL_FULL also when the store accepts no writes.
 */
enum cl_take_result sh_claim_take(struct sh_shard *sh, const char *key,
    uint64_t body_hash, int64_t unknown_wall_us, int64_t expires_wall_us,
    int64_t now_wall_us, struct cl_claim **claim);

/**
 * sh_claim_end() - report how a claimed request ended
 * @sh: shard
 * @key: key
 * @result: DONE, UNKNOWN, or NONE when it certainly did not run
 * @status: HTTP status
 * @response: HTTP response body; copied
 * @response_bytes: its size
 */
void sh_claim_end(struct sh_shard *sh, const char *key, enum st_result result,
    uint32_t status, const uint8_t *response, size_t response_bytes);

/**
 * sh_tick() - detect lost workers, stop cancelled tasks and schedule
 * @sh: shard
 * @now_us: time
 */
void sh_tick(struct sh_shard *sh, int64_t now_us);

/**
 * sh_pending_records() - first record that is not durable yet, or NULL
 *
 * Walk the list by @next. sh_committed() removes records from its head.
 */
const struct sh_pending_record *sh_pending_records(const struct sh_shard *sh);

/** sh_committed() - note that all records up to @number are durable */
void sh_committed(struct sh_shard *sh, uint64_t number);

/**
 * sh_snapshot() - make a short list of records that rebuilds the shard
 * @sh: shard with no pending records
 * @ctx: talloc parent of the result
 * @count: number of records
 * @now_us: time
 * @keep_ended_us: jobs that ended at least this long ago are removed
 *
 * Return: array of records.
 */
struct rc_record **sh_snapshot(struct sh_shard *sh, TALLOC_CTX *ctx,
    size_t *count, int64_t now_us, int64_t keep_ended_us);

/** sh_sync_due() - whether to send a message to a worker now */
bool sh_sync_due(const struct sh_shard *sh, uint32_t w, int64_t now_us);

/**
 * sh_sync_build() - build the next message to a worker and mark it as sent
 * @sh: shard
 * @w: worker row
 * @now_us: time
 * @out: message; its strings are valid until the shard changes
 */
void sh_sync_build(
    struct sh_shard *sh, uint32_t w, int64_t now_us, struct sh_sync *out);

/**
 * sh_sync_reply() - process a worker's reply
 * @sh: shard
 * @w: worker row
 * @reply: reply
 * @now_us: time
 *
 * Return: false when the worker obeys a higher epoch.
 */
bool sh_sync_reply(struct sh_shard *sh, uint32_t w,
    const struct sh_sync_reply *reply, int64_t now_us);

/**
 * sh_worker_outcomes() - process outcomes reported outside of a reply
 * @sh: shard
 * @w: worker row
 * @ended: outcomes; the worker keeps them until acknowledged
 * @count: number of them
 * @now_us: time
 */
void sh_worker_outcomes(struct sh_shard *sh, uint32_t w,
    const struct sh_ended *ended, size_t count, int64_t now_us);

/** sh_request_sync() - make a message to a worker due, as it has outcomes */
void sh_request_sync(struct sh_shard *sh, uint32_t w);

/** sh_sync_failed() - no reply came; the message may have arrived or not */
void sh_sync_failed(struct sh_shard *sh, uint32_t w, int64_t now_us);

/**
 * sh_explain_wait() - write one sentence on what a job waits for
 * @sh: shard
 * @job: job
 * @buf: SH_TEXT_BYTES long
 */
void sh_explain_wait(
    const struct sh_shard *sh, const struct sh_job *job, char *buf);

/**
 * sh_check_invariants() - verify the shard's invariants
 * @sh: shard
 *
 * Return: NULL, or the invariant that does not hold.
 */
const char *sh_check_invariants(const struct sh_shard *sh);

#endif
