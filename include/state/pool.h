#ifndef STATE_POOL_H
#define STATE_POOL_H

#include <talloc.h>
#include <uthash.h>

#include "state/job.h"

/**
 * DOC: The workers of one service and the jobs that run on them.
 *
 * Pure: takes events and the time, and leaves actions to be fetched: orders to
 * workers (wp_next_order()), requests for advice (wp_next_ask()) and progress
 * to be stored (wp_next_dirty()). Only the pool's owner keeps one. Times are
 * on the owner's steady clock, but for names that end in _clock_ms, which are
 * on a worker's own steady clock.
 */

#define WP_NAME_BYTES 64
#define WP_CHECKPOINT_BYTES 128
#define WP_TICKET_BYTES 128

/** struct wp_room - what tasks take and workers hold */
struct wp_room {
	int64_t cpu_mcpu;
	int64_t mem_mb;
	int64_t gpu;
};

/** enum wp_task_state - life of a task */
enum wp_task_state {
	WP_WAITING,
	WP_HELD, /* of an earlier owner; may still run somewhere */
	WP_STARTING,
	WP_RUNNING,
	WP_STOPPING,
	WP_DONE,    /* ended well */
	WP_DROPPED, /* its job was cancelled or has failed */
};

struct wp_pool;
struct wp_job;
struct wp_step;
struct wp_worker;

/* Runs of a task that can be told apart once they have failed. */
#define WP_MAX_FAILED 8
#define WP_AVOID_SET 3

/**
 * struct wp_task - one task of an occurrence of a step
 * @step: its step
 * @index: position in the step
 * @state: life
 * @run: newest run
 * @failed_run: runs that failed, @failed of them
 * @checkpoint: where the next run resumes, or NULL
 * @w: worker that it takes room on, or NULL
 * @started_us: when it was given to its worker
 * @not_before_us: not started earlier, after a failure
 * @deadline_clock_ms: the worker refuses the start from then on
 * @confirmed_clock_ms: when the worker confirmed the start; 0 before
 * @stopped_clock_ms: when the worker confirmed the stop; 0 before
 * @resend_us: when an unanswered order is sent again; 0 while none is due
 * @sends: times that the start was sent
 * @in_doubt: a start was not answered and may still be carried out
 * @order_out: an order is on its way
 * @percent: what the worker last reported
 * @figure: load that the worker last reported: ms for a task that serves
 * @moved_us: when @percent last changed
 * @stuck: times that it was moved because it stood still or was slow
 * @pace: share at which it may work, in percent
 * @avoid: workers on which it failed, avoided until @avoid_until_us
 */
struct wp_task {
	struct wp_step *step;
	uint32_t index;
	enum wp_task_state state;
	uint32_t run;
	uint32_t failed_run[WP_MAX_FAILED];
	uint32_t failed;
	char *checkpoint;
	struct wp_worker *w;
	int64_t started_us;
	int64_t not_before_us;
	int64_t deadline_clock_ms;
	int64_t confirmed_clock_ms;
	int64_t stopped_clock_ms;
	int64_t resend_us;
	uint8_t sends;
	bool in_doubt;
	bool order_out;
	uint32_t percent;
	uint32_t figure;
	int64_t moved_us;
	uint32_t stuck;
	uint32_t pace;
	struct wp_worker *avoid[WP_AVOID_SET];
	uint32_t avoid_count;
	int64_t avoid_until_us;
	struct wp_task *prev;
	struct wp_task *next;
};

/**
 * struct wp_ticket - what advice says of one worker for one step
 * @slot: of the worker
 * @born_ms: life of the worker that this is about
 * @asked: a question that names the worker is unanswered
 * @known: it has been answered at some time
 */
struct wp_ticket {
	uint32_t slot;
	int64_t born_ms;
	bool asked;
	bool known;
	bool good;
	int64_t expires_us;
	char text[WP_TICKET_BYTES];
};

/**
 * struct wp_share - what advice has allowed for a queue; older answers count less
 * @asked: workers named in questions
 * @good: those among them that were allowed
 */
struct wp_share {
	char *queue;
	uint32_t asked;
	uint32_t good;
	UT_hash_handle hh;
};

/** enum wp_outlook - whether a step's job can still meet its objective */
enum wp_outlook {
	WP_IN_TIME,
	WP_LATE,     /* it will miss its objective */
	WP_HOPELESS, /* and be so late that it earns its caller nothing */
};

