#ifndef STATE_SHARD_TYPES_H
#define STATE_SHARD_TYPES_H

#include <talloc.h>
#include <uthash.h>

#include "common/rng.h"
#include "state/claims.h"
#include "state/placement.h"
#include "state/policy.h"
#include "state/record.h"

/**
 * DOC: What a shard consists of: tasks, jobs, teams, workers and the shard
 * itself. Others read these; only the functions of the shard change them.
 */

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
 * @stop_sent: a message with the stop was sent and has not failed, and no inventory
 *	has listed the task since
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
 * @probing: after a quarantine, one new task at a time until one succeeds or has
 *	run for long
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

#endif
