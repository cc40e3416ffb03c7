#ifndef STATE_POOL_INTERNAL_H
#define STATE_POOL_INTERNAL_H

#include "common/clock.h"
#include "state/pool.h"

/**
 * DOC: Shared by the pool's files. Lowest first: pool_ready (the order in which
 * steps start), pool_task (state changes of tasks, steps and jobs), pool_store (what to store and acknowledge),
 * pool_stray (starts that may be carried out late), pool_stop (stops without an
 * effect), pool_straggler (workers that fail tasks or make no progress), pool_lists
 * (what workers list: ends and running tasks), pool_order (answers to orders),
 * pool_worker (workers and leases), pool_reconcile (what may still run
 * for an earlier owner), pool_gone (workers that have ended, as a later one runs on
 * their VM), pool_restart (workers that restart under their names), pool_unleased (workers that have no lease from this owner), pool_defer (jobs that no later owner has to wait for),
 * pool_gang, pool_approval (what the advice service approves, and how fast),
 * pool_advice (tickets), pool_reserve (resources kept for gangs), pool_restore
 * (those kept for long-running tasks that lost their run), pool_lost_advice (their
 * tickets), pool_victims (what is
 * stopped for these), pool_forecast
 * (resources left for the next steps), pool_request (workers that an advice
 * request names), pool_ask (steps that request advice),
 * pool_outlook (lateness), pool_waits (what steps wait for), pool_without_run (what
 * long-running tasks wait for),
 * pool_sharing (throttling), pool_copy (speculative copies of tasks),
 * pool_crash (crashes of workers under tasks), pool_suspect (which tasks may
 * have caused them, and how these start again),
 * pool_retire (emptying workers for maintenance), pool_over (workers that list
 * more than they may hold), pool_lease (how long leases last), pool_lease_events (what leases are taken to be), pool_sched (which task starts
 * where), pool_stuck (what keeps tasks from running), pool (jobs and ticks).
 */

/* Run numbers of a later owner are always higher. */
#define WP_RUNS_PER_TERM 1000
/* Lease of a worker; well below the time after which its entry expires. */
#define WP_LEASE_US (3 * CLK_US_PER_S)
/* A worker refuses a start order that arrives later. */
#define WP_START_VALID_US (1500 * CLK_US_PER_MS)
/* A start order has to arrive before the worker's capacity is out of date. */
#define WP_START_MARGIN_MS 250
#define WP_FULL_PACE 100
/* A start order has to arrive before its ticket expires. */
#define WP_TICKET_MARGIN_US (100 * CLK_US_PER_MS)
/* Delay before a task starts again, and before an order is sent again. */
#define WP_RESTART_DELAY_US (100 * CLK_US_PER_MS)
#define WP_RESEND_DELAY_US (400 * CLK_US_PER_MS)
/* An order that is not answered may be carried out this much later. */
#define WP_MAX_ORDER_DELAY_US (12500 * CLK_US_PER_MS)
/* Longer than any lease of before; a stored time that says more is wrong. */
#define WP_MAX_LEFT_MS 60000
/* Added to the time at which a worker's lease expires. */
#define WP_EXPIRY_MARGIN_US (150 * CLK_US_PER_MS)
/* Between two writes of the progress of a job that has not ended. */
#define WP_STORE_INTERVAL_US (300 * CLK_US_PER_MS)

/** wp_task_resources() - resources that one task of a step takes */
struct wp_resources wp_task_resources(const struct jb_step *step);
/** wp_resources_add() - add resources, or subtract them with a @sign of -1 */
void wp_resources_add(
    struct wp_resources *to, const struct wp_resources *n, int sign);
/** wp_resources_clip() - what a worker has too little of counts as none left */
void wp_resources_clip(struct wp_resources *n);
/** wp_resources_fit() - whether resources cover a need */
bool wp_resources_fit(
    const struct wp_resources *available, const struct wp_resources *need);