/**
 * struct wp_step - one occurrence of a step
 * @waiting: tasks in WP_WAITING
 * @open: tasks that have not ended well
 * @outlook: at the last look; orders the steps that may start
 * @ready: the steps before it have ended
 * @near: the steps before it are about to end
 * @near_listed: it is on the pool's list of such steps
 * @gang_failed: runs of the gang that failed
 * @ran_us: time that runs took that ended well, @ran_count of them
 * @ticket: answers of the advice service, @ticket_count of them
 * @ticket_at: for each worker's slot, one more than its answer's position;
 *	0 for none; @ticket_slots of them
 * @asks_out: requests for advice that are unanswered
 * @asked_places: places on the workers that these name
 * @has_tickets: at the last look, tickets for all its waiting tasks
 * @unused: times in a row that such tickets expired unused
 * @ask_again_us: no earlier request for advice
 * @try_again_us: until then only workers that have changed are looked at
 */
struct wp_step {
	struct wp_occurrence *occ;
	uint32_t number;
	const struct jb_step *spec;
	struct wp_task *task;
	uint32_t waiting;
	uint32_t open;
	enum wp_outlook outlook;
	bool ready;
	bool near;
	bool near_listed;
	uint32_t gang_failed;
	int64_t ran_us;
	uint32_t ran_count;
	struct wp_ticket *ticket;
	uint32_t ticket_count;
	uint16_t *ticket_at;
	uint32_t ticket_slots;
	uint32_t asks_out;
	uint32_t asked_places;
	bool has_tickets;
	uint32_t unused;
	int64_t ask_again_us;
	int64_t try_again_us;
	struct wp_step *prev;
	struct wp_step *next;
	struct wp_step *near_prev;
	struct wp_step *near_next;
};

struct wp_occurrence {
	struct wp_job *job;
	uint32_t number;
	int64_t due_us;
	struct wp_step *step;
	uint32_t open_steps;
};

/**
 * struct wp_job - an accepted job that has not ended, or ended lately
 * @spec: as accepted
 * @occ: occurrences, NULL until due or recovered
 * @state: as shown to callers, once stored
 * @started: a task has been started at some time
 * @stop_as: final state once all its tasks are off their workers, or
 *	JB_PENDING
 * @first_start_us: first start under this owner; 0 before
 * @last_start_us: newest start under this owner; 0 before
 * @objective_us: when it must have ended to earn its full credit
 * @dirty: its progress is not stored
 * @dirty_seq: no end before this one (see wp_unstored_end) is unstored
 * @store_at_us: while it goes on, it is not stored before
 */
struct wp_job {
	struct wp_pool *pool;
	struct jb_spec *spec;
	struct wp_occurrence **occ;
	uint32_t open_occurrences;
	enum jb_state state;
	bool started;
	enum jb_state stop_as;
	int64_t arrived_us;
	int64_t first_start_us;
	int64_t last_start_us;
	int64_t objective_us;
	bool dirty;
	uint64_t dirty_seq;
	int64_t store_at_us;
	struct wp_job *dirty_prev;
	struct wp_job *dirty_next;
	UT_hash_handle hh;
};

/**
 * struct wp_unstored_end - an end that may not be acknowledged yet
 * @number: the worker's number for it
 * @seq: counts the ends of all workers in the order in which they were read
 */
struct wp_unstored_end {
	uint64_t number;
	uint64_t seq;
};

/**
 * struct wp_worker - what the owner knows of a worker
 * @slot: small number of its own in the pool
 * @kind: first label
 * @rack: rack label
 * @vm: VM that it is a life of; empty when not said
 * @listed: service discovery names it
 * @draining: receives nothing new
 * @retiring: to be emptied for maintenance
 * @fenced: obeys this owner
 * @reachable: its last call was answered
 * @registered: a later owner would know of it
 * @registering: the commit on its way names it
 * @used: room taken by tasks that are or may be there
 * @stray: room taken by runs that the owner did not ask for
 * @changed: has got room since the last pass
 * @was_usable: in the last pass
 * @claimed: in the present pass, room that urgent tasks wait for
 * @clock_ms: its clock when last read
 * @clock_at_us: when that reading arrived
 * @lease_clock_ms: latest deadline that was ever sent to it
 * @doubt_until_us: until then it may run work of an earlier owner
 * @seen_end: number of the newest end processed
 * @unstored: ends that are not stored, in order, @unstored_count of them
 * @acked_end: number up to which the ends are stored
 * @lost_at_us: since when it is not reachable; 0 while it is
 * @hold_out: a renewal is on its way
 * @hold_at_us: when the next renewal is due
 * @unanswered: orders in a row without an answer
 * @failures: failed runs in a row, of different jobs
 * @avoid_until_us: nothing is placed on it before
 */
