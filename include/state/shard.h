#ifndef STATE_SHARD_H
#define STATE_SHARD_H

#include <talloc.h>
#include <uthash.h>

#include "common/rng.h"
#include "state/claims.h"
#include "state/placement.h"
#include "state/policy.h"
#include "state/record.h"

/**
 * DOC: State and decisions of one shard of workers.
 *
 * Pure: takes events and the time, changes the shard, and leaves actions to
 * be fetched: records to log (sh_pending_records()) and messages to workers
 * (sh_sync_build()). What must not happen before a record is durable names
 * the record's number and waits for sh_committed().
 */

#define SH_TEXT_BYTES 160

/** enum sh_task_state - life of a task */
enum sh_task_state {
	SH_WAITING,	 /* has no worker */
	SH_UNRECONCILED, /* of an earlier epoch; may still run somewhere */
	SH_LOGGING,	 /* reserved; the start must be durable first */
	SH_STARTING,	 /* the worker is being told */
	SH_RUNNING,	 /* the worker has confirmed */
	SH_ENDED,
};

/** enum sh_worker_state - what the owner knows of a worker */
enum sh_worker_state {
	SH_W_UNFENCED, /* may still obey an earlier epoch */
	SH_W_USABLE,   /* fenced, and has listed what it runs */
	SH_W_LOST,     /* its lease has surely lapsed */
};

struct sh_job;
struct sh_shard;

/**
 * struct sh_task - one task of a job
 * @job: its job
 * @index: position in the job
 * @state: life
 * @result: how it ended
 * @attempt: number of its latest start
 * @worker: row of its worker or PL_NONE
 * @reserved: what it takes there
 * @record_number: record that must be durable (start or end)
 * @start_logged: a start is in the log and not taken back
 * @stop: it is to be stopped
 * @requeue: after the stop it waits again
 * @backfill: started on room that a gang has reserved
 * @first_seq: first message with this start; 0 before
 * @stop_sent: a message with the stop has gone out and is not known lost
 * @failures: failed starts so far
 * @started_us: when it was given to its worker
 */
struct sh_task {
	struct sh_job *job;
	uint32_t index;
	enum sh_task_state state;
	enum st_result result;
	uint64_t attempt;
	uint32_t worker;
	struct st_res reserved;
	uint64_t record_number;
	bool start_logged;
	bool stop;
	bool requeue;
	bool backfill;
	uint64_t first_seq;
	bool stop_sent;
	uint8_t failures;
	int64_t started_us;
	char *logged_worker;
	struct sh_task *prev;
	struct sh_task *next;
};

/** enum sh_wait_reason - why the oldest task of a job waits */
enum sh_wait_reason {
	SH_WAIT_TURN,
	SH_WAIT_CAPACITY,
	SH_WAIT_QUOTA,
	SH_WAIT_PRESET,
	SH_WAIT_GANG,
	SH_WAIT_STORE,
	SH_WAIT_RECOVERY,
};

#define SH_MAX_FAILED_WORKERS 3

/**
 * struct sh_job - one accepted job
 * @spec: description
 * @task: its tasks
 * @accepted_us: when it was accepted or recovered
 * @accept_record: record that accepts it
 * @cancelled: no task is started any more
 * @waiting: tasks in SH_WAITING
 * @unfinished: tasks not ended
 * @reason: why the first waiting task waits
 * @preempting: heavy work is being displaced for it
 */
struct sh_job {
	struct st_job_spec *spec;
	struct sh_task *task;
	int64_t accepted_us;
	int64_t ended_us;
	uint64_t accept_record;
	uint64_t end_record;
	bool cancelled;
	bool cancel_queued;
	uint32_t waiting;
	uint32_t unfinished;
	uint32_t scan_from;
	uint32_t results[ST_RESULT_UNKNOWN + 1];
	enum sh_wait_reason reason;
	const char *lacking_resource;
	int64_t next_preempt_us;
	bool preempting;
	int64_t next_reservation_us;
	uint32_t failed_workers[SH_MAX_FAILED_WORKERS];
	uint32_t failed_worker_count;
	uint16_t *tasks_per_rack;
	struct sh_team *team;
	bool queued;
	struct sh_job *prev;
	struct sh_job *next;
	struct sh_job *cancel_next;
	UT_hash_handle hh;
};

/**
 * struct sh_team - a team's share of the shard
 * @name: team
 * @quota: this shard's part of the team's quota
 * @used: reservations of its running tasks
 * @queue: jobs with waiting tasks, oldest first, by class
 * @cursor: next candidate in the current scheduling pass
 */
