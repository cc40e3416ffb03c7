#ifndef STATE_POOL_H
#define STATE_POOL_H

#include <talloc.h>
#include <uthash.h>

#include "state/job.h"

/**
 * DOC: The workers of one service and the jobs that run on them.
 *
 * Pure: takes events and the time, and leaves actions to be fetched: orders to
 * workers (wp_next_order()), requests for advice (wp_next_advice_request()) and progress
 * to be stored (wp_next_dirty()). Only the pool's owner keeps one. Times are
 * on the owner's steady clock, but for names that end in _clock_ms, which are
 * on a worker's own steady clock.
 */

#define WP_NAME_BYTES 64
#define WP_CHECKPOINT_BYTES 128
#define WP_TICKET_BYTES 128

/** struct wp_resources - what tasks take and workers hold */
struct wp_resources {
	int64_t cpu_mcpu;
	int64_t mem_mb;
	int64_t gpu;
};

/** enum wp_task_state - life of a task */
enum wp_task_state {
	WP_TASK_WAITING,
	WP_TASK_UNRECONCILED, /* of an earlier owner; may still run somewhere */
	WP_TASK_STARTING,
	WP_TASK_RUNNING,
	WP_TASK_STOPPING,
	WP_TASK_DONE,	   /* ended well */
	WP_TASK_CANCELLED, /* its job was cancelled or has failed */
};

struct wp_pool;
struct wp_job;
struct wp_step;
struct wp_worker;

/* Runs of a task that can be told apart once they have failed. */
#define WP_MAX_FAILED_RUNS 8
#define WP_MAX_AVOIDED 3

/**
 * struct wp_task - one task of an occurrence of a step
 * @step: its step
 * @index: position in the step
 * @state: life
 * @run: newest run
 * @failed_run: runs that failed, @failed_count of them
 * @checkpoint: where the next run resumes, or NULL
 * @worker: worker that it takes room on, or NULL
 * @started_us: when it was given to its worker
 * @not_before_us: not started earlier, after a failure
 * @deadline_clock_ms: the worker refuses the start from then on
 * @confirmed_clock_ms: when the worker confirmed the start; 0 before
 * @stopped_clock_ms: when the worker confirmed the stop; 0 before
 * @resend_at_us: when an unanswered order is sent again; 0 while none is due
 * @start_sends: times that the start was sent
 * @in_doubt: a start was not answered and may still be carried out
 * @order_in_flight: an order is on its way
 * @percent: what the worker last reported
 * @load: load that the worker last reported: ms for a task that serves
 * @progressed_us: when @percent last changed
 * @straggler_moves: times that it was moved because it stood still or was slow
 * @pace: share at which it may work, in percent
 * @avoided: workers on which it failed, avoided until @avoid_until_us
 */
struct wp_task {
	struct wp_step *step;
	uint32_t index;
	enum wp_task_state state;
	uint32_t run;
	uint32_t failed_run[WP_MAX_FAILED_RUNS];
	uint32_t failed_count;
	char *checkpoint;
	struct wp_worker *worker;
	int64_t started_us;
	int64_t not_before_us;
	int64_t deadline_clock_ms;
	int64_t confirmed_clock_ms;
	int64_t stopped_clock_ms;
	int64_t resend_at_us;
	uint8_t start_sends;
	bool in_doubt;
	bool order_in_flight;
	uint32_t percent;
	uint32_t load;
	int64_t progressed_us;
	uint32_t straggler_moves;
	uint32_t pace;
	struct wp_worker *avoided[WP_MAX_AVOIDED];
	uint32_t avoided_count;
	int64_t avoid_until_us;
	struct wp_task *prev;
	struct wp_task *next;
};

/**
 * struct wp_ticket - what advice says of one worker for one step
 * @worker_index: of the worker
 * @incarnation_ms: life of the worker that this is about
 * @requested: a question that names the worker is unanswered
 * @answered: it has been answered at some time
 */