struct wp_worker {
	char id[WP_NAME_BYTES];
	uint32_t slot;
	bool changed;
	bool was_usable;
	char address[WP_NAME_BYTES];
	char domain[WP_NAME_BYTES];
	char kind[WP_NAME_BYTES];
	char rack[WP_NAME_BYTES];
	char vm[WP_NAME_BYTES];
	struct wp_room capacity;
	int64_t born_ms;
	bool listed;
	bool draining;
	bool retiring;
	bool fenced;
	bool reachable;
	bool registered;
	bool registering;
	struct wp_room used;
	struct wp_room stray;
	struct wp_room claimed;
	struct wp_task *tasks;
	int64_t clock_ms;
	int64_t clock_at_us;
	int64_t lease_clock_ms;
	int64_t doubt_until_us;
	uint64_t seen_end;
	struct wp_unstored_end *unstored;
	uint32_t unstored_count;
	uint64_t acked_end;
	int64_t lost_at_us;
	bool hold_out;
	int64_t hold_at_us;
	int64_t last_list_us;
	uint32_t unanswered;
	uint32_t failures;
	char failed_job[JB_ID_BYTES];
	int64_t avoid_until_us;
	int64_t pace_at_us;
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
	WP_DONE_OK,
	WP_REFUSED_FENCE,      /* a later owner was there */
	WP_REFUSED_OLD,	       /* that run, or a later one, has been there */
	WP_REFUSED_LATE,       /* its deadline had passed */
	WP_REFUSED_ROOM,       /* the worker has no room */
	WP_REFUSED_TICKET,     /* the ticket is not valid */
	WP_REFUSED_UNHEALTHY,  /* nothing was done */
	WP_REFUSED_OTHER_LIFE, /* another incarnation answered */
	WP_REFUSED_BAD,	       /* the order cannot be understood */
	WP_NOT_SENT,
	WP_NO_ANSWER, /* may have been, or may yet be, carried out */
};

/** struct wp_hold - a renewal for a worker; no deadline before its clock is known */
struct wp_hold {
	int64_t deadline_clock_ms;
	uint64_t acked_end;
	uint32_t wait_ms;
};

/** enum wp_end_how - how a run ended */
enum wp_end_how {
	WP_END_DONE,
	WP_END_FAILED,
	WP_END_STOPPED,
	WP_END_LAPSED,
	WP_END_BROKEN,
	WP_END_ALONE,
};

struct wp_running {
	struct jb_ref ref;
	uint32_t run;
	const char *checkpoint;
	uint32_t percent;
	uint32_t figure;
};

struct wp_end {
	uint64_t number;
	struct jb_ref ref;
	uint32_t run;
	enum wp_end_how how;
	const char *checkpoint;
};

/** struct wp_hold_reply - a worker's lists, as of @clock_ms */
struct wp_hold_reply {
	int64_t born_ms;
	int64_t clock_ms;
	struct wp_running *running;
	uint32_t running_count;
	struct wp_end *end;
	uint32_t end_count;
};

/** struct wp_worker_info - a worker as service discovery lists it */
struct wp_worker_info {
	const char *id;
	const char *address;
	const char *domain;
	const char *kind;
	const char *rack;
	struct wp_room capacity;
	bool draining;
	int64_t remaining_ms;
	const char *vm;
};

#define WP_MAX_ASK 100

/**
 * struct wp_ask - a question to the advice service
 * @places: tasks of the step that the workers named have room for
 */