struct sh_team {
	char *name;
	struct st_res quota;
	struct st_res used;
	struct sh_job *queue[ST_CLASS_COUNT];
	struct sh_job *cursor[ST_CLASS_COUNT];
	UT_hash_handle hh;
};

/** struct sh_ref - names one start of one task */
struct sh_ref {
	const char *job;
	uint32_t index;
	uint64_t attempt;
};

struct sh_start {
	struct sh_ref ref;
	struct st_res need;
	int64_t run_us;
	enum st_kind kind;
	bool idempotent;
};

struct sh_stop {
	struct sh_ref ref;
	bool checkpoint;
};

#define SH_SYNC_MAX 64

/**
 * struct sh_sync - one message to a worker; strings belong to the shard
 * @epoch: owner's epoch; a worker refuses a lower one
 * @seq: grows with each message of an epoch; a worker refuses an older one
 * @lease_generation: the worker's lease that the starts are meant for
 * @lease_until_us: new end of the lease on the worker's clock; 0 grants none
 * @want_inventory: list all that runs
 */
struct sh_sync {
	uint64_t epoch;
	uint64_t seq;
	uint64_t lease_generation;
	int64_t lease_until_us;
	bool want_inventory;
	struct sh_start start[SH_SYNC_MAX];
	uint32_t start_count;
	struct sh_stop stop[SH_SYNC_MAX];
	uint32_t stop_count;
	struct sh_ref ack[SH_SYNC_MAX];
	uint32_t ack_count;
};

struct sh_ended {
	struct sh_ref ref;
	enum st_result result;
};

struct sh_usage {
	struct sh_ref ref;
	struct st_res used;
};

/**
 * struct sh_sync_reply - a worker's answer; arrays belong to the caller
 * @fenced_by: higher epoch that the worker obeys, or 0
 * @newest_outcome: number of the newest outcome
 * @clock_us: the worker's clock when it answered
 * @lease_generation: its current lease
 * @has_inventory: @running lists all that runs
 * @started: starts it has taken
 * @refused: starts that certainly did not and will not run
 * @ended: outcomes that it keeps until acknowledged; CANCELLED for stopped
 */
struct sh_sync_reply {
	uint64_t fenced_by;
	uint64_t newest_outcome;
	int64_t clock_us;
	uint64_t lease_generation;
	bool has_inventory;
	struct sh_ref *running;
	size_t running_count;
	struct sh_ref *started;
	size_t started_count;
	struct sh_ref *refused;
	size_t refused_count;
	struct sh_ended *ended;
	size_t ended_count;
	struct sh_usage *usage;
	size_t usage_count;
};

/** struct sh_orphan - something a worker runs that it should not */
struct sh_orphan {
	char *job;
	uint32_t index;
	uint64_t attempt;
	struct sh_orphan *next;
};

/** struct sh_ack - an outcome to be acknowledged once it is durable */
struct sh_ack {
	char *job;
	uint32_t index;
	uint64_t attempt;
	uint64_t record_number;
	struct sh_ack *next;
};

/**
 * struct sh_worker - what the owner knows of one worker
 * @id: VM id
 * @address: "IP:PORT"
 * @state: fenced or not
 * @leaving: receives nothing new; its tasks move
 * @tasks: tasks reserved here
 * @lease_expires_us: when its lease has surely lapsed; 0 while unknown
 * @sync_at_us: when the next message is due
 * @in_flight: a message is unanswered
 * @send_needed: something new may have to be sent
 * @sync_requested: it has news
 * @orphans: starts that it must stop
 */
struct sh_worker {
	char *id;
	char *address;
	enum sh_worker_state state;
	bool leaving;
	bool in_flight;
	bool send_needed;
	bool sync_requested;
	struct sh_task *tasks;
	struct sh_ack *acks;
	uint32_t ack_count;
	struct sh_orphan *orphans;
	uint64_t seq;
	uint64_t lease_generation;
	int64_t clock_us;
	int64_t clock_at_us;
	int64_t lease_expires_us;
	int64_t sync_at_us;
	int64_t inventory_at_us;
	uint32_t consecutive_failures;
	uint32_t quarantines;
	int64_t quarantined_until_us;
	bool probing;
	bool want_inventory;
	int64_t avoid_until_us;
};

/**
 * struct sh_worker_spec - a worker as configured
 * @id: VM id
 * @address: "IP:PORT"
 * @rack: rack name
 * @capacity: what it holds
 */
