#ifndef STATE_POOL_H
#define STATE_POOL_H

#include <talloc.h>
#include <uthash.h>

#include "common/text.h"
#include "state/job.h"
#include "state/start_window.h"

/**
 * DOC: The workers of one service and the jobs that run on them.
 *
 * Does no I/O: it takes events and the time, and queues what the caller has to
 * do: orders to workers (wp_next_order()), requests to the advice service
 * (wp_next_advice_request()) and job progress to store (wp_next_dirty()). Only
 * the daemon that owns the pool keeps one. Times are on that daemon's monotonic
 * clock, except names that end in _clock_ms, which are on a worker's own
 * monotonic clock.
 */

/**
 * struct wp_resources - what a task takes or a worker has
 * @cpu_mcpu: cores, in thousandths
 * @mem_mb: memory
 * @gpu: accelerators
 */
struct wp_resources {
	int64_t cpu_mcpu;
	int64_t mem_mb;
	int64_t gpu;
};

/** enum wp_task_state - life cycle of a task */
enum wp_task_state {
	WP_TASK_WAITING,
	WP_TASK_UNRECONCILED, /* an earlier owner's run may still exist */
	WP_TASK_STARTING,
	WP_TASK_RUNNING,
	WP_TASK_STOPPING,
	WP_TASK_DONE,	   /* completed successfully */
	WP_TASK_CANCELLED, /* its job was cancelled or has failed */
};

struct wp_pool;
struct wp_job;
struct wp_step;
struct wp_worker;

/* Failed runs that a task remembers, to count each only once. */
#define WP_MAX_FAILED_RUNS 8
/* Runs of a task that have or may have crashed their worker, at most. */
#define WP_MAX_CRASHES 5
/* Workers that a task avoids at a time. */
#define WP_MAX_AVOIDED 3

/**
 * struct wp_task - one task of an occurrence of a step
 * @step: the step it belongs to
 * @index: position in the step
 * @state: life cycle
 * @run: number of the newest run
 * @failed_run: numbers of the newest failed runs, @failed_count of them
 * @failed_earlier: failed runs before these
 * @checkpoint: where the next run resumes, or NULL
 * @worker: worker whose resources it takes, or NULL
 * @started_us: when it was placed on its worker
 * @not_before_us: earliest next start, set after a failure
 * @deadline_clock_ms: the worker refuses the start from then on; 0 for none
 * @confirmed_clock_ms: when the worker confirmed the start; 0 before
 * @stopped_clock_ms: when the worker confirmed the stop; 0 before
 * @resend_at_us: when an unanswered order is sent again; 0 for never
 * @start_sends: how often the start of this run was sent
 * @in_doubt: a start was not answered and may still be carried out
 * @order_in_flight: a start order has no result yet
 * @percent: progress that the worker last reported
 * @load: load that the worker last reported; tail latency in ms for a task
 *	with a latency target
 * @progressed_us: when @percent last changed
 * @straggler_moves: how often it was moved because it made no progress or was
 *	slow
 * @pace: share of its full speed at which it may work, in percent
 * @pace_confirmed: the worker has accepted that, or it is that of the start
 * @avoided: ring of workers on which it failed, avoided until @avoid_until_us
 * @avoided_count: workers added to @avoided so far
 * @held_in_pass: the last pass of wp_reconcile_tick() in which a closed worker
 *	or an older run held it
 * @crash: runs under which a worker has or may have crashed, @crash_count of
 *	them; the task is then a suspect
 * @crashed_workers: workers that crashed while they ran it, whatever the cause,
 *	since a run of it has lived for long
 * @excused_run: a run that did not cause its worker's crash; 0 for none
 * @has_run: a long-running task has begun before, which is or will be stored
 * @held_on: worker on which resources were last held for it, or NULL
 * @search_at_us: when all workers are searched for room for it again; 0 for at
 *	once
 * @restore_by_us: if it lost its run, others are stopped for it unless room
 *	becomes free until then; 0 before it waits
 * @preempt_at_us: none are stopped for it before
 * @preempt_count: how often that was done since it last began
 * @seen_state: its state and run when wp_find_stuck() last looked
 * @seen_run: see @seen_state
 * @seen_since_us: since when it has found these; 0 before it looked
 */
struct wp_task {
	struct wp_step *step;
	uint32_t index;
	enum wp_task_state state;
	uint32_t run;
	uint32_t failed_run[WP_MAX_FAILED_RUNS];
	uint32_t failed_count;
	uint32_t failed_earlier;
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
	bool pace_confirmed;
	struct wp_worker *avoided[WP_MAX_AVOIDED];
	uint32_t avoided_count;
	int64_t avoid_until_us;
	uint32_t held_in_pass;
	struct jb_crash *crash;
	uint32_t crash_count;
	uint32_t crashed_workers;
	uint32_t excused_run;
	bool has_run;
	struct wp_worker *held_on;
	int64_t search_at_us;
	int64_t restore_by_us;
	int64_t preempt_at_us;
	uint32_t preempt_count;
	enum wp_task_state seen_state;
	uint32_t seen_run;
	int64_t seen_since_us;
	struct wp_task *prev;
	struct wp_task *next;
	struct wp_task *crash_prev;
	struct wp_task *crash_next;
};

/**
 * struct wp_ticket - cached advice about one worker for one step
 * @worker_index: index of the worker
 * @incarnation_ms: incarnation of the worker that the advice is about
 * @requested: an advice request in flight names the worker
 * @answered: the advice service has answered about the worker
 * @approved: its last answer was that the step may run there
 * @reserved: members of the step for which resources are reserved there
 * @expires_us: end of the ticket's validity
 * @text: ticket that a start order carries; NULL without one
 */
struct wp_ticket {
	uint32_t worker_index;
	int64_t incarnation_ms;
	bool requested;
	bool answered;
	bool approved;
	uint32_t reserved;
	int64_t expires_us;
	char *text;
};

/**
 * struct wp_approval_rate - how many workers the advice service approves
 * @queue: queue of the jobs that it was asked for
 * @asked: workers named in answered requests
 * @approved: those among them that were approved
 * @queued_us: time that requests usually take beyond their cost
 *
 * Both counts are halved from time to time, so that older answers weigh less.
 */
struct wp_approval_rate {
	char *queue;
	uint32_t asked;
	uint32_t approved;
	int64_t queued_us;
	UT_hash_handle hh;
};

/** enum wp_wait - what a step that is ready waits for */
enum wp_wait {
	WP_WAIT_TURN,	   /* steps before it may need all resources */
	WP_WAIT_ADVICE,	   /* an advice request is in flight */
	WP_WAIT_RESOURCES, /* it has tickets, but no resources */
	WP_WAIT_RETRY,	   /* its tasks may not start again yet */
};
#define WP_WAITS (WP_WAIT_RETRY + 1)

/** enum wp_lateness - whether a step's job can still meet its objective */
enum wp_lateness {
	WP_ON_TIME,
	WP_LATE,     /* it will miss its objective */
	WP_TOO_LATE, /* so late that its result is worthless to its caller */
};

/** WP_READY_LEVELS - levels above the list of ready steps */
#define WP_READY_LEVELS 3