struct wp_ask {
	char job[JB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	const char *worker[WP_MAX_ASK];
	uint32_t worker_count;
	uint32_t places;
	uint32_t decide_us;
	uint32_t period_us;
	uint32_t valid_ms;
	uint32_t priority;
};

/** struct wp_advice - one good worker of an answer */
struct wp_advice {
	const char *worker;
	const char *ticket;
};

/** struct wp_stats - counts since the pool was created */
struct wp_stats {
	uint64_t starts;
	uint64_t ends[WP_END_ALONE + 1];
	uint64_t refused[WP_NO_ANSWER + 1];
	uint64_t displaced;
	uint64_t asks;
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
 * @deposed: a worker obeys a later owner
 * @draining: nothing new is started
 * @unconfirmed: a later owner may exist, and may renew leases of workers
 * @strangers_until_us: until then earlier owners may act on workers
 * @began_us: first tick
 * @shares: what advice has allowed, by queue
 * @worker_slots: workers that there have been
 * @worker_at: worker of each slot
 * @end_seq: ends that were read from workers
 * @flight_seq: ends before this one are in the commit on its way, or stored
 * @settled: no worker can run a task that this owner does not know of
 * @registry_dirty: the stored list of workers is out of date
 */
struct wp_pool {
	char name[WP_NAME_BYTES];
	uint32_t term;
	bool deposed;
	bool draining;
	bool unconfirmed;
	struct wp_job *jobs;
	struct wp_job *dirty;
	struct wp_worker *workers;
	struct wp_share *shares;
	uint32_t worker_slots;
	struct wp_worker **worker_at;
	struct wp_step *ready;
	struct wp_step *near;
	struct wp_order *orders;
	int64_t began_us;
	int64_t strangers_until_us;
	uint64_t end_seq;
	uint64_t flight_seq;
	bool settled;
	bool registry_dirty;
	struct wp_stats stats;
};

/**
 * struct wp_settings - bounds of a pool
 * @term: counts the owners; sets runs of different owners apart
 * @earlier_until_us: until then an earlier owner may renew leases
 */
struct wp_settings {
	uint32_t term;
	int64_t earlier_until_us;
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
 * wp_add_known_worker() - an earlier owner may have work on a worker
 * @p: pool
 * @id: worker
 * @address: "IP:PORT"
 * @now_us: time
 *
 * For workers that service discovery does not list at present.
 */
void wp_add_known_worker(
    struct wp_pool *p, const char *id, const char *address, int64_t now_us);

/** wp_earlier_gone() - earlier owners have certainly stopped by now */
void wp_earlier_gone(struct wp_pool *p, int64_t leases_end_us);

/** wp_is_known_worker() - whether a later owner has to know of a worker */
bool wp_is_known_worker(const struct wp_worker *w, int64_t now_us);

/** wp_find_worker() - a worker by id, or NULL */
struct wp_worker *wp_find_worker(struct wp_pool *p, const char *id);

/** wp_find_vm() - the newest listed worker on a VM, or NULL */
struct wp_worker *wp_find_vm(struct wp_pool *p, const char *vm);

/** wp_retire_none() - no worker is to be emptied any more */
void wp_retire_none(struct wp_pool *p);

/** wp_is_empty() - nothing is or may be on a worker */
bool wp_is_empty(const struct wp_worker *w);

/** wp_may_end() - whether a worker's end keeps no task away that must not be */
bool wp_may_end(const struct wp_worker *w);

/** wp_tick() - everything that is due, then a scheduling pass */
void wp_tick(struct wp_pool *p, int64_t now_us);

/** wp_schedule() - start what can start; between ticks, when something changed */
void wp_schedule(struct wp_pool *p, int64_t now_us);

/** wp_next_order() - the next order to send, for the caller to free, or NULL */
struct wp_order *wp_next_order(struct wp_pool *p);

/**
 * wp_on_order() - what became of an order
 * @p: pool
 * @o: order
 * @result: outcome
 * @clock_ms: the worker's clock in its answer, or 0
 * @now_us: time
 */
void wp_on_order(struct wp_pool *p, const struct wp_order *o,
    enum wp_order_result result, int64_t clock_ms, int64_t now_us);

/**
 * wp_hold_due() - whether a renewal should go to a worker now
 *
 * Return: true after filling @hold; the renewal then counts as sent.
 */
bool wp_hold_due(struct wp_pool *p, struct wp_worker *w, int64_t now_us,
    struct wp_hold *hold);

/** wp_on_hold() - a worker's answer to a renewal */
void wp_on_hold(struct wp_pool *p, struct wp_worker *w,
    const struct wp_hold_reply *reply, int64_t now_us);

/** wp_on_hold_lost() - a renewal was not answered, or refused as @result says */
void wp_on_hold_lost(struct wp_pool *p, struct wp_worker *w,
    enum wp_order_result result, int64_t now_us);

/** wp_next_ask() - fill in the next question for advice; false for none */
bool wp_next_ask(struct wp_pool *p, int64_t now_us, struct wp_ask *ask);

/**
 * wp_on_advice() - an answer of the advice service
 * @p: pool
 * @ask: the question
 * @ok: whether it was answered
 * @good: workers that may run the step, @good_count of them
 * @asked_us: when the question was sent
 * @now_us: time
 */
void wp_on_advice(struct wp_pool *p, const struct wp_ask *ask, bool ok,
    const struct wp_advice *good, uint32_t good_count, int64_t asked_us,
    int64_t now_us);

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

/** wp_has_due() - whether wp_next_dirty() would return a job */
bool wp_has_due(struct wp_pool *p, int64_t now_us);

/** wp_mark_dirty() - a job's progress has to be stored (again) */
void wp_mark_dirty(struct wp_job *job);

/** wp_commit_begin() - the commit being made holds what wp_next_dirty() gave */
void wp_commit_begin(struct wp_pool *p);

/** wp_commit_end() - that commit is stored: its ends may be acknowledged */
void wp_commit_end(struct wp_pool *p, int64_t now_us);

/** wp_count() - what binds the pool */
void wp_count(const struct wp_pool *p, int64_t now_us, struct wp_counts *n);

/** wp_shown_state() - state of a job, from what is stored or certain */
enum jb_state wp_shown_state(const struct wp_job *job);

#endif