struct sh_worker_spec {
	const char *id;
	const char *address;
	const char *rack;
	struct st_res capacity;
};

/**
 * struct sh_settings - fixed times of a shard
 * @lease_us: lease of a worker
 * @renew_us: interval of renewals
 * @drift_us: margin for clock drift and rounding
 * @inventory_us: interval of full inventories
 */
struct sh_settings {
	int64_t lease_us;
	int64_t renew_us;
	int64_t drift_us;
	int64_t inventory_us;
	size_t max_claim_bytes;
};

/**
 * struct sh_profile - learned sizes and run times of a job kind
 * @name: team and job name
 * @runs: runs seen
 * @run_us: smoothed run time
 * @peak_mem_bytes: most memory seen
 * @peak_cpu_mcpu: most cores seen
 * @checked_need: corrected size that was last compared with the workers
 * @checked_fits: whether any worker holds @checked_need
 */
struct sh_profile {
	char *name;
	uint32_t runs;
	int64_t run_us;
	int64_t peak_mem_bytes;
	int64_t peak_cpu_mcpu;
	struct st_res checked_need;
	bool checked_fits;
	UT_hash_handle hh;
};

struct sh_pending_record {
	struct rc_record *record;
	uint64_t number;
	struct sh_pending_record *prev;
	struct sh_pending_record *next;
};

/** struct sh_gang_reservation - capacity reserved for a waiting gang */
struct sh_gang_reservation {
	struct sh_job *job;
	int64_t from_us;
	int64_t deadline_us;
};

struct sh_shard {
	char *id;
	struct sh_settings settings;
	const struct po_policy *policy;
	struct rng rng;
	uint64_t epoch;
	uint64_t next_attempt;
	bool active;
	bool store_ok;
	bool pass_needed;
	bool pass_cut_short;
	int64_t now_us;
	int64_t next_pass_us;
	struct pl_table *table;
	struct sh_worker *worker;
	uint32_t worker_count;
	char **rack_name;
	struct sh_job *jobs;
	struct sh_team *teams;
	struct sh_profile *profiles;
	struct cl_table *claims;
	struct sh_pending_record *pending;
	uint32_t pending_count;
	uint64_t last_number;
	uint64_t committed;
	struct sh_job *cancel_head;
	struct sh_job *cancel_tail;
	uint32_t cancel_scan;
	struct sh_gang_reservation reservation;
	uint32_t unreconciled_count;
	uint64_t workers_hash;
	uint64_t sealed_workers_hash;
	int64_t removed_workers_until_us;
	uint64_t starts;
	struct st_res capacity;
};

/**
 * sh_create() - an empty shard that is not active
 * @ctx: talloc parent
 * @id: shard id
 * @settings: times
 * @policy: policy in force
 * @seed: seed of its generator
 */
struct sh_shard *sh_create(TALLOC_CTX *ctx, const char *id,
    const struct sh_settings *settings, const struct po_policy *policy,
    uint64_t seed);

/**
 * sh_set_workers() - configure the workers, before recovery
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

/** sh_set_policy() - switch the policy in force */
void sh_set_policy(struct sh_shard *sh, const struct po_policy *policy);

/** sh_set_leaving() - mark a worker as leaving or not */
void sh_set_leaving(struct sh_shard *sh, uint32_t w, bool leaving);

/** sh_set_store_ok() - whether the store takes writes at present */
void sh_set_store_ok(struct sh_shard *sh, bool ok);

/**
 * sh_apply() - replay one record; only before sh_activate()
 * @sh: shard
 * @r: record
 */
void sh_apply(struct sh_shard *sh, const struct rc_record *r);

/** sh_seal_record() - the record by which a new epoch seals the log */
struct rc_record *sh_seal_record(TALLOC_CTX *ctx, const struct sh_shard *sh);

/**
 * sh_activate() - become the shard's one active copy after sealing the log
 * @sh: shard
 * @epoch: new epoch
 * @now_us: time
 */
void sh_activate(struct sh_shard *sh, uint64_t epoch, int64_t now_us);

/**
 * sh_previous_owner_stopped() - the earlier owner has certainly stopped
 * @sh: shard
 * @now_us: time from which it renews nothing
 */
void sh_previous_owner_stopped(struct sh_shard *sh, int64_t now_us);

/**
 * sh_check_fit() - whether a job can ever run on an empty shard
 * @sh: shard
 * @spec: job
 *
 * Return: NULL, or the resource that is short.
 */
const char *sh_check_fit(
    const struct sh_shard *sh, const struct st_job_spec *spec);