/**
 * struct wp_step - one occurrence of a step
 * @occ: the occurrence it belongs to
 * @number: position in the job
 * @spec: as submitted
 * @task: tasks, @spec->count of them
 * @waiting: tasks in WP_TASK_WAITING
 * @unfinished: tasks that are not in WP_TASK_DONE
 * @lateness: at the last tick; part of the order in which steps start
 * @ready: the steps that it depends on are done
 * @upcoming: the steps that it depends on are about to be done
 * @upcoming_listed: it is on the pool's list of upcoming steps
 * @gang_failed_count: failed runs of the gang
 * @gang_failed_earlier: of these, those whose numbers its tasks don't keep
 * @completed_us: total time of the @completed_count runs that completed
 * @ticket: cached advice, @ticket_count entries
 * @ticket_index: for each worker's index, its position in @ticket plus one, or
 *	0 for none; @ticket_index_count entries
 * @requests_in_flight: advice requests without an answer
 * @requested_slots: slots on the workers that these requests name
 * @answer_due_us: when the first of these requests is expected to be answered
 * @has_enough_tickets: when last checked, it had valid tickets for all its
 *	waiting tasks
 * @asked_us: when its last advice request was made
 * @next_request_us: no advice request before
 * @lost: its tasks that have lost their run and may not start yet, if it needs
 *	advice
 * @lost_from_us: when the first of them may start
 * @rank: position among the ready steps when gangs were last planned
 * @reserved: resources are reserved for it, as its tickets say
 * @planned_us: when a gang is expected to be able to start; INT64_MAX when it
 *	is not, 0 before it was planned
 * @full_scan_at_us: until then only workers with newly freed resources are
 *	considered
 * @suspects: tasks with entries in @crash
 * @trial_passed: one of these has lived for a while since the last crash
 * @prev: before it among the ready steps
 * @next: after it among the ready steps
 * @level: the same among those on each of the first @levels levels
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
	uint32_t gang_failed_earlier;
	int64_t completed_us;
	uint32_t completed_count;
	struct wp_ticket *ticket;
	uint32_t ticket_count;
	uint16_t *ticket_index;
	uint32_t ticket_index_count;
	uint32_t requests_in_flight;
	uint32_t requested_slots;
	int64_t answer_due_us;
	bool has_enough_tickets;
	int64_t asked_us;
	int64_t next_request_us;
	uint32_t lost;
	int64_t lost_from_us;
	uint32_t rank;
	bool reserved;
	int64_t planned_us;
	int64_t full_scan_at_us;
	uint32_t suspects;
	bool trial_passed;
	struct wp_step *prev;
	struct wp_step *next;
	struct {
		struct wp_step *prev;
		struct wp_step *next;
	} level[WP_READY_LEVELS];
	uint32_t levels;
	struct wp_step *upcoming_prev;
	struct wp_step *upcoming_next;
};

/**
 * struct wp_occurrence - one repetition of a job
 * @job: the job it belongs to
 * @number: position in the job
 * @due_us: its steps do not start before
 * @step: steps, as many as the job has
 * @unfinished_steps: steps with unfinished tasks
 */
struct wp_occurrence {
	struct wp_job *job;
	uint32_t number;
	int64_t due_us;
	struct wp_step *step;
	uint32_t unfinished_steps;
};

/**
 * struct wp_job - an accepted job, kept until wp_forget_job()
 * @pool: the pool it belongs to
 * @spec: as accepted
 * @occ: occurrences, jb_occurrences() of them
 * @unfinished_occurrences: occurrences with unfinished steps
 * @state: JB_PENDING until the job has ended; see wp_public_state()
 * @started: a worker is known to have, or have had, a run of it; a start order
 *	that was sent does not count
 * @inherited: accepted before this owner took over
 * @final_state: state that the job takes once all its tasks are off their
 *	workers, or JB_PENDING while it is not being stopped
 * @arrived_us: when it was accepted
 * @first_start_us: first start under this owner; 0 before
 * @last_start_us: newest start under this owner; 0 before
 * @objective_us: when it has to end to meet its latency objective
 * @waited_us: time that its steps were seen waiting, by cause
 * @dirty: its progress is not stored; it is on the pool's list of such jobs
 * @dirty_seq: value of the pool's @end_seq when it became dirty; all its run
 *	ends before this one are stored
 * @store_not_before_us: unless it ends, its progress is not stored before
 * @crash_unstored: what is known of crashes under its tasks has changed and is
 *	in no commit yet
 * @crash_commit: it was last stored with that commit of the pool
 * @deferred: the stored registry may name it as not started, so nothing of it is
 * @resuming: the registry in the commit in flight no longer names it
 * @defer_at_us: it is not named before
 * @near_pass: the last plan in which its turn was near
 * @far_pass: the last plan in which it was to be named
 */
struct wp_job {
	struct wp_pool *pool;
	struct jb_spec *spec;
	struct wp_occurrence **occ;
	uint32_t unfinished_occurrences;
	enum jb_state state;
	bool started;
	bool inherited;
	enum jb_state final_state;
	int64_t arrived_us;
	int64_t first_start_us;
	int64_t last_start_us;
	int64_t objective_us;
	int64_t waited_us[WP_WAITS];
	bool dirty;
	uint64_t dirty_seq;
	int64_t store_not_before_us;
	bool crash_unstored;
	uint64_t crash_commit;
	bool deferred;
	bool resuming;
	int64_t defer_at_us;
	uint32_t near_pass;
	uint32_t far_pass;
	struct wp_job *dirty_prev;
	struct wp_job *dirty_next;
	UT_hash_handle hh;
};

/**
 * struct wp_unacked_end - a run end that may not be acknowledged yet
 * @number: number that the worker gave it
 * @seq: number that the pool gave it, in the order in which the ends of all
 *	workers were read
 */
struct wp_unacked_end {
	uint64_t number;
	uint64_t seq;
};

/** enum wp_blame - what an unreachable worker may have crashed of */
enum wp_blame {
	WP_BLAME_UNKNOWN, /* not decided yet, or it is reachable */
	WP_BLAME_FRESH,	  /* a task that it had just started */
	WP_BLAME_OTHERS,  /* something else: it had just started none */
};

/**
 * struct wp_stray - a start order that was not answered and may arrive late
 * @ref: the task
 * @run: the run
 * @need: resources that the run would take
 * @until_us: it does not arrive later
 * @ruled_out: the worker's incarnation refuses it
 * @stopped_clock_ms: when that incarnation confirmed a stop; 0 before
 * @stop_at_us: when a stop is sent next
 *
 * The incarnation that it was sent to refuses it after its deadline. A later one,
 * whose clock started anew, does so only once it has been told to stop the run.
 */
struct wp_stray {
	struct jb_ref ref;
	uint32_t run;
	struct wp_resources need;
	int64_t until_us;
	bool ruled_out;
	int64_t stopped_clock_ms;
	int64_t stop_at_us;
};

