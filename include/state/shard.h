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
 * DOC: State and scheduling decisions of one shard of workers.
 *
 * Does no I/O and reads no clock: the caller passes in events and the time,
 * then fetches records to log (sh_pending_records()) and messages to send to
 * workers (sh_sync_build()). An action that must wait until a record is durable
 * stores the record's number and is held back until sh_committed() reports it.
 */

#define SH_TEXT_BYTES 160

/** enum sh_task_state - life cycle of a task */
enum sh_task_state {
	SH_WAITING,	 /* has no worker */
	SH_UNRECONCILED, /* may still run since an earlier epoch */
	SH_LOGGING,	 /* reserved; waits for its start to be durable */
	SH_STARTING,	 /* the start is being sent to the worker */
	SH_RUNNING,	 /* confirmed by the worker */
	SH_ENDED,
};

/** enum sh_worker_state - what the owner knows of a worker */
enum sh_worker_state {
	SH_W_UNFENCED, /* may still obey an earlier epoch */
	SH_W_USABLE,   /* has accepted this epoch */
	SH_W_LOST,     /* its lease has certainly expired */
};

struct sh_job;
struct sh_shard;

/**
 * struct sh_task - one task of a job
 * @job: its job
 * @index: position in the job
 * @state: position in its life cycle
 * @result: how it ended
 * @attempt: number of its latest start; unique in the shard
 * @worker: row of its worker or PL_NONE
 * @reserved: resources reserved for it on that worker
 * @record_number: log record of its latest start or end
 * @start_logged: the log has a start of it that no later record revokes
 * @stop: the worker must stop it
 * @requeue: once stopped, it goes back to the queue
 * @backfill: runs on capacity that is reserved for a gang
 * @first_seq: number of the first message with this start; 0 when none was
 *	sent, UINT64_MAX when the task was found running
 * @stop_sent: a message with the stop was sent and has not failed
 * @failures: attempts that ended as failed
 * @started_us: when it was assigned to its worker
 * @logged_worker: id of the worker in the replayed start record, or NULL
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

/** enum sh_wait_reason - why the first waiting task of a job waits */
enum sh_wait_reason {
	SH_WAIT_TURN,	  /* more urgent or older work goes first */
	SH_WAIT_CAPACITY, /* no worker has enough free resources */
	SH_WAIT_QUOTA,	  /* the team's quota is used up */
	SH_WAIT_PRESET,	  /* the policy preset starts no heavy work */
	SH_WAIT_GANG,	  /* not all tasks of the gang fit at once */
	SH_WAIT_STORE,	  /* the start can't be logged now */
	SH_WAIT_RECOVERY, /* tasks of the job may still run */
};

#define SH_MAX_FAILED_WORKERS 3

/**
 * struct sh_job - one accepted job
 * @spec: description
 * @task: its tasks
 * @accepted_us: when it was accepted, or recovered by this owner
 * @ended_us: when its last task ended
 * @accept_record: number of the record that accepts it
 * @end_record: number of the latest record that ends tasks of it
 * @cancelled: no task is started any more
 * @cancel_queued: listed for sh_tick() to stop its tasks
 * @waiting: tasks in SH_WAITING
 * @unfinished: tasks that have not ended
 * @scan_from: no task before this index waits
 * @results: number of ended tasks by result
 * @reason: why the first waiting task waits
 * @lacking_resource: resource that @reason is about, or NULL
 * @next_preempt_us: no preemption for it before this time
 * @preempting: heavy tasks are being preempted for it
 * @next_reservation_us: no gang reservation for it before this time
 * @failed_workers: first workers on which a task of it failed,
 *	@failed_worker_count of them
 * @tasks_per_rack: its tasks by rack; only for services
 * @queued: in its team's queue
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
 * struct sh_team - a team's quota and queues in the shard
 * @name: team
 * @quota: this shard's part of the team's quota
 * @used: resources reserved for its tasks
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

/** struct sh_ref - identifies one start of one task */
struct sh_ref {
	const char *job;
	uint32_t index;
	uint64_t attempt;
};

/**
 * struct sh_start - a task for a worker to start
 * @ref: task and attempt
 * @need: resources reserved for it
 * @run_us: declared run time; 0 for services
 */
struct sh_start {
	struct sh_ref ref;
	struct st_res need;
	int64_t run_us;
	enum st_kind kind;
	bool idempotent;
};

/**
 * struct sh_stop - a task for a worker to stop
 * @ref: task and attempt
 * @checkpoint: the task will run again, so its progress should be saved
 */
struct sh_stop {
	struct sh_ref ref;
	bool checkpoint;
};

#define SH_SYNC_MAX 64