struct wp_ticket {
	uint32_t worker_index;
	int64_t incarnation_ms;
	bool requested;
	bool answered;
	bool approved;
	int64_t expires_us;
	char text[WP_TICKET_BYTES];
};

/**
 * struct wp_approval_rate - what advice has allowed for a queue; older answers count less
 * @asked: workers named in questions
 * @approved: those among them that were allowed
 */
struct wp_approval_rate {
	char *queue;
	uint32_t asked;
	uint32_t approved;
	UT_hash_handle hh;
};

/** enum wp_lateness - whether a step's job can still meet its objective */
enum wp_lateness {
	WP_ON_TIME,
	WP_LATE,     /* it will miss its objective */
	WP_TOO_LATE, /* and be so late that it earns its caller nothing */
};

/**
 * struct wp_step - one occurrence of a step
 * @waiting: tasks in WP_TASK_WAITING
 * @unfinished: tasks that have not ended well
 * @lateness: at the last look; orders the steps that may start
 * @ready: the steps before it have ended
 * @upcoming: the steps before it are about to end
 * @upcoming_listed: it is on the pool's list of such steps
 * @gang_failed_count: runs of the gang that failed
 * @completed_us: time that runs took that ended well, @completed_count of them
 * @ticket: answers of the advice service, @ticket_count of them
 * @ticket_index: for each worker's slot, one more than its answer's position;
 *	0 for none; @ticket_index_count of them
 * @requests_in_flight: requests for advice that are unanswered
 * @requested_slots: places on the workers that these name
 * @has_enough_tickets: at the last look, tickets for all its waiting tasks
 * @expired_unused: times in a row that such tickets expired unused
 * @next_request_us: no earlier request for advice
 * @full_scan_at_us: until then only workers that have changed are looked at
 */
struct wp_step {
	struct wp_occurrence *occ;
	uint32_t number;
	const struct jb_step *spec;
	struct wp_task *task;
	uint32_t waiting;
	uint32_t unfinished;
	enum wp_lateness lateness;
	bool ready;
	bool upcoming;
	bool upcoming_listed;
	uint32_t gang_failed_count;
	int64_t completed_us;
	uint32_t completed_count;
	struct wp_ticket *ticket;
	uint32_t ticket_count;
	uint16_t *ticket_index;
	uint32_t ticket_index_count;
	uint32_t requests_in_flight;
	uint32_t requested_slots;
	bool has_enough_tickets;
	uint32_t expired_unused;
	int64_t next_request_us;
	int64_t full_scan_at_us;
	struct wp_step *prev;
	struct wp_step *next;
	struct wp_step *upcoming_prev;
	struct wp_step *upcoming_next;
};

struct wp_occurrence {
	struct wp_job *job;
	uint32_t number;
	int64_t due_us;
	struct wp_step *step;
	uint32_t unfinished_steps;
};

/**
 * struct wp_job - an accepted job that has not ended, or ended lately
 * @spec: as accepted
 * @occ: occurrences, NULL until due or recovered
 * @state: as shown to callers, once stored
 * @started: a task has been started at some time
 * @final_state: final state once all its tasks are off their workers, or
 *	JB_PENDING
 * @first_start_us: first start under this owner; 0 before
 * @last_start_us: newest start under this owner; 0 before
 * @objective_us: when it must have ended to earn its full credit
 * @dirty: its progress is not stored
 * @dirty_seq: no end before this one (see wp_unacked_end) is unstored
 * @store_not_before_us: while it goes on, it is not stored before
 */
struct wp_job {
	struct wp_pool *pool;
	struct jb_spec *spec;
	struct wp_occurrence **occ;
	uint32_t unfinished_occurrences;
	enum jb_state state;
	bool started;
	enum jb_state final_state;
	int64_t arrived_us;
	int64_t first_start_us;
	int64_t last_start_us;
	int64_t objective_us;
	bool dirty;
	uint64_t dirty_seq;
	int64_t store_not_before_us;
	struct wp_job *dirty_prev;
	struct wp_job *dirty_next;
	UT_hash_handle hh;
};