/**
 * struct wp_worker - a worker as the pool's owner knows it
 * @id: name
 * @index: small number, unique in the pool
 * @freed: resources were freed since the last scheduling pass
 * @was_usable: wp_usable() in the last scheduling pass
 * @texts: holds the texts below; replaced as a whole
 * @address: "IP:PORT"; empty when unknown, as the others
 * @domain: failure domain
 * @kind: first label
 * @rack: rack label
 * @vm: VM that it runs on
 * @capacity: resources in all
 * @capacity_until_ms: time on its clock after which its capacity may have shrunk
 *	unnoticed; 0 for no limit
 * @incarnation_ms: when the worker process started, which identifies the
 *	incarnation; 0 before its first reply
 * @incarnation_read_us: when that incarnation was first heard from
 * @listed_incarnation_ms: incarnation that its entry is about; 0 when unknown
 * @known_incarnation_ms: the same, or that of the stored registry
 * @known_since_us: when that was first read
 * @over: it has ended, as a later worker on its VM has answered
 * @listed: service discovery lists it
 * @draining: service discovery says that it receives no new tasks
 * @evacuating: being emptied for maintenance
 * @token_accepted: it has accepted this owner's fencing token
 * @reachable: its last renewal was answered, or refused for a short time
 * @replied_late: its last reply was old when it arrived
 * @inherited: an earlier owner registered it, and may have called it
 * @registered: it is in the stored registry that a later owner reads
 * @registering: the registry in the commit in flight names it
 * @closed: the stored registry may name all tasks on it, so it receives none
 * @opening: the registry in the commit in flight opens it
 * @unleased: the stored registry may say that it has no lease from this owner, so
 *	it gets none, and no tasks
 * @marked: the newest registry, stored or in flight, says so
 * @closed_task: the tasks that the registry names, @closed_task_count of them
 * @close_at_us: it is not closed before
 * @used: resources of tasks that are or may be on it
 * @orphaned: resources of runs on it that belong to none of @tasks
 * @orphan: these runs, as far as their jobs are known, @orphan_count of them
 * @stray: starts that may yet be carried out, @stray_count of them
 * @strayed: resources of those that are not ruled out
 * @has_unlisted_ends: it may have more run ends than its last reply lists
 * @has_unknown_run: it reports a run of a job that the pool does not know
 * @reserved: resources set aside for urgent tasks in the current pass
 * @gang_reserved: resources reserved for gangs, free or not
 * @reserved_members: members of gangs that they are reserved for
 * @reserved_from_us: when the first of these gangs is expected to start
 * @reserved_rank: rank of the most urgent of these gangs
 * @held: resources held for lost tasks, free or not
 * @holds: number of these tasks
 * @tasks: tasks that are or may be on it
 * @clock_ms: its clock when last read
 * @clock_read_us: when that reading arrived; 0 before the first
 * @lease_end_clock_ms: latest lease end or start deadline ever sent to it
 * @late_lease_until_us: until then it may have a lease from a call that was sent
 *	to an earlier incarnation
 * @fence: fencing token of calls to it; 0 for that of the owner
 * @renewal_fence: the same, of the last renewal
 * @unfenced: it has restarted, and earlier calls of this owner may yet be
 *	carried out
 * @unknown_calls: it has restarted, and calls of earlier owners may yet be
 *	carried out
 * @restart_unstored: it has restarted, and the stored registry doesn't say so
 * @restart_seen: something shows that it has restarted, and no incarnation has
 *	answered a call made since
 * @restart_seen_us: when that was read
 * @late_lease_before_us: @late_lease_until_us before that
 * @restart_registering: the registry in flight says so
 * @registered_incarnation_ms: incarnation that the newest registry, stored or in
 *	flight, names
 * @late_lease_registered: the newest registry, stored or in flight, says that it
 *	may have such a lease
 * @earlier_owner_until_us: until then it may run tasks of an earlier owner
 * @processed_end: number of the newest run end processed
 * @unacked: run ends that are not stored, in order, @unacked_count of them
 * @acked_end: run ends up to this number are stored
 * @acked_sent: the renewal in flight acknowledges the ends up to this number
 * @acked_confirmed: the worker has answered an acknowledgement up to this number
 * @unreachable_since_us: when it became unreachable; 0 while it is reachable
 * @fell_silent_us: when it last became unreachable; 0 before
 * @cut_at_us: when the connection failed while it was reachable, which tells
 *	when it crashed; 0 if it did not, or it is reachable again
 * @replaced: another incarnation answers at its address
 * @blame: what it fell silent of
 * @lists_clock_ms: lists that it made before then, on its clock, are outdated
 * @prompt_reply_us: when a reply that was not overdue arrived last
 * @renewal_in_flight: a renewal has no result yet and is not overdue
 * @renew_at_us: when the next renewal is due
 * @renewal_sent_us: when the last renewal was sent
 * @answered_renewal_us: when the last renewal that it answered in time was sent
 * @new_to_owner: first heard of, or restarted, while ownership is unconfirmed
 * @last_renewal_us: when a new lease end was last sent to it; 0 before
 * @unanswered_orders: orders in a row without an answer
 * @unanswered_stops: stops in a row without an answer
 * @failures: failed runs in a row, of different jobs
 * @last_failed_job: job of the last of these
 * @quarantined_until_us: it is not usable before
 * @next_pace_us: the pace of its tasks does not change before
 * @over_capacity: its last reply listed more than its capacity
 * @over_step_limit: its last reply listed more runs of a step than may be there
 */
struct wp_worker {
	const char *id;
	uint32_t index;
	bool freed;
	bool was_usable;
	char *texts;
	const char *address;
	const char *domain;
	const char *kind;
	const char *rack;
	const char *vm;
	struct wp_resources capacity;
	int64_t capacity_until_ms;
	int64_t incarnation_ms;
	int64_t incarnation_read_us;
	int64_t listed_incarnation_ms;
	int64_t known_incarnation_ms;
	int64_t known_since_us;
	bool over;
	bool listed;
	bool draining;
	bool evacuating;
	bool token_accepted;
	bool reachable;
	bool replied_late;
	bool inherited;
	bool registered;
	bool registering;
	bool closed;
	bool opening;
	bool unleased;
	bool marked;
	struct jb_ref *closed_task;
	uint32_t closed_task_count;
	int64_t close_at_us;
	struct wp_resources used;
	struct wp_resources orphaned;
	struct jb_ref *orphan;
	uint32_t orphan_count;
	struct wp_stray *stray;
	uint32_t stray_count;
	struct wp_resources strayed;
	bool has_unlisted_ends;
	bool has_unknown_run;
	struct wp_resources reserved;
	struct wp_resources gang_reserved;
	uint32_t reserved_members;
	int64_t reserved_from_us;
	uint32_t reserved_rank;
	struct wp_resources held;
	uint32_t holds;
	struct wp_task *tasks;
	int64_t clock_ms;
	int64_t clock_read_us;
	int64_t lists_clock_ms;
	int64_t prompt_reply_us;
	int64_t lease_end_clock_ms;
	int64_t late_lease_until_us;
	uint64_t fence;
	uint64_t renewal_fence;
	bool unfenced;
	bool unknown_calls;
	bool restart_unstored;
	bool restart_seen;
	int64_t restart_seen_us;
	int64_t late_lease_before_us;
	bool restart_registering;
	int64_t registered_incarnation_ms;
	bool late_lease_registered;
	int64_t earlier_owner_until_us;
	uint64_t processed_end;
	struct wp_unacked_end *unacked;
	uint32_t unacked_count;
	uint64_t acked_end;
	uint64_t acked_sent;
	uint64_t acked_confirmed;
	int64_t unreachable_since_us;
	int64_t fell_silent_us;
	int64_t cut_at_us;
	bool replaced;
	enum wp_blame blame;
	bool renewal_in_flight;
	int64_t renew_at_us;
	int64_t renewal_sent_us;
	int64_t answered_renewal_us;
	bool new_to_owner;
	int64_t last_renewal_us;
	uint32_t unanswered_orders;
	uint32_t unanswered_stops;
	uint32_t failures;
	char last_failed_job[JB_ID_BYTES];
	int64_t quarantined_until_us;
	int64_t next_pace_us;
	bool over_capacity;
	bool over_step_limit;
	UT_hash_handle hh;
};

/**
 * struct wp_hold - resources held for a long-running task that lost its run
 * @step: step of the task; only compared, as it may be gone
 * @worker: the worker
 * @need: the resources, free or not
 * @from_us: when the task is expected to be able to start there
 */
struct wp_hold {
	const struct wp_step *step;
	struct wp_worker *worker;
	struct wp_resources need;
	int64_t from_us;
};

/** enum wp_order_kind - what an order tells a worker to do */
enum wp_order_kind {
	WP_ORDER_START,
	WP_ORDER_STOP,
	WP_ORDER_PACE,
};

/**
 * struct wp_order - an order to a worker about one run of a task
 * @worker: name of the worker
 * @address: "IP:PORT" of the worker
 * @incarnation_ms: incarnation of the worker that it is meant for
 * @fence: fencing token, if the worker has one of its own; 0 for the owner's
 * @ref: the task
 * @run: the run
 * @payload: for a start; belongs to the job
 * @checkpoint: for a start; may be NULL
 * @ticket: for a start; may be NULL
 * @deadline_clock_ms: for a start, when the worker refuses it; its lease
 *	lasts at least until then
 * @percent: for a pace, share of full speed
 * @sent: for a start, its place in the window of starts
 * @sends: for a start, how often it was sent for this run, with this one; for a
 *	stop, how many stops to its worker in a row had no answer, and this one
 */