enum sh_submit_result {
	SH_ACCEPTED,	      /* durable once accept_record is committed */
	SH_DUPLICATE,	      /* same key and work: the job exists */
	SH_KEY_REUSED,	      /* same key, other work */
	SH_IMPOSSIBLE,	      /* fits no worker even when empty */
	SH_STORE_UNAVAILABLE, /* cannot be made durable now */
};

/**
 * sh_submit() - accept a job
 * @sh: shard
 * @spec: job
 * @now_us: time
 * @job: the job, for SH_ACCEPTED and SH_DUPLICATE
 * @why: reason for the others
 */
enum sh_submit_result sh_submit(struct sh_shard *sh,
    const struct st_job_spec *spec, int64_t now_us, struct sh_job **job,
    const char **why);

/** sh_find_job() - a job by id, or NULL */
struct sh_job *sh_find_job(struct sh_shard *sh, const char *id);

/**
 * sh_load() - how loaded the shard is
 * @sh: shard
 *
 * Return: thousandths of the fullest resource, plus waiting tasks.
 */
uint32_t sh_load(const struct sh_shard *sh);

/** sh_job_ended() - whether all tasks have ended, durably */
bool sh_job_ended(const struct sh_shard *sh, const struct sh_job *job);

/** sh_cancel() - cancel a job; its tasks are stopped in the next ticks */
void sh_cancel(struct sh_shard *sh, struct sh_job *job);

/**
 * sh_claim_take() - claim a key, logging a new claim
 * @sh: shard
 * @key: key
 * @body_hash: hash of the request
 * @unknown_wall_us: when its holder must have reported
 * @expires_wall_us: how long it is kept
 * @now_wall_us: wall clock
 * @claim: result
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
 * @answer: answer
 * @answer_bytes: its size
 */
void sh_claim_end(struct sh_shard *sh, const char *key, enum st_result result,
    uint32_t status, const uint8_t *answer, size_t answer_bytes);

/**
 * sh_tick() - schedule, expire and detect lost workers
 * @sh: shard
 * @now_us: time
 */
void sh_tick(struct sh_shard *sh, int64_t now_us);

/**
 * sh_pending_records() - first record not yet handed to the log
 *
 * The list is walked by @next; sh_committed() removes its head.
 */
const struct sh_pending_record *sh_pending_records(const struct sh_shard *sh);

/** sh_committed() - all records up to @number are durable */
void sh_committed(struct sh_shard *sh, uint64_t number);

/**
 * sh_snapshot() - the shortest list of records that rebuilds the shard
 * @sh: shard with no pending records
 * @ctx: talloc parent of the result
 * @count: number of records
 * @now_us: time
 * @keep_ended_us: jobs that ended longer ago are forgotten
 */
struct rc_record **sh_snapshot(struct sh_shard *sh, TALLOC_CTX *ctx,
    size_t *count, int64_t now_us, int64_t keep_ended_us);

/** sh_sync_due() - whether a message should go to a worker now */
bool sh_sync_due(const struct sh_shard *sh, uint32_t w, int64_t now_us);

/**
 * sh_sync_build() - make the message to a worker and count it as sent
 * @sh: shard
 * @w: worker row
 * @now_us: time
 * @out: message; its strings are valid until the shard changes
 */
void sh_sync_build(
    struct sh_shard *sh, uint32_t w, int64_t now_us, struct sh_sync *out);

/**
 * sh_sync_reply() - take a worker's answer
 * @sh: shard
 * @w: worker row
 * @reply: answer
 * @now_us: time
 *
 * Return: false when the worker obeys a higher epoch.
 */
bool sh_sync_reply(struct sh_shard *sh, uint32_t w,
    const struct sh_sync_reply *reply, int64_t now_us);

/**
 * sh_worker_outcomes() - outcomes that a worker has reported unasked
 * @sh: shard
 * @w: worker row
 * @ended: outcomes; the worker keeps them until acknowledged
 * @count: number of them
 * @now_us: time
 */
void sh_worker_outcomes(struct sh_shard *sh, uint32_t w,
    const struct sh_ended *ended, size_t count, int64_t now_us);

/** sh_request_sync() - a worker has news; talk to it soon */
void sh_request_sync(struct sh_shard *sh, uint32_t w);

/** sh_sync_failed() - no answer came; the message may have arrived */
void sh_sync_failed(struct sh_shard *sh, uint32_t w, int64_t now_us);

/**
 * sh_explain_wait() - one sentence on what a job waits for
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