/** wp_free_resources() - capacity that neither tasks nor orphaned runs take */
struct wp_resources wp_free_resources(const struct wp_worker *w);

/** wp_is_overfull() - whether its tasks take more than a worker's capacity */
bool wp_is_overfull(const struct wp_worker *w);

/** wp_task_ref() - fill in the reference that names a task */
void wp_task_ref(const struct wp_task *t, struct jb_ref *ref);
/** wp_is_of_step() - whether a reference names a task of a step */
bool wp_is_of_step(const struct wp_step *s, const struct jb_ref *ref);
/** wp_find_task() - find a task by reference, or NULL */
struct wp_task *wp_find_task(struct wp_pool *p, const struct jb_ref *ref);
/** wp_next_run() - the lowest unused run number of a task */
uint32_t wp_next_run(const struct wp_pool *p, const struct wp_task *t);
/** wp_task_place() - reserve a worker's resources and order the start */
void wp_task_place(struct wp_pool *p, struct wp_task *t, struct wp_worker *w,
    uint32_t run, const char *ticket, int64_t now_us);
/** wp_job_begun() - a worker has, or had, a run of a job */
void wp_job_begun(struct wp_job *job);
/** wp_task_adopt() - take over a run that is or may be on a worker */
void wp_task_adopt(
    struct wp_task *t, struct wp_worker *w, uint32_t run, int64_t now_us);
/** wp_task_release() - release the worker's resources that a task takes */
void wp_task_release(struct wp_task *t);
/**
 * wp_task_requeue() - take a task off its worker
 * @t: task
 * @not_before_us: earliest next start
 *
 * It waits again, or is cancelled when its job is being stopped. A task that is
 * done stays done.
 */