struct wp_order {
	enum wp_order_kind kind;
	const char *worker;
	const char *address;
	int64_t incarnation_ms;
	uint64_t fence;
	struct jb_ref ref;
	uint32_t run;
	const char *payload;
	char *checkpoint;
	char *ticket;
	int64_t deadline_clock_ms;
	uint32_t percent;
	struct sw_sent sent;
	uint32_t sends;
	struct wp_order *prev;
	struct wp_order *next;
};

/** enum wp_order_result - result of an order or a lease renewal */
enum wp_order_result {
	WP_ACCEPTED,
	WP_REFUSED_STALE_TOKEN,	 /* the worker has seen a later owner's token */
	WP_REFUSED_STALE_RUN,	 /* it has seen that run, or a later one */
	WP_REFUSED_EXPIRED,	 /* the deadline had passed */
	WP_REFUSED_NO_RESOURCES, /* the task does not fit */
	WP_REFUSED_TICKET,	 /* the ticket is not valid */
	WP_REFUSED_UNHEALTHY,	 /* the worker is unhealthy and did nothing */
	WP_REFUSED_INCARNATION,	 /* another incarnation answered */
	WP_REFUSED_MALFORMED,	 /* the order could not be parsed */
	WP_NOT_SENT,
	WP_NO_ANSWER, /* may have been, or may yet be, carried out */
	WP_OVERDUE,   /* of a renewal: no reply yet, but there may be one */
};

/**
 * struct wp_renewal - what a lease renewal tells a worker
 * @deadline_clock_ms: new end of its lease; 0 while its clock is not known
 * @acked_end: run ends up to this number are stored and need not be reported;
 *	0 for none
 * @wait_ms: how long the worker may wait for a change before it answers
 * @fence: fencing token, if the worker has one of its own; 0 for the owner's
 */
struct wp_renewal {
	int64_t deadline_clock_ms;
	uint64_t acked_end;
	uint32_t wait_ms;
	uint64_t fence;
};

/** enum wp_run_outcome - how a run ended */
enum wp_run_outcome {
	WP_END_DONE,
	WP_END_FAILED,
	WP_END_STOPPED,	      /* by an order */
	WP_END_LEASE_EXPIRED, /* the worker's lease expired */
	WP_END_PEER_ENDED,    /* another member of its gang ended */
	WP_END_GANG_TIMEOUT,  /* not all members of its gang started in time */
};

/**
 * struct wp_running_task - a run on a worker, as the worker reports it
 * @ref: the task
 * @run: the run
 * @checkpoint: where a next run would resume, or NULL
 * @percent: progress
 * @load: tail latency in ms for a task with a latency target
 */
struct wp_running_task {
	struct jb_ref ref;
	uint32_t run;
	const char *checkpoint;
	uint32_t percent;
	uint32_t load;
};

/**
 * struct wp_run_end - the end of a run, as the worker reports it
 * @number: counts up with each end on the worker
 * @ref: the task
 * @run: the run
 * @outcome: how it ended
 * @checkpoint: where the next run resumes, or NULL
 */
struct wp_run_end {
	uint64_t number;
	struct jb_ref ref;
	uint32_t run;
	enum wp_run_outcome outcome;
	const char *checkpoint;
};

/* A worker lists its oldest run ends only, so many at a time. */
#define WP_MAX_LISTED_ENDS 500

/**
 * struct wp_renewal_reply - a worker's reply to a lease renewal
 * @incarnation_ms: when the worker process started
 * @clock_ms: the worker's clock when it made the lists
 * @running: runs on the worker, @running_count of them
 * @end: run ends that were not acknowledged, @end_count of them, but at most
 *	WP_MAX_LISTED_ENDS
 */
struct wp_renewal_reply {
	int64_t incarnation_ms;
	int64_t clock_ms;
	struct wp_running_task *running;
	uint32_t running_count;
	struct wp_run_end *end;
	uint32_t end_count;
};

/**
 * struct wp_worker_info - a worker as service discovery lists it
 * @id: name
 * @address: "IP:PORT"
 * @domain: failure domain
 * @kind: first label
 * @rack: rack label
 * @capacity: resources in all
 * @draining: it receives no new tasks
 * @remaining_ms: not used by the pool
 * @vm: VM that it runs on, or NULL when unknown
 * @incarnation_ms: incarnation that this is about, or 0 when unknown
 * @clock_ms: the worker's clock when it reported this, or 0 when unknown
 */
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
	int64_t incarnation_ms;
	int64_t clock_ms;
};

/* Workers that one advice request may name. */
#define WP_MAX_ADVICE_WORKERS 100

/**
 * struct wp_advice_request - asks which workers may run tasks of a step
 * @job: id of the job
 * @occurrence: occurrence of the step
 * @step: the step
 * @worker: names of the workers, @worker_count of them; they belong to the pool
 * @incarnation_ms: incarnations of these that it is about
 * @slots: tasks of the step that are expected to fit on these workers
 * @base_cost_us: time that an answer takes
 * @worker_cost_us: added for each worker named
 * @valid_ms: validity of a ticket
 * @priority: of the job; 0 is the most urgent
 * @urgent: a long-running task that lost its run needs it; goes first
 * @made_us: when the request was made
 */