/**
 * struct wp_unacked_end - an end that may not be acknowledged yet
 * @number: the worker's number for it
 * @seq: counts the ends of all workers in the order in which they were read
 */
struct wp_unacked_end {
	uint64_t number;
	uint64_t seq;
};

/**
 * struct wp_worker - what the owner knows of a worker
 * @index: small number of its own in the pool
 * @kind: first label
 * @rack: rack label
 * @vm: VM that it is a life of; empty when not said
 * @listed: service discovery names it
 * @draining: receives nothing new
 * @evacuating: to be emptied for maintenance
 * @token_accepted: obeys this owner
 * @reachable: its last call was answered
 * @registered: a later owner would know of it
 * @registering: the commit on its way names it
 * @used: room taken by tasks that are or may be there
 * @orphaned: room taken by runs that the owner did not ask for
 * @freed: has got room since the last pass
 * @was_usable: in the last pass
 * @reserved: in the present pass, room that urgent tasks wait for
 * @clock_ms: its clock when last read
 * @clock_read_us: when that reading arrived
 * @lease_end_clock_ms: latest deadline that was ever sent to it
 * @earlier_owner_until_us: until then it may run work of an earlier owner
 * @processed_end: number of the newest end processed
 * @unacked: ends that are not stored, in order, @unacked_count of them
 * @acked_end: number up to which the ends are stored
 * @unreachable_since_us: since when it is not reachable; 0 while it is
 * @renewal_in_flight: a renewal is on its way
 * @renew_at_us: when the next renewal is due
 * @unanswered_orders: orders in a row without an answer
 * @failures: failed runs in a row, of different jobs
 * @quarantined_until_us: nothing is placed on it before
 */
struct wp_worker {
	char id[WP_NAME_BYTES];
	uint32_t index;
	bool freed;
	bool was_usable;
	char address[WP_NAME_BYTES];
	char domain[WP_NAME_BYTES];
	char kind[WP_NAME_BYTES];
	char rack[WP_NAME_BYTES];
	char vm[WP_NAME_BYTES];
	struct wp_resources capacity;
	int64_t incarnation_ms;
	bool listed;
	bool draining;
	bool evacuating;
	bool token_accepted;
	bool reachable;
	bool registered;
	bool registering;
	struct wp_resources used;
	struct wp_resources orphaned;
	struct wp_resources reserved;
	struct wp_task *tasks;
	int64_t clock_ms;
	int64_t clock_read_us;
	int64_t lease_end_clock_ms;
	int64_t earlier_owner_until_us;
	uint64_t processed_end;
	struct wp_unacked_end *unacked;
	uint32_t unacked_count;
	uint64_t acked_end;
	int64_t unreachable_since_us;
	bool renewal_in_flight;
	int64_t renew_at_us;
	int64_t last_renewal_us;
	uint32_t unanswered_orders;
	uint32_t failures;
	char last_failed_job[JB_ID_BYTES];
	int64_t quarantined_until_us;
	int64_t next_pace_us;
	UT_hash_handle hh;
};

/** enum wp_order_kind - what a worker is told */
enum wp_order_kind {
	WP_ORDER_START,
	WP_ORDER_STOP,
	WP_ORDER_PACE,
};

/**
 * struct wp_order - one order to a worker
 * @checkpoint: for a start; may be NULL
 * @ticket: for a start; may be NULL
 * @payload: for a start
 * @deadline_clock_ms: for a start, end of the worker's lease
 * @percent: for a pace
 */
struct wp_order {
	enum wp_order_kind kind;
	char worker[WP_NAME_BYTES];
	char address[WP_NAME_BYTES];
	struct jb_ref ref;
	uint32_t run;
	const char *payload;
	char *checkpoint;
	char *ticket;
	int64_t deadline_clock_ms;
	uint32_t percent;
	struct wp_order *prev;
	struct wp_order *next;
};