/**
 * struct sh_sync - one message to a worker; strings belong to the shard
 * @epoch: owner's epoch; the worker refuses a lower one
 * @seq: grows with each message of an epoch; the worker refuses an older one
 * @lease_generation: the worker's lease that the starts are valid under
 * @lease_until_us: new end of the lease on the worker's clock; 0 for no renewal
 * @want_inventory: the worker must list all tasks that it runs
 * @start: tasks to start, @start_count of them
 * @stop: tasks to stop, @stop_count of them
 * @ack: outcomes that the worker may forget, @ack_count of them
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
 * struct sh_sync_reply - a worker's reply; arrays belong to the caller
 * @fenced_by: higher epoch that the worker obeys, or 0
 * @newest_outcome: number of the newest outcome
 * @clock_us: the worker's clock when it replied
 * @lease_generation: its current lease
 * @has_inventory: @running lists all tasks that it runs
 * @running: running tasks, @running_count of them
 * @started: starts that it has accepted
 * @refused: starts that did not run and will not run
 * @ended: outcomes, which it keeps until they are acknowledged; the result of
 *	a stopped task is CANCELLED
 * @usage: measured resource use of running tasks
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

/** struct sh_orphan - a run on a worker that the shard doesn't know or want */
struct sh_orphan {
	char *job;
	uint32_t index;
	uint64_t attempt;
	struct sh_orphan *next;
};

/** struct sh_ack - an outcome to acknowledge once its record is durable */
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
 * @state: whether it obeys this epoch
 * @leaving: receives no new tasks; its idempotent tasks move elsewhere
 * @in_flight: a message has no reply yet
 * @send_needed: there may be starts, stops or acknowledgements to send
 * @sync_requested: it has outcomes to report, so a message is due
 * @tasks: tasks assigned to it
 * @acks: outcomes to acknowledge, @ack_count of them
 * @orphans: runs that it must stop
 * @seq: number of the latest message
 * @lease_generation: its lease as of its latest inventory
 * @clock_us: its clock in the latest reply
 * @clock_at_us: when that reply arrived
 * @lease_expires_us: from then on its lease has certainly expired; 0 while
 *	unknown
 * @sync_at_us: when the next message is due
 * @inventory_at_us: when the next full inventory is due
 * @consecutive_failures: failures that count against it since a success
 * @quarantines: quarantines since a success; each doubles the next
 * @quarantined_until_us: receives no tasks until then
 * @probing: after a quarantine, one task at a time until one succeeds
 * @want_inventory: must list its tasks before it receives new ones
 * @avoid_until_us: after an error, receives no new tasks until then
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
 * @capacity: its total resources
 */
struct sh_worker_spec {
	const char *id;
	const char *address;
	const char *rack;
	struct st_res capacity;
};

/**
 * struct sh_settings - times and limits of a shard
 * @lease_us: length of a worker's lease
 * @renew_us: interval between lease renewals
 * @drift_us: margin for clock drift and rounding
 * @inventory_us: interval between full inventories
 * @max_claim_bytes: limit of the claim table
 */
struct sh_settings {
	int64_t lease_us;
	int64_t renew_us;
	int64_t drift_us;
	int64_t inventory_us;
	size_t max_claim_bytes;
};

/**
 * struct sh_profile - learned resource use and run time of a kind of job
 * @name: team and job name
 * @runs: completed runs
 * @run_us: smoothed run time
 * @peak_mem_bytes: highest memory use reported
 * @peak_cpu_mcpu: highest CPU use reported, in thousandths of a core
 * @checked_need: corrected need that was last compared with the workers
 * @checked_fits: whether any worker has the capacity for @checked_need
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

/** struct sh_pending_record - a record that is not durable yet */
struct sh_pending_record {
	struct rc_record *record;
	uint64_t number;
	struct sh_pending_record *prev;
	struct sh_pending_record *next;
};

/**
 * struct sh_gang_reservation - capacity reserved for a waiting gang
 * @job: the gang, or NULL
 * @from_us: when enough tasks should have ended for the gang to start
 * @deadline_us: the reservation is dropped then
 */
struct sh_gang_reservation {
	struct sh_job *job;
	int64_t from_us;
	int64_t deadline_us;
};

/**
 * struct sh_shard - a shard of workers and the jobs that run on them
 * @epoch: this owner's epoch
 * @next_attempt: attempts so far in this epoch
 * @active: this copy owns the shard and may act
 * @store_ok: the store accepts writes
 * @pass_needed: something changed that may let tasks start
 * @pass_cut_short: the last scheduling pass reached its limit
 * @next_pass_us: time of the next scheduling pass without a change
 * @pending: records that are not durable yet, @pending_count of them
 * @last_number: number of the newest record
 * @committed: number of the newest durable record
 * @cancel_head: jobs whose tasks are being stopped
 * @cancel_scan: next task of @cancel_head to stop
 * @reservation: capacity reserved for a gang
 * @unreconciled_count: tasks in SH_UNRECONCILED
 * @workers_hash: hash of the configured workers
 * @sealed_workers_hash: hash of the workers that the earlier epoch knew
 * @removed_workers_until_us: until then, workers that are no longer configured
 *	may run tasks
 * @starts: tasks started by this owner
 * @capacity: total resources of all workers
 */
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