struct wp_advice_request {
	char job[JB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	const char *worker[WP_MAX_ADVICE_WORKERS];
	int64_t incarnation_ms[WP_MAX_ADVICE_WORKERS];
	uint32_t worker_count;
	uint32_t slots;
	uint32_t base_cost_us;
	uint32_t worker_cost_us;
	uint32_t valid_ms;
	uint32_t priority;
	bool urgent;
	int64_t made_us;
};

/** struct wp_approval - a worker that the advice service approved */
struct wp_approval {
	const char *worker;
	const char *ticket;
};

/** enum wp_over_kind - a limit of what runs on a worker */
enum wp_over_kind {
	WP_OVER_CAPACITY,   /* the worker's capacity */
	WP_OVER_STEP_LIMIT, /* a step's limit per worker */
};

/**
 * struct wp_stats - counts since the pool was created
 * @starts: start orders, repeated ones included
 * @ends: run ends, by outcome
 * @refused: results of orders, by result
 * @displaced: tasks that were moved off their worker before they ended
 * @leases_expired: leases of workers with tasks that were taken to have expired
 * @over: workers that had ended, as later ones on their VMs showed
 * @advice_requests: advice requests
 * @passes: scheduling passes
 * @restored: long-running tasks that run again
 * @crashes: suspected runs whose worker has crashed
 * @given_up: jobs that failed because a task of them crashes its workers
 * @over_limit: how often a worker came to list more than a limit, by limit
 */
struct wp_stats {
	uint64_t starts;
	uint64_t ends[WP_END_GANG_TIMEOUT + 1];
	uint64_t refused[WP_NO_ANSWER + 1];
	uint64_t displaced;
	uint64_t leases_expired;
	uint64_t over;
	uint64_t advice_requests;
	uint64_t passes;
	uint64_t restored;
	uint64_t crashes;
	uint64_t given_up;
	uint64_t over_limit[WP_OVER_STEP_LIMIT + 1];
};

/**
 * struct wp_counts - tasks by state and workers by use, for metrics
 * @jobs: jobs that have not ended
 * @waiting: waiting tasks of ready steps
 * @running: tasks that are starting, running or being stopped
 * @held: tasks in WP_TASK_UNRECONCILED
 * @usable: workers that may receive tasks
 * @unfenced: workers that have not accepted this owner's fencing token, without
 *	those on which nothing runs any more and that are not listed
 * @cpu_percent: share of the usable workers' cores that is taken
 * @gpu_percent: share of their accelerators that is taken
 * @late: waiting tasks of ready steps that will miss their objective
 * @asking: steps with an advice request in flight
 * @unreachable: those, likewise, whose last renewal was not answered
 * @overfull: usable workers whose tasks take more than their capacity
 * @outdated: workers not used since their capacity was reported too long ago
 * @stops_unanswered: tasks that are being stopped, and whose worker hasn't
 *	confirmed the stop
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
	uint32_t unreachable;
	uint32_t overfull;
	uint32_t outdated;
	uint32_t stops_unanswered;
};

/**
 * struct wp_queue_waits - what the steps of a queue wait for
 * @queue: the queue; belongs to the pool
 * @gangs: it counts the gangs; otherwise all other steps
 * @steps: waiting steps, by cause
 * @cpu_mcpu: cores that their waiting tasks need, by cause
 */
struct wp_queue_waits {
	const char *queue;
	bool gangs;
	uint32_t steps[WP_WAITS];
	int64_t cpu_mcpu[WP_WAITS];
};

/** enum wp_without_run_why - what the next run of a long-running task waits for */
enum wp_without_run_why {
	WP_WITHOUT_RUN_HELD, /* workers that may run it for an earlier owner */
	WP_WITHOUT_RUN_OLDER_RUN, /* the stop of an earlier owner's run */
	WP_WITHOUT_RUN_SILENT,	  /* the lease of its worker, which is silent */
	WP_WITHOUT_RUN_WAITS,	  /* resources or its turn */
	WP_WITHOUT_RUN_ADVICE,	  /* a valid ticket for any worker */
};

/**
 * struct wp_without_run - long-running tasks of a step that have or may have had
 *	no run for seconds
 * @ref: the first of them
 * @run: its newest run
 * @state: its state
 * @why: what its next run waits for
 * @tasks: how many there are
 * @for_us: for how long at most
 * @worker: worker whose lease is waited for, the longest; empty for none; belongs
 *	to the pool
 * @listed: discovery lists this worker
 * @left_us: until that lease has certainly expired; negative if it has, and the
 *	ownership isn't confirmed
 */
struct wp_without_run {
	struct jb_ref ref;
	uint32_t run;
	enum wp_task_state state;
	enum wp_without_run_why why;
	uint32_t tasks;
	int64_t for_us;
	const char *worker;
	bool listed;
	int64_t left_us;
};

/**
 * struct wp_gang_wait - why a gang has not started
 * @job: its job; belongs to the pool
 * @step: number of the step
 * @rank: position among the waiting gangs, from 0
 * @members: tasks of the gang
 * @waiting: those that wait; a gang starts only when all do
 * @approved: workers that have approved it
 * @valid: those whose ticket is still valid
 * @room: members that could start on these, past reservations of other gangs
 * @requested: workers that the request in flight names
 * @asked_us: since when that request has been in flight; 0 for none
 * @planned_us: when it is expected to start; INT64_MAX for never
 * @reserved: resources are reserved for it
 * @not_before_us: earliest start of the member that has to wait longest
 * @suspects: members that may have crashed their workers
 */
struct wp_gang_wait {
	const char *job;
	uint32_t step;
	uint32_t rank;
	uint32_t members;
	uint32_t waiting;
	uint32_t approved;
	uint32_t valid;
	uint32_t room;
	uint32_t requested;
	int64_t asked_us;
	int64_t planned_us;
	bool reserved;
	int64_t not_before_us;
	uint32_t suspects;
};

/** enum wp_stuck_why - what keeps a task from running, for logs */
enum wp_stuck_why {
	WP_STUCK_ORDER,	     /* its start or stop has no result */
	WP_STUCK_HELD,	     /* it waits for workers of an earlier owner */
	WP_STUCK_NOT_READY,  /* the steps before are done, and it isn't ready */
	WP_STUCK_UNLISTED,   /* its step isn't among those that may start */
	WP_STUCK_DEFERRED,   /* the registry names its job as not started */
	WP_STUCK_RETRY,	     /* it may not start again yet */
	WP_STUCK_SUSPECT,    /* crashes under it or its siblings bar it */
	WP_STUCK_AVOIDS,     /* it avoids the workers with room */
	WP_STUCK_RESERVED,   /* what is free is reserved for gangs */
	WP_STUCK_UNANSWERED, /* an advice request is in flight */
	WP_STUCK_NOT_ASKED,  /* advice has not been requested */
	WP_STUCK_NO_APPROVAL, /* all suitable workers are disapproved */
	WP_STUCK_SCAN,	      /* it could start, and is not started */
};

/**
 * struct wp_stuck - a task that has had no run for long beside room for it
 * @ref: the task
 * @run: its newest run
 * @state: its state
 * @why: what keeps it from running
 * @waited_us: how long it has been seen so
 * @not_before_us: earliest next start
 * @worker: worker that it is on; empty for none; belongs to the pool
 * @waiting: the step's count of waiting tasks
 * @listed: the step is among those that may start
 * @ahead: steps among these that go before it, whose turn comes first
 * @suspects: tasks of the step under which workers may have crashed
 * @room: usable workers with room for it, whether approved or not
 * @answered: workers that the advice service has answered about
 * @approved: workers approved by its last answers
 * @valid: those whose ticket is still valid
 * @requested: workers that requests in flight name
 * @in_flight: these requests
 * @requested_slots: slots that they ask for
 */
struct wp_stuck {
	struct jb_ref ref;
	uint32_t run;
	enum wp_task_state state;
	enum wp_stuck_why why;
	int64_t waited_us;
	int64_t not_before_us;
	const char *worker;
	uint32_t waiting;
	bool listed;
	uint32_t ahead;
	uint32_t suspects;
	uint32_t room;
	uint32_t answered;
	uint32_t approved;
	uint32_t valid;
	uint32_t requested;
	uint32_t in_flight;
	uint32_t requested_slots;
};

/** enum wp_crash_kind - what became known of a run and its worker's crash */
enum wp_crash_kind {
	WP_CRASH_SUSPECTED, /* its worker is silent and may have crashed */
	WP_CRASH_CONFIRMED, /* its worker has crashed */
	WP_CRASH_REFUTED,   /* its worker was only silent */
	WP_CRASH_GIVEN_UP,  /* too many workers have crashed under its task */
};

/**
 * struct wp_crash_event - a change of what is known of a crash, for logs
 * @ref: the task
 * @crash: the run
 * @crashes: workers that have crashed under the task so far
 */
struct wp_crash_event {
	enum wp_crash_kind kind;
	struct jb_ref ref;
	struct jb_crash crash;
	uint32_t crashes;
	struct wp_crash_event *prev;
	struct wp_crash_event *next;
};

/**
 * struct wp_over_event - a worker has come to list more than a limit, for logs
 * @worker: worker
 * @incarnation_ms: its incarnation
 * @clock_ms: its clock when it made the list
 * @capacity: its capacity, as last reported
 * @listed: resources of the runs that it lists, as far as their jobs are known
 * @used: resources of the tasks that were placed there before this reply
 * @orphaned: resources of other runs there, by the reply before
 * @runs: the first of these runs, each with a mark: '+' for the newest run of a
 *	task that is placed there, '-' for another, '?' if its job is unknown
 * @run_count: the runs listed; for a step's limit, those of the step
 */
struct wp_over_event {
	enum wp_over_kind kind;
	const char *worker;
	int64_t incarnation_ms;
	int64_t clock_ms;
	struct wp_resources capacity;
	struct wp_resources listed;
	struct wp_resources used;
	struct wp_resources orphaned;
	char *runs;
	uint32_t run_count;
	struct wp_over_event *prev;
	struct wp_over_event *next;
};

/** enum wp_lease_why - where the end of a worker's lease comes from, for logs */
enum wp_lease_why {
	WP_LEASE_INHERITED, /* an earlier owner may have renewed it */
	WP_LEASE_MARKED,    /* the same; the registry says until when */
	WP_LEASE_RENEWED,   /* this owner has renewed it */
	WP_LEASE_LONGEST,   /* a call that is not known of may have */
};

/** enum wp_lease_kind - what became known of a worker, or was concluded */
enum wp_lease_kind {
	WP_LEASE_RESTARTED,	 /* it has a new incarnation */
	WP_LEASE_TOKEN_ACCEPTED, /* it has accepted the owner's token */
	WP_LEASE_EXPIRED,	 /* its runs are taken to have ended */
};

/**
 * struct wp_lease_event - what a worker's lease is taken to be, for logs
 * @worker: worker
 * @incarnation_ms: its incarnation; of a restart, the new one
 * @known_incarnation_ms: the one that its entry or the registry named before
 * @earlier_incarnation_ms: of a restart, the one before; else 0
 * @clock_ms: its clock, as estimated; of a restart, the new one's, as told; -1
 *	when unknown
 * @earlier_clock_ms: of a restart, the earlier clock as estimated; -1 when unknown
 * @replied: of a restart, a reply tells of it, and not an entry
 * @lease_end_clock_ms: end of its lease on its clock, as taken so far
 * @lease_left_us: time until its lease is taken to have expired
 * @why: where that comes from
 * @silent_us: age of its last reply; -1 if there is none
 * @tasks: tasks that are or may be on it
 * @skipped: events before this one that were not kept
 */
struct wp_lease_event {
	enum wp_lease_kind kind;
	const char *worker;
	int64_t incarnation_ms;
	int64_t known_incarnation_ms;
	int64_t earlier_incarnation_ms;
	int64_t clock_ms;
	int64_t earlier_clock_ms;
	bool replied;
	int64_t lease_end_clock_ms;
	int64_t lease_left_us;
	enum wp_lease_why why;
	int64_t silent_us;
	uint32_t tasks;
	uint32_t skipped;
	struct wp_lease_event *prev;
	struct wp_lease_event *next;
};

/**
 * struct wp_pool - a pool's jobs and workers
 * @name: service
 * @term: counts the owners
 * @superseded: a worker has accepted a later owner's token; nothing more is
 *	ordered
 * @draining: nothing new is started
 * @ownership_unconfirmed: a later owner may exist and renew workers' leases
 * @jobs: by id
 * @dirty: jobs whose progress is not stored, in the order they became dirty
 * @workers: by name; none is ever removed
 * @approval_rates: by queue
 * @worker_count: workers so far
 * @worker_by_index: worker of each index
 * @ready: steps that may start, in the order in which they start
 * @ready_level: the first ready step on each level
 * @ready_inserted: steps that were put among them
 * @upcoming: steps that advice is requested for before they are ready
 * @orders: orders to be fetched with wp_next_order()
 * @starts: start orders without a result
 * @starts_delayed: in the last pass, steps waited for @starts to be answered
 * @suspects: tasks under which workers have or may have crashed
 * @crashes_checked_us: when the outcome of these crashes was last looked for
 * @crash_events: to be fetched with wp_next_crash_event()
 * @first_tick_us: time of the first tick; 0 before
 * @earlier_owner_until_us: until then earlier owners may act on workers
 * @knows_registered: all workers that earlier owners registered have been added
 * @capacity_valid_ms: how long a worker's report of its capacity can be relied
 *	on, on its clock; 0 for no limit
 * @max_lease_ms: longest lease that workers grant
 * @end_seq: run ends read from workers so far
 * @commit_seq: run ends before this one are stored, or in the commit in flight
 * @commits: commits that are stored
 * @reconciled: no worker can run a task that this owner does not know of
 * @reconcile_pass: counts the passes of wp_reconcile_tick()
 * @reserve_at_us: when gangs are planned next
 * @hold: resources held for lost tasks, @hold_count entries
 * @lost_step: steps with such tasks that need advice, @lost_step_count entries
 * @restore_at_us: when these tasks are planned next
 * @longest_restore_us: longest time that one of them has waited until it ran
 *	again, since wp_take_longest_restore_us()
 * @sample_waits_at_us: when to sample next what steps wait for
 * @check_over_at_us: when to look next for workers that have ended
 * @registry_dirty: the stored registry of workers is out of date
 * @close_at_us: no registry is stored before only to close workers
 * @near_work_ms: jobs with less work of their queue before them, on all workers,
 *	are not deferred; 0 if none are
 * @defer_pass: counts the plans of which jobs to defer
 * @defer_at_us: when that is next planned
 * @early_jobs: jobs that the next registry no longer names before their turn
 * @named_identities: identities of forgotten jobs that the stored registry names
 * @over_events: workers that have come to list more than a limit, for logs
 * @over_window_us: when the current second of these events began
 * @over_in_window: these events in that second
 * @lease_events: to be fetched with wp_next_lease_event()
 * @lease_window_us: when the current second of these events began
 * @lease_in_window: these events in that second
 * @lease_skipped: events that were not kept since the last one that was
 * @stats: counts for metrics
 */
struct wp_pool {
	const char *name;
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
	struct wp_step *ready_level[WP_READY_LEVELS];
	uint32_t ready_inserted;
	struct wp_step *upcoming;
	struct wp_order *orders;
	struct sw_window starts;
	bool starts_delayed;
	struct wp_task *suspects;
	int64_t crashes_checked_us;
	struct wp_crash_event *crash_events;
	int64_t first_tick_us;
	int64_t earlier_owner_until_us;
	bool knows_registered;
	int64_t capacity_valid_ms;
	int64_t max_lease_ms;
	uint64_t end_seq;
	uint64_t commit_seq;
	uint64_t commits;
	bool reconciled;
	uint32_t reconcile_pass;
	int64_t reserve_at_us;
	struct wp_hold *hold;
	uint32_t hold_count;
	struct wp_step **lost_step;
	uint32_t lost_step_count;
	int64_t restore_at_us;
	int64_t longest_restore_us;
	int64_t sample_waits_at_us;
	int64_t check_over_at_us;
	bool registry_dirty;
	int64_t close_at_us;
	int64_t near_work_ms;
	uint32_t defer_pass;
	int64_t defer_at_us;
	uint32_t early_jobs;
	struct wp_named_identity *named_identities;
	struct wp_over_event *over_events;
	int64_t over_window_us;
	uint32_t over_in_window;
	struct wp_lease_event *lease_events;
	int64_t lease_window_us;
	uint32_t lease_in_window;
	uint32_t lease_skipped;
	struct wp_stats stats;
};

/**
 * struct wp_settings - settings of a pool
 * @term: counts the owners, so that run numbers of different owners differ
 * @earlier_owner_until_us: until then an earlier owner may renew leases
 * @capacity_valid_ms: how long a worker's report of its capacity can be relied
 *	on, on its clock; 0 for no limit
 * @max_lease_ms: longest lease that workers grant
 * @near_work_ms: how much work of a queue, on all workers, may start without the
 *	store; jobs after that are deferred; 0 if none are
 */
struct wp_settings {
	uint32_t term;
	int64_t earlier_owner_until_us;
	int64_t capacity_valid_ms;
	int64_t max_lease_ms;
	int64_t near_work_ms;
};

/**
 * wp_create() - create an empty pool
 * @ctx: talloc parent
 * @name: service
 * @settings: settings; not kept
 *
 * Return: the pool, to be freed with talloc_free(). Like all functions here,
 * aborts when memory runs out.
 */
struct wp_pool *wp_create(
    TALLOC_CTX *ctx, const char *name, const struct wp_settings *settings);

/**
 * wp_add_job() - take a job into the pool
 * @p: pool
 * @spec: job; the pool takes ownership of it
 * @progress: what is stored of it, or NULL for a new one; not kept
 * @is_new: accepted after this owner took over, so no other has started it
 * @wall_to_us: offset in microseconds from the wall clock to the monotonic
 *	clock
 * @now_us: time
 *
 * Return: the job; belongs to the pool.
 */
struct wp_job *wp_add_job(struct wp_pool *p, struct jb_spec *spec,
    const struct jb_progress *progress, bool is_new, int64_t wall_to_us,
    int64_t now_us);

/** wp_find_job() - find a job by id, or NULL */
struct wp_job *wp_find_job(struct wp_pool *p, const char *id);

/**
 * wp_end_job() - end a job in the state that an earlier owner has reported
 * @p: pool
 * @job: the job
 * @state: its final state
 * @now_us: time
 *
 * Callers may have seen that state, so nothing of the job is started any more.
 * What was started before is stopped first.
 */
void wp_end_job(
    struct wp_pool *p, struct wp_job *job, enum jb_state state, int64_t now_us);

/** wp_cancel_job() - stop a job's tasks and start no more */
void wp_cancel_job(struct wp_pool *p, struct wp_job *job, int64_t now_us);

/** wp_forget_job() - remove and free a job that has ended and is stored */
void wp_forget_job(struct wp_pool *p, struct wp_job *job, int64_t now_us);

/**
 * wp_set_worker() - add or update a worker that service discovery lists
 * @p: pool
 * @info: worker; not kept
 * @now_us: time
 */
void wp_set_worker(
    struct wp_pool *p, const struct wp_worker_info *info, int64_t now_us);

/** wp_unlist_worker() - service discovery no longer lists a worker */
void wp_unlist_worker(struct wp_pool *p, const char *id);

/**
 * wp_add_registered_worker() - add a worker that an earlier owner registered
 * @p: pool
 * @id: worker
 * @address: "IP:PORT"
 * @now_us: time
 *
 * The earlier owner may have tasks on it, even when service discovery does not
 * list it at present. Does nothing for a worker that the pool knows.
 */
void wp_add_registered_worker(
    struct wp_pool *p, const char *id, const char *address, int64_t now_us);

/**
 * wp_describe_registered_worker() - say which worker the registry is about
 * @p: pool
 * @id: worker
 * @vm: VM that it runs or ran on; empty when unknown
 * @incarnation_ms: its newest incarnation known; 0 when unknown
 * @now_us: time
 */
void wp_describe_registered_worker(struct wp_pool *p, const char *id,
    const char *vm, int64_t incarnation_ms, int64_t now_us);

/**
 * wp_inherit_late_lease() - the registry says how long a worker may have a lease
 * from a call for an earlier incarnation
 * @p: pool
 * @id: worker
 * @left_ms: how long from when the registry was stored; 0 for not at all, -1 where
 *	the registry doesn't say
 * @since_us: when the registry was read, or earlier but after it was stored
 */
void wp_inherit_late_lease(
    struct wp_pool *p, const char *id, int64_t left_ms, int64_t since_us);

/** wp_late_lease_ms() - what the registry says of that */
int64_t wp_late_lease_ms(const struct wp_worker *w, int64_t now_us);

/**
 * wp_is_fenced_by_owner() - whether a call was refused for a later call of the same
 * owner
 * @w: worker that refused it
 * @fence: what the call's @fence was
 */
bool wp_is_fenced_by_owner(const struct wp_worker *w, uint64_t fence);

/** wp_newest_incarnation_ms() - newest incarnation known, or 0 */
int64_t wp_newest_incarnation_ms(const struct wp_worker *w);

/**
 * wp_registry_loaded() - all workers of the stored registry have been added
 *
 * Earlier owners gave no task to any other worker.
 */
void wp_registry_loaded(struct wp_pool *p);

/**
 * wp_is_named() - whether the registry being stored names a job as not started
 * @job: job
 *
 * From wp_registry_begin() on, for as long as that registry is the newest.
 */
bool wp_is_named(const struct wp_job *job);

/**
 * wp_job_never_started() - the stored registry names a job as not started
 * @p: pool of a new owner, with all its jobs
 * @id: job
 * @now_us: time
 *
 * The registry has to be the last owner's. The job's tasks wait for no worker.
 */
void wp_job_never_started(struct wp_pool *p, const char *id, int64_t now_us);

/**
 * wp_close_registered_worker() - say which tasks may be on a registered worker
 * @p: pool
 * @id: worker
 * @task: all tasks that an earlier owner may have on it; not kept
 * @task_count: number of these
 *
 * Other tasks do not wait for it while it does not respond.
 */
void wp_close_registered_worker(struct wp_pool *p, const char *id,
    const struct jb_ref *task, uint32_t task_count);

/**
 * wp_inherited_lease_ms() - for how long leases of earlier owners may last on a
 * worker that has none from this owner
 */
int64_t wp_inherited_lease_ms(const struct wp_worker *w, int64_t now_us);

/**
 * wp_mark_registered_worker() - a worker has no lease from the last owner
 * @p: pool
 * @id: worker
 * @left_ms: for how long those of earlier ones may last, as stored
 * @since_us: when the registry that says so was stored, or later
 */
void wp_mark_registered_worker(
    struct wp_pool *p, const char *id, int64_t left_ms, int64_t since_us);

/**
 * wp_is_holding() - whether a worker may run tasks of an earlier owner, or have
 * ends of their runs that it has not listed yet
 */
bool wp_is_holding(const struct wp_worker *w, int64_t now_us);

/** wp_registry_begin() - decide what the registry about to be stored says */
void wp_registry_begin(struct wp_pool *p, int64_t now_us);

/**
 * wp_registry_end() - that registry is stored
 * @p: pool
 * @revision: store revision of the commit, which the owner's key was a condition of
 */
void wp_registry_end(struct wp_pool *p, uint64_t revision);

/**
 * wp_earlier_owners_stopped() - earlier owners renew no more leases
 * @p: pool
 * @leases_end_us: when the leases that they have renewed will have expired
 *
 * Shortens the wait for workers that do not answer; never prolongs it.
 */
void wp_earlier_owners_stopped(struct wp_pool *p, int64_t leases_end_us);

/**
 * wp_needs_registration() - whether a later owner has to know of a worker
 *
 * Return: true while tasks may run on it, or may be sent to it.
 */
bool wp_needs_registration(const struct wp_worker *w, int64_t now_us);

/** wp_find_worker() - find a worker by name, or NULL */
struct wp_worker *wp_find_worker(struct wp_pool *p, const char *id);

/** wp_find_worker_on_vm() - find the newest listed worker on a VM, or NULL */
struct wp_worker *wp_find_worker_on_vm(struct wp_pool *p, const char *vm);

/** wp_cancel_evacuations() - empty no worker for maintenance any more */
void wp_cancel_evacuations(struct wp_pool *p);

/** wp_is_worker_empty() - whether nothing is or may be running on a worker */
bool wp_is_worker_empty(const struct wp_worker *w);

/**
 * wp_may_take_down() - whether a worker may be taken down with tasks on it
 *
 * Return: false when one of them runs until its job is cancelled and its step
 * limits how many tasks may be unavailable.
 */
bool wp_may_take_down(const struct wp_worker *w);

/** wp_tick() - handle everything that is due, then run a scheduling pass */
void wp_tick(struct wp_pool *p, int64_t now_us);

/**
 * wp_schedule() - run a scheduling pass: start the tasks that can start
 *
 * For use between ticks, when something has changed.
 */
void wp_schedule(struct wp_pool *p, int64_t now_us);

/**
 * wp_bypasses_relays() - whether an order is sent to its worker directly
 * @o: order
 */
bool wp_bypasses_relays(const struct wp_order *o);

/**
 * wp_next_order() - take the next order to send
 *
 * Return: the order, which the caller frees with talloc_free(), or NULL.
 */
struct wp_order *wp_next_order(struct wp_pool *p);

/**
 * wp_next_crash_event() - take the next event about a worker's crash
 *
 * Return: the event, which the caller frees with talloc_free(), or NULL.
 */
struct wp_crash_event *wp_next_crash_event(struct wp_pool *p);

/** wp_crash_kind_name() - name of a kind of event in logs */
const char *wp_crash_kind_name(enum wp_crash_kind kind);

/**
 * wp_next_over_event() - take the next event about a worker that is over a limit
 *
 * Return: the event, which the caller frees with talloc_free(), or NULL.
 */
struct wp_over_event *wp_next_over_event(struct wp_pool *p);

/** wp_over_kind_name() - name of a limit in logs */
const char *wp_over_kind_name(enum wp_over_kind kind);

/**
 * wp_next_lease_event() - take the next event about a worker's lease
 *
 * Return: the event, which the caller frees with talloc_free(), or NULL.
 */
struct wp_lease_event *wp_next_lease_event(struct wp_pool *p);

/** wp_lease_kind_name() - name of such an event in logs */
const char *wp_lease_kind_name(enum wp_lease_kind kind);

/** wp_count_tasks() - tasks that are or may be on a worker */
uint32_t wp_count_tasks(const struct wp_worker *w);

/** wp_lease_left_us() - time until a silent worker's runs must have ended */
int64_t wp_lease_left_us(const struct wp_worker *w, int64_t now_us);

/** wp_lease_why() - where the end of a worker's lease comes from */
enum wp_lease_why wp_lease_why(const struct wp_worker *w, int64_t now_us);

/** wp_lease_why_name() - name of that in logs */
const char *wp_lease_why_name(enum wp_lease_why why);

/**
 * wp_on_order_result() - handle the result of an order
 * @p: pool
 * @o: order
 * @result: result
 * @clock_ms: the worker's clock in its answer, or 0
 * @now_us: time
 *
 * Return: whether the run still counts as being on the worker; false after a
 * start that was taken as not carried out.
 */
bool wp_on_order_result(struct wp_pool *p, const struct wp_order *o,
    enum wp_order_result result, int64_t clock_ms, int64_t now_us);

/**
 * wp_renewal_due() - whether to renew a worker's lease now
 * @p: pool
 * @w: worker
 * @now_us: time
 * @renewal: what to send
 *
 * Return: true after filling in @renewal, which then counts as in flight until
 * wp_on_renewal() or wp_on_renewal_failed().
 */
bool wp_renewal_due(struct wp_pool *p, struct wp_worker *w, int64_t now_us,
    struct wp_renewal *renewal);

/** wp_on_renewal() - handle a worker's reply to a renewal */
void wp_on_renewal(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);

/**
 * wp_on_overdue_reply() - handle a reply to a renewal that was overdue
 * @p: pool
 * @w: worker
 * @reply: the reply
 * @fence: what the renewal's @fence was
 * @now_us: time
 *
 * Other renewals may have been sent and answered meanwhile. A worker that has
 * listed a run end has reported it, so its task must not be started again.
 */
void wp_on_overdue_reply(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, uint64_t fence, int64_t now_us);

/**
 * wp_on_renewal_failed() - handle a renewal that was refused, not answered or
 * is overdue
 * @p: pool
 * @w: worker
 * @result: why
 * @now_us: time
 */
void wp_on_renewal_failed(struct wp_pool *p, struct wp_worker *w,
    enum wp_order_result result, int64_t now_us);

/**
 * wp_next_advice_request() - make the next advice request
 * @p: pool
 * @now_us: time
 * @request: what to send
 *
 * Return: true after filling in @request, which then counts as in flight until
 * wp_on_advice().
 */
bool wp_next_advice_request(
    struct wp_pool *p, int64_t now_us, struct wp_advice_request *request);

/**
 * wp_on_advice() - handle an answer of the advice service
 * @p: pool
 * @request: the request
 * @ok: whether it was answered
 * @approved: workers that may run the step, @approved_count of them
 * @valid_from_us: when the validity of the tickets begins
 * @now_us: time
 */
void wp_on_advice(struct wp_pool *p, const struct wp_advice_request *request,
    bool ok, const struct wp_approval *approved, uint32_t approved_count,
    int64_t valid_from_us, int64_t now_us);

/**
 * wp_next_dirty() - take the next job whose progress has to be stored
 * @p: pool
 * @ctx: talloc parent of the progress
 * @now_us: time
 * @progress: what to store
 *
 * Jobs that have ended come first; others are stored at intervals.
 *
 * Return: the job, which is no longer dirty, or NULL.
 */
struct wp_job *wp_next_dirty(struct wp_pool *p, TALLOC_CTX *ctx, int64_t now_us,
    struct jb_progress *progress);

/** wp_is_store_due() - whether wp_next_dirty() would return a job */
bool wp_is_store_due(struct wp_pool *p, int64_t now_us);

/** wp_mark_dirty() - a job's progress has to be stored, or stored again */
void wp_mark_dirty(struct wp_job *job);

/** wp_commit_begin() - a commit begins with what wp_next_dirty() returned */
void wp_commit_begin(struct wp_pool *p);

/**
 * wp_commit_end() - that commit is stored
 *
 * The run ends that it contains may be acknowledged to their workers.
 */
void wp_commit_end(struct wp_pool *p, int64_t now_us);

/**
 * wp_take_longest_restore_us() - the longest wait of a task that runs again
 *
 * From when it might start, since the last call; 0 if there was none.
 */
int64_t wp_take_longest_restore_us(struct wp_pool *p);

/** wp_get_counts() - count tasks and workers for metrics */
void wp_get_counts(
    const struct wp_pool *p, int64_t now_us, struct wp_counts *n);

/**
 * wp_find_without_run() - find long-running tasks without a run, for logs
 * @p: pool
 * @owned_us: since when the pool has had its owner
 * @now_us: time
 * @list: filled in, one row for each step
 * @max: rows that fit in @list
 *
 * Return: number of rows.
 */
uint32_t wp_find_without_run(const struct wp_pool *p, int64_t owned_us,
    int64_t now_us, struct wp_without_run *list, uint32_t max);

/** wp_without_run_name() - name of what a run waits for, in logs */
const char *wp_without_run_name(enum wp_without_run_why why);

/**
 * wp_get_waits() - what the ready steps wait for, for metrics
 * @p: pool
 * @now_us: time
 * @list: filled in, a row for each queue and kind of step
 * @max: rows that fit in @list
 *
 * Return: number of rows.
 */
uint32_t wp_get_waits(const struct wp_pool *p, int64_t now_us,
    struct wp_queue_waits *list, uint32_t max);

/**
 * wp_get_gang_waits() - why the first waiting gangs have not started, for logs
 * @p: pool
 * @now_us: time
 * @list: filled in, in scheduling order
 * @max: rows that fit in @list
 *
 * Return: number of rows.
 */
uint32_t wp_get_gang_waits(const struct wp_pool *p, int64_t now_us,
    struct wp_gang_wait *list, uint32_t max);

/**
 * wp_find_stuck() - find tasks that have had no run for seconds beside free room
 * @p: pool
 * @now_us: time
 * @list: filled in, one row for each step
 * @max: rows that fit in @list
 *
 * To be called at intervals, by which the time of each task is measured. Looks
 * for room for a limited number of steps, and changes no decision.
 *
 * Return: number of rows.
 */
uint32_t wp_find_stuck(
    struct wp_pool *p, int64_t now_us, struct wp_stuck *list, uint32_t max);

/** wp_stuck_name() - name of what keeps a task from running, in logs */
const char *wp_stuck_name(enum wp_stuck_why why);

/** wp_wait_name() - name of a cause in logs and metrics */
const char *wp_wait_name(enum wp_wait wait);

/** wp_public_state() - state of a job as callers may see it */
enum jb_state wp_public_state(const struct wp_job *job);

#endif