/** enum wp_order_result - what became of an order */
enum wp_order_result {
	WP_ACCEPTED,
	WP_REFUSED_STALE_TOKEN,	 /* a later owner was there */
	WP_REFUSED_STALE_RUN,	 /* that run, or a later one, has been there */
	WP_REFUSED_EXPIRED,	 /* its deadline had passed */
	WP_REFUSED_NO_RESOURCES, /* the worker has no room */
	WP_REFUSED_TICKET,	 /* the ticket is not valid */
	WP_REFUSED_UNHEALTHY,	 /* nothing was done */
	WP_REFUSED_INCARNATION,	 /* another incarnation answered */
	WP_REFUSED_MALFORMED,	 /* the order cannot be understood */
	WP_NOT_SENT,
	WP_NO_ANSWER, /* may have been, or may yet be, carried out */
};

/** struct wp_renewal - a renewal for a worker; no deadline before its clock is known */
struct wp_renewal {
	int64_t deadline_clock_ms;
	uint64_t acked_end;
	uint32_t wait_ms;
};

/** enum wp_run_outcome - how a run ended */
enum wp_run_outcome {
	WP_END_DONE,
	WP_END_FAILED,
	WP_END_STOPPED,
	WP_END_LEASE_EXPIRED,
	WP_END_PEER_ENDED,
	WP_END_GANG_TIMEOUT,
};

struct wp_running_task {
	struct jb_ref ref;
	uint32_t run;
	const char *checkpoint;
	uint32_t percent;
	uint32_t load;
};

struct wp_run_end {
	uint64_t number;
	struct jb_ref ref;
	uint32_t run;
	enum wp_run_outcome outcome;
	const char *checkpoint;
};

/** struct wp_renewal_reply - a worker's lists, as of @clock_ms */
struct wp_renewal_reply {
	int64_t incarnation_ms;
	int64_t clock_ms;
	struct wp_running_task *running;
	uint32_t running_count;
	struct wp_run_end *end;
	uint32_t end_count;
};

/** struct wp_worker_info - a worker as service discovery lists it */
struct wp_worker_info {
	const char *id;
	const char *address;
	const char *domain;
	const char *kind;
	const char *rack;
	struct wp_resources capacity;
	bool draining;
	int64_t remaining_ms;
	const char *vm;
};

#define WP_MAX_ADVICE_WORKERS 100

/**
 * struct wp_advice_request - a question to the advice service
 * @slots: tasks of the step that the workers named have room for
 */