void wp_task_requeue(struct wp_task *t, int64_t not_before_us);
/** wp_task_stop() - order the stop of a task that is or may be on its worker */
void wp_task_stop(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_task_send_stop() - order the stop of a task's newest run, or again */
void wp_task_send_stop(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_count_stop_result() - note whether a worker has answered a stop */
void wp_count_stop_result(struct wp_worker *w, enum wp_order_result result);
/** wp_stop_listed() - a worker lists a task's run, perhaps after it took a stop */
void wp_stop_listed(
    const struct wp_worker *w, struct wp_task *t, int64_t now_us);
/** wp_task_send_start() - order a start, or order it again */
void wp_task_send_start(
    struct wp_pool *p, struct wp_task *t, const char *ticket, int64_t now_us);
/** wp_task_done() - mark a task as completed successfully */
void wp_task_done(struct wp_pool *p, struct wp_task *t);
/** wp_record_failed_run() - remember a failed run; false if it is known */
bool wp_record_failed_run(struct wp_task *t, uint32_t run);
/** wp_check_attempts() - fail the job of a task that has no attempts left */
void wp_check_attempts(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_count_failure() - count a failed run, unless it is counted already */
void wp_count_failure(
    struct wp_pool *p, struct wp_task *t, uint32_t run, int64_t now_us);
/** wp_task_avoid() - keep a task off a worker for a while */
void wp_task_avoid(struct wp_task *t, struct wp_worker *w, int64_t now_us);
/** wp_task_failed() - requeue a task whose newest run failed */
void wp_task_failed(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_task_set_checkpoint() - remember where to resume; NULL changes nothing */
void wp_task_set_checkpoint(struct wp_task *t, const char *checkpoint);
/** wp_queue_order() - queue an order about a run of a task */
struct wp_order *wp_queue_order(struct wp_pool *p, enum wp_order_kind kind,
    struct wp_worker *w, const struct jb_ref *ref, uint32_t run);
/** wp_job_stop() - stop all tasks of a job, which then ends in @state */
void wp_job_stop(
    struct wp_pool *p, struct wp_job *job, enum jb_state state, int64_t now_us);
/** wp_job_finish_stop() - end a stopped job once no task is on a worker */
void wp_job_finish_stop(struct wp_job *job);
/** wp_step_mark_ready() - let a step's tasks start */
void wp_step_mark_ready(struct wp_pool *p, struct wp_step *s);
/** wp_occurrence_advance() - mark steps as ready whose dependencies are done */
void wp_occurrence_advance(struct wp_pool *p, struct wp_occurrence *occ);
/** wp_ready_insert() - list a step that may start, in its order */
void wp_ready_insert(struct wp_pool *p, struct wp_step *s);
/** wp_ready_remove() - take a step off that list; its order may have changed */
void wp_ready_remove(struct wp_pool *p, struct wp_step *s);
/** wp_step_unlist() - take a step off the pool's list of ready steps */
void wp_step_unlist(struct wp_pool *p, struct wp_step *s);
/** wp_lateness_tick() - find the ready steps that can't be on time any more */
void wp_lateness_tick(struct wp_pool *p, int64_t now_us);
/** wp_waits_tick() - sample at intervals what the ready steps wait for */
void wp_waits_tick(struct wp_pool *p, int64_t now_us);
/** wp_step_update_lists() - list a step, or unlist it, as its state requires */
void wp_step_update_lists(struct wp_pool *p, struct wp_step *s);

/** wp_worker_set_texts() - what a worker's entry says of it, besides its id */
void wp_worker_set_texts(
    struct wp_worker *w, const struct wp_worker_info *info);
/** wp_know_incarnation() - an entry or the registry tells of an incarnation */
void wp_know_incarnation(struct wp_pool *p, struct wp_worker *w,
    int64_t incarnation_ms, int64_t now_us);
/**
 * wp_expect_unknown_calls() - a worker has restarted under its name, and calls of
 * earlier owners for its earlier incarnation may reach it
 */
void wp_expect_unknown_calls(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/**
 * wp_restart_seen() - an entry, a late reply or an answer shows that a worker has
 * restarted, though the new incarnation has answered no renewal yet
 */
void wp_restart_seen(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_restart_unseen() - the same incarnation as before has answered a renewal */
void wp_restart_unseen(struct wp_pool *p, struct wp_worker *w);
/** wp_restart_fence() - a worker that this owner has called has restarted */
void wp_restart_fence(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/**
 * wp_earlier_calls_fenced() - a worker has accepted a later token than that of all
 * calls for its earlier incarnations
 */
void wp_earlier_calls_fenced(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_confirm_fence() - a worker has answered a renewal with this token */
void wp_confirm_fence(
    struct wp_pool *p, struct wp_worker *w, uint64_t fence, int64_t now_us);
/** wp_restart_registered() - the stored registry names a worker's incarnation */
void wp_restart_registered(struct wp_worker *w, uint64_t revision);
/** wp_restart_registering() - note what the registry in flight says of a worker */
void wp_restart_registering(struct wp_worker *w, int64_t now_us);
/**
 * wp_is_registry_outdated() - whether the registry names another incarnation of a
 * worker, or a lease from a call for an earlier one that is over
 */
bool wp_is_registry_outdated(const struct wp_worker *w, int64_t now_us);
/**
 * wp_inherited_lease_until_us() - until when a worker may have a lease from an
 * earlier owner, or from a call for its earlier incarnation
 */
int64_t wp_inherited_lease_until_us(const struct wp_worker *w);
/** wp_unleased_tick() - have a worker marked as without a lease, or not any more */
void wp_unleased_tick(
    struct wp_pool *p, const struct wp_worker *w, int64_t now_us);
/** wp_unleased_begin() - decide what the registry about to be stored says */
void wp_unleased_begin(struct wp_worker *w, int64_t now_us);
/** wp_unleased_end() - that registry is stored */
void wp_unleased_end(struct wp_worker *w);
/** wp_over_tick() - find workers that later ones on their VMs show to be over */
void wp_over_tick(struct wp_pool *p, int64_t now_us);
/** wp_forget_orphans() - forget the runs of no task that a worker had */
void wp_forget_orphans(struct wp_worker *w);
/** wp_worker_clock_ms() - estimate of a worker's clock */
int64_t wp_worker_clock_ms(const struct wp_worker *w, int64_t now_us);
/** wp_slowest_clock_us() - when @left_ms have passed on the slowest clock */
int64_t wp_slowest_clock_us(int64_t since_us, int64_t left_ms);
/** wp_left_ms() - time left until a moment, rounded up; 0 once it has passed */
int64_t wp_left_ms(int64_t until_us, int64_t now_us);
/**
 * wp_given_lease_expiry_us() - when a lease ends that was given to the
 * incarnation as which a worker is known
 */
int64_t wp_given_lease_expiry_us(const struct wp_worker *w);
/** wp_lease_expiry_us() - when all runs on a silent worker must have ended */
int64_t wp_lease_expiry_us(const struct wp_worker *w);
/** wp_stray_add() - a start order was not answered */
void wp_stray_add(
    struct wp_pool *p, struct wp_worker *w, const struct wp_order *o);
/** wp_strays_restarted() - another incarnation may carry out late starts */
void wp_strays_restarted(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_strays_hold() - keep the tasks of late starts from starting elsewhere */
void wp_strays_hold(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_may_start_late() - whether a task's start may yet be carried out */
bool wp_may_start_late(const struct wp_worker *w, const struct wp_task *t);
/** wp_strays_tick() - rule out late starts with stops, forget the oldest */
void wp_strays_tick(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_strays_rule_out() - the worker refuses all earlier calls from now on */
void wp_strays_rule_out(struct wp_worker *w);
/** wp_strays_forget() - the worker is over, so no start reaches it any more */
void wp_strays_forget(struct wp_worker *w);
/** wp_strays_stopped() - the worker has confirmed a stop */
void wp_strays_stopped(
    struct wp_worker *w, const struct wp_order *o, int64_t clock_ms);
/** wp_strays_read() - the worker's lists of that time have been read */
void wp_strays_read(struct wp_worker *w, int64_t clock_ms);
/** wp_strays_on() - late starts of a step that a worker may carry out */
uint32_t wp_strays_on(const struct wp_step *s, const struct wp_worker *w);

/** wp_record_run_end() - a run end was read; to be acknowledged once stored */
void wp_record_run_end(struct wp_pool *p, struct wp_worker *w, uint64_t number);
/** wp_record_worker_failure() - count a failed or stalled task against a worker */
void wp_record_worker_failure(
    struct wp_worker *w, const struct jb_ref *ref, int64_t now_us);
/** wp_move_stragglers() - stop tasks that make no or slow progress on a worker */
void wp_move_stragglers(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_process_run_ends() - act on the ends of runs that a worker lists */
void wp_process_run_ends(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);
/** wp_process_running() - act on the runs that a worker lists */
void wp_process_running(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);
/** wp_requeue_missing() - requeue tasks whose runs a worker no longer lists */
void wp_requeue_missing(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);
/** wp_workers_tick() - expire leases, move tasks, send orders again */
void wp_workers_tick(struct wp_pool *p, int64_t now_us);
/** wp_reconcile_tick() - requeue unreconciled tasks that can't be running */
void wp_reconcile_tick(struct wp_pool *p, int64_t now_us);

/** wp_defer_tick() - find out at intervals which jobs' turn is far, or near */
void wp_defer_tick(struct wp_pool *p, int64_t now_us);
/** wp_defer_begin() - a registry is made that may name other jobs */
void wp_defer_begin(struct wp_pool *p, int64_t now_us);
/** wp_defer_end() - that registry is stored */
void wp_defer_end(struct wp_pool *p);
/** wp_defer_forget() - a job is about to be freed */
void wp_defer_forget(struct wp_pool *p, const struct wp_job *job);
/** wp_defer_inherit() - defer a new job whose identity the registry names */
void wp_defer_inherit(struct wp_pool *p, struct wp_job *job);
/** wp_defer_no_longer() - a job that is named could start now */
void wp_defer_no_longer(struct wp_pool *p, struct wp_job *job, int64_t now_us);

/** wp_close_tick() - find out whether a worker has to be closed, or opened */
void wp_close_tick(struct wp_pool *p, struct wp_worker *w, int64_t now_us);

/* Nothing is started for this long beside a suspected task. */
#define WP_TRIAL_US (500 * CLK_US_PER_MS)

/* Weights of a crash as evidence against a task. */
#define WP_CRASH_UNSURE 0 /* the worker may not have started it */
#define WP_CRASH_OUTAGE 1 /* other workers fell silent, or it is unknown when */
#define WP_CRASH_SHARED 2 /* tasks of other jobs had just been started, too */
#define WP_CRASH_SOLE 4	  /* nothing else is known that could be the cause */

/** wp_certain_crashes() - workers known to have crashed under a task */
uint32_t wp_certain_crashes(const struct wp_task *t);
/**
 * wp_crashes_allow_start() - whether a task may start, for its crashes so far
 *
 * Not while suspected crashes might prove it to be the cause, nor before a
 * later owner would know of the crashes, nor while as many as are remembered may
 * have happened under it.
 */
bool wp_crashes_allow_start(
    const struct wp_pool *p, const struct wp_task *t, int64_t now_us);
/**
 * wp_crash_suspect() - a task's newest run may have crashed its worker
 * @p: pool
 * @t: task
 * @w: the worker
 * @weight: how strongly that tells against the task
 * @now_us: time
 */
void wp_crash_suspect(struct wp_pool *p, struct wp_task *t,
    const struct wp_worker *w, uint32_t weight, int64_t now_us);
/** wp_crash_restore() - take over what is stored of a crash under a task */
void wp_crash_restore(struct wp_pool *p, struct wp_task *t,
    const struct jb_crash *stored, int64_t now_us);
/** wp_crash_retract() - a suspected run has not been started on a worker */
void wp_crash_retract(
    struct wp_pool *p, struct wp_task *t, const struct wp_worker *w);
/** wp_crash_forget() - drop what is known of crashes under a task */
void wp_crash_forget(struct wp_pool *p, struct wp_task *t);
/** wp_crash_tick() - find out at intervals which suspected crashes happened */
void wp_crash_tick(struct wp_pool *p, int64_t now_us);
/** wp_check_crashes() - fail the job of a task that crashes its workers */
void wp_check_crashes(struct wp_pool *p, struct wp_task *t, int64_t now_us);

/**
 * wp_count_crashed_worker() - a worker has started anew, so it has crashed
 *
 * Counts it for all tasks that it ran, however long ago they were started.
 * Called before the tasks are taken off the worker.
 */
void wp_count_crashed_worker(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_crash_lived() - a run is alive; if it has lived for long, that clears it */
void wp_crash_lived(struct wp_task *t);
/** wp_has_begun() - whether the worker has confirmed the start of a task */
bool wp_has_begun(const struct wp_task *t);

/** wp_lived_us() - how long a task's newest run was seen alive */
int64_t wp_lived_us(const struct wp_task *t);
/**
 * wp_suspect_tasks() - a worker may have crashed under its tasks
 * @p: pool
 * @w: worker that is silent, or whose incarnation has ended
 * @now_us: time
 *
 * Called before the tasks are taken off the worker.
 */
void wp_suspect_tasks(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/**
 * wp_may_restart() - whether a waiting task may start, for the crashes so far
 *
 * While a sibling is tried, it may not.
 */
bool wp_may_restart(
    const struct wp_pool *p, const struct wp_task *t, int64_t now_us);
/** wp_startable_count() - waiting tasks of a step that may start at the same time */
uint32_t wp_startable_count(const struct wp_step *s);
/** wp_is_isolated() - whether a suspected task waits for a worker of its own */
bool wp_is_isolated(const struct wp_task *t, int64_t now_us);
/** wp_may_share() - whether a task may start beside the others on a worker */
bool wp_may_share(const struct wp_pool *p, const struct wp_task *t,
    const struct wp_worker *w, int64_t now_us);

/** wp_gang_tick() - stop what is left of a gang that has lost a member */
void wp_gang_tick(struct wp_pool *p, struct wp_step *s, int64_t now_us);

/** wp_ticket_find() - advice about a worker's present incarnation, or NULL */
struct wp_ticket *wp_ticket_find(
    const struct wp_step *s, const struct wp_worker *w);
/** wp_ticket_valid() - ticket text for a start order, or NULL */
const char *wp_ticket_valid(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);
/** wp_ticket_get() - as wp_ticket_find(), but adds an entry if there is none */
struct wp_ticket *wp_ticket_get(
    const struct wp_pool *p, struct wp_step *s, const struct wp_worker *w);
/** wp_expected_end_us() - when a running task will end, by its progress */
int64_t wp_expected_end_us(const struct wp_task *t);
/** wp_tickets_forget() - a step is done and needs no advice any more */
void wp_tickets_forget(struct wp_step *s);
/** wp_prefetch_advice() - request advice for a step that is not ready yet */
void wp_prefetch_advice(struct wp_pool *p, struct wp_step *s, int64_t now_us);
/** wp_needs_advice() - whether starts of a step must carry tickets */
bool wp_needs_advice(const struct wp_step *s);

/** wp_may_run_copies() - whether copies of a task may run at the same time */
bool wp_may_run_copies(const struct wp_task *t);
/** wp_is_spare_copy() - whether an older run may go on beside the newest one */
bool wp_is_spare_copy(const struct wp_task *t, uint32_t run);
/** wp_copy_unreachable() - copy what runs on an unreachable worker */
void wp_copy_unreachable(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_copy_unreconciled() - copy what may run for an earlier owner */
void wp_copy_unreconciled(struct wp_pool *p, int64_t now_us);

/** wp_may_interrupt() - whether maintenance may stop a long-running task */
bool wp_may_interrupt(const struct wp_task *t);
/** wp_evacuate_worker() - stop tasks on a worker that can go on elsewhere */
void wp_evacuate_worker(struct wp_pool *p, struct wp_worker *w, int64_t now_us);

/** wp_reserve_tick() - plan at intervals where and when gangs start */
void wp_reserve_tick(struct wp_pool *p, int64_t now_us);
/** wp_reservation_release() - give up what is reserved for a step */
void wp_reservation_release(struct wp_pool *p, struct wp_step *s);
/**
 * wp_available_to() - free resources of a worker that a step may take
 *
 * Leaves out what is reserved for other gangs, unless the step's tasks end
 * before these are expected to start.
 */
struct wp_resources wp_available_to(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);
/** wp_goes_before_reservation() - whether a step may take what is reserved */
bool wp_goes_before_reservation(
    const struct wp_step *s, const struct wp_worker *w);
/** wp_idle_reserved() - resources that are reserved for gangs, and free */
struct wp_resources wp_idle_reserved(const struct wp_worker *w);

/** wp_backfill_us() - how long a task of a step may take at most */
int64_t wp_backfill_us(const struct wp_step *s);
/** wp_release_us() - when a task on a worker is expected to be off it */
int64_t wp_release_us(const struct wp_task *t, int64_t now_us);
/**
 * wp_ticket_ready_us() - when a step can start on a worker, as to tickets
 * @p: pool
 * @s: step
 * @w: worker
 * @at_us: when it can start there otherwise
 * @now_us: time
 */
int64_t wp_ticket_ready_us(struct wp_pool *p, const struct wp_step *s,
    const struct wp_worker *w, int64_t at_us, int64_t now_us);

/** wp_restore_tick() - plan at intervals where lost tasks start again */
void wp_restore_tick(struct wp_pool *p, int64_t now_us);
/** wp_restore_soon() - plan at the next tick, if a task is long-running */
void wp_restore_soon(struct wp_task *t);
/** wp_lasts() - whether the tasks of a step run until they are cancelled, alone */
bool wp_lasts(const struct wp_step *s);
/** wp_forget_lost_steps() - forget which steps have lost runs */
void wp_forget_lost_steps(struct wp_pool *p);
/** wp_add_lost_step() - a task of a step lost its run and may start from then on */
void wp_add_lost_step(struct wp_step *s, int64_t from_us);
/** wp_next_lost_request() - the next advice request for such tasks */
bool wp_next_lost_request(
    struct wp_pool *p, int64_t now_us, struct wp_advice_request *request);
/** wp_restored() - a worker has confirmed a new run of a task */
void wp_restored(struct wp_task *t, int64_t now_us);
/** wp_lost_approved() - plan the tasks of a step anew, as workers are approved */
void wp_lost_approved(struct wp_step *s);
/** wp_forget_holds() - hold nothing until the next plan */
void wp_forget_holds(struct wp_pool *p);
/** wp_is_interrupted() - whether a long-running task waits that has run before */
bool wp_is_interrupted(const struct wp_task *t);
/** wp_has_interrupted_task() - whether such a task of a step may start now */
bool wp_has_interrupted_task(const struct wp_step *s, int64_t now_us);
/** wp_held_slots() - tasks of a step for which resources of a worker are held */
uint32_t wp_held_slots(const struct wp_step *s, const struct wp_worker *w);
/** wp_held_slots_by() - those of them that can start by a time */
uint32_t wp_held_slots_by(
    const struct wp_step *s, const struct wp_worker *w, int64_t until_us);
/**
 * wp_unheld() - free resources of a worker less those held for other steps
 *
 * Unless the step's tasks end before these can start.
 */
struct wp_resources wp_unheld(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);

/**
 * struct wp_victim - a task that may be stopped to make room
 * @task: the task
 * @kind: those of a lower kind are less missed
 * @loss: work that is lost, in us on a thousandth of a core
 * @order: position on its worker
 */
struct wp_victim {
	struct wp_task *task;
	uint32_t kind;
	int64_t loss;
	uint32_t order;
};

/**
 * struct wp_victims - tasks that would have to be stopped on a worker
 * @ctx: talloc parent of @victim
 * @victim: the tasks, @count of them
 * @kind: highest kind among them
 * @loss: work that is lost in all
 */
struct wp_victims {
	TALLOC_CTX *ctx;
	struct wp_victim *victim;
	uint32_t count;
	uint32_t kind;
	int64_t loss;
};

/** wp_frees_room() - whether a task leaves its worker in the foreseeable future */
bool wp_frees_room(const struct wp_task *t);
/**
 * wp_choose_victims() - find what to stop on a worker
 * @v: filled in
 * @w: the worker
 * @need: resources that are needed beyond those held there
 * @due_us: what is expected to end until then is not stopped
 * @now_us: time
 *
 * Return: whether the resources can be had.
 */
bool wp_choose_victims(struct wp_victims *v, const struct wp_worker *w,
    const struct wp_resources *need, int64_t due_us, int64_t now_us);
/** wp_is_less_missed() - whether to stop these rather than others */
bool wp_is_less_missed(const struct wp_victims *a, const struct wp_victims *b);
/** wp_stop_victims() - order the stops */
void wp_stop_victims(
    struct wp_pool *p, const struct wp_victims *v, int64_t now_us);

/** wp_avoids() - whether a task failed on a worker lately */
bool wp_avoids(
    const struct wp_task *t, const struct wp_worker *w, int64_t now_us);
/** wp_is_suitable() - whether a worker's labels and capacity suit a step */
bool wp_is_suitable(const struct wp_step *s, const struct wp_worker *w);
/** wp_is_usable() - whether a worker may receive new tasks now */
bool wp_is_usable(const struct wp_worker *w, int64_t now_us);
/**
 * wp_would_tell() - whether a worker that a later owner had called would have
 * refused this owner's token
 */
bool wp_would_tell(
    const struct wp_pool *p, const struct wp_worker *w, int64_t now_us);
/** wp_knows_capacity() - whether a start may rely on a worker's capacity */
bool wp_knows_capacity(const struct wp_worker *w, int64_t now_us);
/** wp_usable_capacity() - resources of all workers that may receive tasks */
struct wp_resources wp_usable_capacity(const struct wp_pool *p, int64_t now_us);
/** wp_slots_left() - tasks that the step's limit per worker still allows */
uint32_t wp_slots_left(const struct wp_step *s, const struct wp_worker *w);
/** wp_has_acceptable_task() - whether a waiting task does not avoid a worker */
bool wp_has_acceptable_task(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);

/**
 * struct wp_scan - iterates over the workers on which a step might start
 * @pool: the pool
 * @step: the step
 * @worker: next worker, for a step that needs no advice
 * @ticket: next position among the step's tickets, for one that does
 *
 * A step that needs advice can only start where it has a ticket, so only these
 * workers are looked at, however many there are.
 */
struct wp_scan {
	const struct wp_pool *pool;
	const struct wp_step *step;
	struct wp_worker *worker;
	uint32_t ticket;
};

/** wp_scan_begin() - before the first worker */
void wp_scan_begin(
    struct wp_scan *scan, const struct wp_pool *p, const struct wp_step *s);
/** wp_scan_next() - the next worker, or NULL */
struct wp_worker *wp_scan_next(struct wp_scan *scan);
/** wp_may_start_on() - whether a step may start on a worker, if it fits */
bool wp_may_start_on(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);
/**
 * wp_preempt_for() - free resources for one task of a step
 *
 * Stops as few less urgent tasks as possible, all on one worker, and reserves
 * the resources there for the current scheduling pass.
 *
 * Return: false when no worker can be freed.
 */
bool wp_preempt_for(struct wp_pool *p, const struct wp_step *s, int64_t now_us);

/**
 * wp_throttle_opportunistic() - protect tasks with a latency target
 *
 * Slows the opportunistic tasks on a worker down while a task beside them is
 * close to its latency target, and lets them speed up again afterwards.
 */
void wp_throttle_opportunistic(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_pace_accepted() - a worker has accepted the pace of a task's newest run */
void wp_pace_accepted(struct wp_task *t, const struct wp_order *o);

/**
 * wp_note_over_limit() - count and report a worker that lists too much
 *
 * Called with a reply before it is read, so that the event tells what the pool
 * had counted there. Changes no decision.
 */
void wp_note_over_limit(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);

/* Events for logs, which change no decision; called before what they tell of. */

/** wp_note_replied() - a worker has replied, perhaps with a new incarnation */
void wp_note_replied(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us);
/** wp_note_listed() - a worker is listed, perhaps with a new incarnation */
void wp_note_listed(struct wp_pool *p, const struct wp_worker *w,
    const struct wp_worker_info *info, int64_t now_us);
/** wp_note_lease_expired() - a worker's tasks are about to be taken off it */
void wp_note_lease_expired(
    struct wp_pool *p, const struct wp_worker *w, int64_t now_us);
/** wp_note_token_accepted() - a worker has accepted the token; called after */
void wp_note_token_accepted(
    struct wp_pool *p, const struct wp_worker *w, int64_t now_us);

#endif