struct wp_advice_request {
	char job[JB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	const char *worker[WP_MAX_ADVICE_WORKERS];
	uint32_t worker_count;
	uint32_t slots;
	uint32_t base_cost_us;
	uint32_t worker_cost_us;
	uint32_t valid_ms;
	uint32_t priority;
};

/** struct wp_approval - one good worker of an answer */
struct wp_approval {
	const char *worker;
	const char *ticket;
};

/** struct wp_stats - counts since the pool was created */
struct wp_stats {
	uint64_t starts;
	uint64_t ends[WP_END_GANG_TIMEOUT + 1];
	uint64_t refused[WP_NO_ANSWER + 1];
	uint64_t displaced;
	uint64_t advice_requests;
	uint64_t passes;
};

/**
 * struct wp_counts - tasks by state and workers by use
 * @cpu_percent: of the cores of usable workers, how much is taken
 * @gpu_percent: of their accelerators
 * @late: waiting tasks of steps that can't be in time any more
 * @asking: steps with an unanswered question for advice
 */
struct wp_counts {
	uint32_t jobs;
	uint32_t waiting;
	uint32_t running;
	uint32_t held;
	uint32_t usable;
	uint32_t unfenced;
	uint32_t cpu_percent;
	uint32_t gpu_percent;
	uint32_t late;
	uint32_t asking;
};

/**
 * struct wp_pool - a pool's jobs and workers
 * @superseded: a worker obeys a later owner
 * @draining: nothing new is started
 * @ownership_unconfirmed: a later owner may exist, and may renew leases of workers
 * @earlier_owner_until_us: until then earlier owners may act on workers
 * @first_tick_us: first tick
 * @approval_rates: what advice has allowed, by queue
 * @worker_count: workers that there have been
 * @worker_by_index: worker of each slot
 * @end_seq: ends that were read from workers
 * @commit_seq: ends before this one are in the commit on its way, or stored
 * @reconciled: no worker can run a task that this owner does not know of
 * @registry_dirty: the stored list of workers is out of date
 */
struct wp_pool {
	char name[WP_NAME_BYTES];
	uint32_t term;
	bool superseded;
	bool draining;
	bool ownership_unconfirmed;
	struct wp_job *jobs;
	struct wp_job *dirty;
	struct wp_worker *workers;
	struct wp_approval_rate *approval_rates;
	uint32_t worker_count;
	struct wp_worker **worker_by_index;
	struct wp_step *ready;
	struct wp_step *upcoming;
	struct wp_order *orders;
	int64_t first_tick_us;
	int64_t earlier_owner_until_us;
	uint64_t end_seq;
	uint64_t commit_seq;
	bool reconciled;
	bool registry_dirty;
	struct wp_stats stats;
};

/**
 * struct wp_settings - bounds of a pool
 * @term: counts the owners; sets runs of different owners apart
 * @earlier_owner_until_us: until then an earlier owner may renew leases
 */
struct wp_settings {
	uint32_t term;
	int64_t earlier_owner_until_us;
};

/**
 * wp_create() - an empty pool
 * @ctx: talloc parent
 * @name: service
 * @settings: bounds
 */
struct wp_pool *wp_create(
    TALLOC_CTX *ctx, const char *name, const struct wp_settings *settings);

/**
 * wp_add_job() - take a job into the pool
 * @p: pool
 * @spec: job; copied by reference into the pool's memory
 * @progress: what is stored of it, or NULL for a new one
 * @fresh: accepted after this owner took over, so no other has started it
 * @wall_to_us: added to a wall clock in microseconds gives the steady clock
 * @now_us: time
 */
struct wp_job *wp_add_job(struct wp_pool *p, struct jb_spec *spec,
    const struct jb_progress *progress, bool fresh, int64_t wall_to_us,
    int64_t now_us);

/** wp_find_job() - a job by id, or NULL */
struct wp_job *wp_find_job(struct wp_pool *p, const char *id);

/** wp_end_job() - an earlier owner has said how a job ended */
void wp_end_job(struct wp_pool *p, struct wp_job *job, enum jb_state state);

/** wp_cancel_job() - stop a job's tasks and start no more */
void wp_cancel_job(struct wp_pool *p, struct wp_job *job, int64_t now_us);

/** wp_forget_job() - free a job that has ended and is stored */
void wp_forget_job(struct wp_pool *p, struct wp_job *job);

/**
 * wp_set_worker() - service discovery lists a worker
 * @p: pool
 * @info: worker
 * @now_us: time
 */
void wp_set_worker(
    struct wp_pool *p, const struct wp_worker_info *info, int64_t now_us);

/** wp_unlist_worker() - service discovery no longer lists a worker */
void wp_unlist_worker(struct wp_pool *p, const char *id);

/**
 * wp_add_registered_worker() - an earlier owner may have work on a worker
 * @p: pool
 * @id: worker
 * @address: "IP:PORT"
 * @now_us: time
 *
 * For workers that service discovery does not list at present.
 */
void wp_add_registered_worker(
    struct wp_pool *p, const char *id, const char *address, int64_t now_us);

/** wp_earlier_owners_stopped() - earlier owners have certainly stopped by now */
void wp_earlier_owners_stopped(struct wp_pool *p, int64_t leases_end_us);

/** wp_needs_registration() - whether a later owner has to know of a worker */
bool wp_needs_registration(const struct wp_worker *w, int64_t now_us);

/** wp_find_worker() - a worker by id, or NULL */
struct wp_worker *wp_find_worker(struct wp_pool *p, const char *id);

/** wp_find_worker_on_vm() - the newest listed worker on a VM, or NULL */
struct wp_worker *wp_find_worker_on_vm(struct wp_pool *p, const char *vm);

/** wp_cancel_evacuations() - no worker is to be emptied any more */
void wp_cancel_evacuations(struct wp_pool *p);

/** wp_is_worker_empty() - nothing is or may be on a worker */
bool wp_is_worker_empty(const struct wp_worker *w);

/** wp_may_take_down() - whether a worker's end keeps no task away that must not be */
bool wp_may_take_down(const struct wp_worker *w);

/** wp_tick() - everything that is due, then a scheduling pass */
void wp_tick(struct wp_pool *p, int64_t now_us);

/** wp_schedule() - start what can start; between ticks, when something changed */
void wp_schedule(struct wp_pool *p, int64_t now_us);

/** wp_next_order() - the next order to send, for the caller to free, or NULL */
struct wp_order *wp_next_order(struct wp_pool *p);

/**
 * wp_on_order_result() - what became of an order
 * @p: pool
 * @o: order
 * @result: outcome
 * @clock_ms: the worker's clock in its answer, or 0
 * @now_us: time
 */
void wp_on_order_result(struct wp_pool *p, const struct wp_order *o,
    enum wp_order_result result, int64_t clock_ms, int64_t now_us);

/**
 * wp_renewal_due() - whether a renewal should go to a worker now
 *
 * Return: true after filling @hold; the renewal then counts as sent.
 */
bool wp_renewal_due(struct wp_pool *p, struct wp_worker *w, int64_t now_us,
    struct wp_renewal *hold);

/** wp_on_renewal() - a worker's answer to a renewal */
void wp_on_renewal(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);

/** wp_on_renewal_failed() - a renewal was not answered, or refused as @result says */
void wp_on_renewal_failed(struct wp_pool *p, struct wp_worker *w,
    enum wp_order_result result, int64_t now_us);

/** wp_next_advice_request() - fill in the next question for advice; false for none */
bool wp_next_advice_request(
    struct wp_pool *p, int64_t now_us, struct wp_advice_request *ask);

/**
 * wp_on_advice() - an answer of the advice service
 * @p: pool
 * @ask: the question
 * @ok: whether it was answered
 * @good: workers that may run the step, @good_count of them
 * @asked_us: when the question was sent
 * @now_us: time
 */
void wp_on_advice(struct wp_pool *p, const struct wp_advice_request *ask,
    bool ok, const struct wp_approval *good, uint32_t good_count,
    int64_t asked_us, int64_t now_us);

/**
 * wp_next_dirty() - the next job whose progress has to be stored
 * @p: pool
 * @ctx: talloc parent of the progress
 * @now_us: time
 * @progress: what to store
 *
 * Jobs that have ended come first; others are stored at intervals.
 *
 * Return: the job, no longer dirty, or NULL.
 */
struct wp_job *wp_next_dirty(struct wp_pool *p, TALLOC_CTX *ctx, int64_t now_us,
    struct jb_progress *progress);

/** wp_is_store_due() - whether wp_next_dirty() would return a job */
bool wp_is_store_due(struct wp_pool *p, int64_t now_us);

/** wp_mark_dirty() - a job's progress has to be stored (again) */
void wp_mark_dirty(struct wp_job *job);

/** wp_commit_begin() - the commit being made holds what wp_next_dirty() gave */
void wp_commit_begin(struct wp_pool *p);

/** wp_commit_end() - that commit is stored: its ends may be acknowledged */
void wp_commit_end(struct wp_pool *p, int64_t now_us);

/** wp_get_counts() - what binds the pool */
void wp_get_counts(
    const struct wp_pool *p, int64_t now_us, struct wp_counts *n);

/** wp_public_state() - state of a job, from what is stored or certain */
enum jb_state wp_public_state(const struct wp_job *job);

#endif
