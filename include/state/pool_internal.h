#ifndef STATE_POOL_INTERNAL_H
#define STATE_POOL_INTERNAL_H

#include "common/clock.h"
#include "state/pool.h"

/**
 * DOC: Shared by the pool's files. Lowest first: pool_task (one task's moves),
 * pool_store (what is stored and acknowledged), pool_worker (reports and
 * leases), pool_gang, pool_advice (tickets), pool_ask (which questions for
 * advice go out), pool_outlook (what is late), pool_sharing, pool_copy (copies
 * of tasks that may run twice), pool_retire (emptying workers for
 * maintenance), pool_sched (who starts where), pool (jobs and ticks).
 */

/* A run number of a later owner is always higher. */
#define WP_RUNS_PER_TERM 1000
/* Lease of a worker; well below the time in which its entry lapses. */
#define WP_LEASE_US (3 * CLK_US_PER_S)
/* A start that arrives later is not carried out. */
#define WP_START_US (1500 * CLK_US_PER_MS)
/* A worker's clock may be slow by 2%. */
#define WP_CLOCK_SLOW_PER_MILLE 980
#define WP_FULL_PACE 100
/* A start has to arrive before its ticket expires. */
#define WP_TICKET_MARGIN_US (100 * CLK_US_PER_MS)
/* Pause before a task starts again, and before an order is sent again. */
#define WP_RETRY_US (100 * CLK_US_PER_MS)
#define WP_RESEND_US (400 * CLK_US_PER_MS)
#define WP_LAPSE_MARGIN_US (150 * CLK_US_PER_MS)
/* Pause between two writes of a job that goes on. */
#define WP_STORE_PAUSE_US (300 * CLK_US_PER_MS)

/** wp_need() - room that a task of a step takes */
struct wp_resources wp_need(const struct jb_step *step);
/** wp_room_add() - add room, or take it with @sign -1 */
void wp_room_add(
    struct wp_resources *to, const struct wp_resources *n, int sign);
/** wp_fits() - whether a worker has room for a task */
bool wp_fits(const struct wp_worker *w, const struct wp_resources *need);
/** wp_free_room() - what a worker has left */
struct wp_resources wp_free_room(const struct wp_worker *w);

/** wp_task_ref() - name of a task */
void wp_task_ref(const struct wp_task *t, struct jb_ref *ref);
/** wp_find_task() - task by name, or NULL */
struct wp_task *wp_find_task(struct wp_pool *p, const struct jb_ref *ref);
/** wp_next_run() - the lowest run number that is free for a task */
uint32_t wp_next_run(const struct wp_pool *p, const struct wp_task *t);
/** wp_task_place() - reserve room and order the start */
void wp_task_place(struct wp_pool *p, struct wp_task *t, struct wp_worker *w,
    uint32_t run, const char *ticket, int64_t now_us);
/** wp_task_adopt() - a worker runs a task of an earlier owner */
void wp_task_adopt(
    struct wp_task *t, struct wp_worker *w, uint32_t run, int64_t now_us);
/** wp_task_release() - give a task's room back */
void wp_task_release(struct wp_task *t);
/** wp_task_requeue() - off its worker; waits again or is dropped */
void wp_task_requeue(struct wp_task *t, int64_t not_before_us);
/** wp_task_stop() - order the stop of a task that is or may be on its worker */
void wp_task_stop(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_task_send_start() - order a start, or order it again */
void wp_task_send_start(
    struct wp_pool *p, struct wp_task *t, const char *ticket, int64_t now_us);
/** wp_task_done() - it has ended well */
void wp_task_done(struct wp_pool *p, struct wp_task *t);
/** wp_note_failed_run() - remember a failed run; false if it is known */
bool wp_note_failed_run(struct wp_task *t, uint32_t run);
/** wp_check_attempts() - fail the job of a task that has no attempts left */
void wp_check_attempts(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_count_failure() - a run failed, wherever that was; counted once */
void wp_count_failure(
    struct wp_pool *p, struct wp_task *t, uint32_t run, int64_t now_us);
/** wp_task_avoid() - keep a task off a worker for a while */
void wp_task_avoid(struct wp_task *t, struct wp_worker *w, int64_t now_us);
/** wp_task_failed() - a run of it failed */
void wp_task_failed(struct wp_pool *p, struct wp_task *t, int64_t now_us);
/** wp_task_set_checkpoint() - remember where to resume */
void wp_task_set_checkpoint(struct wp_task *t, const char *checkpoint);
/** wp_pool_order() - queue an order about a task */
struct wp_order *wp_pool_order(struct wp_pool *p, enum wp_order_kind kind,
    struct wp_worker *w, const struct jb_ref *ref, uint32_t run);
/** wp_job_stop() - stop all tasks of a job; it ends in @state */
void wp_job_stop(
    struct wp_pool *p, struct wp_job *job, enum jb_state state, int64_t now_us);
/** wp_job_settle() - whether all tasks of a stopped job are off their workers */
void wp_job_settle(struct wp_job *job);
/** wp_step_ready() - put a step among those that may start */
void wp_step_ready(struct wp_pool *p, struct wp_step *s);
/** wp_occurrence_advance() - ready the steps whose earlier ones have ended */
void wp_occurrence_advance(struct wp_pool *p, struct wp_occurrence *occ);
/** wp_step_unlist() - take a step off those that may start */
void wp_step_unlist(struct wp_pool *p, struct wp_step *s);
/** wp_outlooks_tick() - see which steps can't be in time any more */
void wp_outlooks_tick(struct wp_pool *p, int64_t now_us);
/** wp_step_update() - keep a step listed while it has waiting tasks */
void wp_step_update(struct wp_pool *p, struct wp_step *s);

/** wp_worker_clock_ms() - estimate of a worker's clock */
int64_t wp_worker_clock_ms(const struct wp_worker *w, int64_t now_us);
/** wp_lapse_us() - when everything on a worker has surely ended */
int64_t wp_lapse_us(const struct wp_worker *w);
/** wp_note_end() - an end has been read; acknowledged once it is stored */
void wp_note_end(struct wp_pool *p, struct wp_worker *w, uint64_t number);
/** wp_workers_tick() - lapsed leases, doubts, resends */
void wp_workers_tick(struct wp_pool *p, int64_t now_us);
/** wp_settle_held() - let held tasks go once no worker can run them */
void wp_settle_held(struct wp_pool *p, int64_t now_us);

/** wp_gang_tick() - stop what is left of a gang that has lost a member */
void wp_gang_tick(struct wp_pool *p, struct wp_step *s, int64_t now_us);

/** wp_ticket_find() - answer about a worker in its present life, or NULL */
struct wp_ticket *wp_ticket_find(
    const struct wp_step *s, const struct wp_worker *w);
/** wp_ticket_valid() - ticket text that a start may carry, or NULL */
const char *wp_ticket_valid(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);
/** wp_ticket_get() - answer about a worker in its present life; made if none */
struct wp_ticket *wp_ticket_get(
    const struct wp_pool *p, struct wp_step *s, const struct wp_worker *w);
/** wp_learn_share() - so many of the workers named in a question were allowed */
void wp_learn_share(
    struct wp_pool *p, const struct wp_step *s, uint32_t asked, uint32_t good);
/** wp_ask_most() - workers that a question of a queue may name */
uint32_t wp_ask_most(const struct jb_policy *policy);
/** wp_look_ahead() - have advice asked for before a step is ready */
void wp_look_ahead(struct wp_pool *p, struct wp_step *s, int64_t now_us);
/** wp_needs_advice() - whether the step's queue asks for tickets */
bool wp_needs_advice(const struct wp_step *s);

/** wp_may_copy() - whether copies of a task may run at the same time */
bool wp_may_copy(const struct wp_task *t);
/** wp_is_spare_copy() - whether a run may go on beside the task's newest one */
bool wp_is_spare_copy(const struct wp_task *t, uint32_t run);
/** wp_copy_lost() - start copies of what runs on a worker that is silent */
void wp_copy_lost(struct wp_pool *p, struct wp_worker *w, int64_t now_us);
/** wp_copy_held() - start copies of what an earlier owner's workers may run */
void wp_copy_held(struct wp_pool *p, int64_t now_us);

/** wp_may_keep_away() - whether planned work may stop a task that lasts */
bool wp_may_keep_away(const struct wp_task *t);
/** wp_leave_retiring() - move what can go on elsewhere off a worker */
void wp_leave_retiring(struct wp_pool *p, struct wp_worker *w, int64_t now_us);

/** wp_may_run() - whether a worker may run tasks of a step at all */
bool wp_may_run(const struct wp_step *s, const struct wp_worker *w);
/** wp_usable() - whether new work may go to a worker now */
bool wp_usable(const struct wp_worker *w, int64_t now_us);
/** wp_spare_places() - tasks of a step that its own limit still allows there */
uint32_t wp_spare_places(const struct wp_step *s, const struct wp_worker *w);
/** wp_has_taker() - whether a waiting task of a step does not avoid a worker */
bool wp_has_taker(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);

/**
 * struct wp_scan - workers on which a step might start, one by one
 *
 * A step that needs advice can only start where it has a ticket, so however
 * many workers there are, only these are looked at.
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
/** wp_may_take() - whether a step's tasks may start on a worker, given room */
bool wp_may_take(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us);
/** wp_preempt_for() - displace less urgent tasks for one task; false if none */
bool wp_preempt_for(struct wp_pool *p, const struct wp_step *s, int64_t now_us);

/** wp_share_worker() - keep fillers from harming tasks that serve */
void wp_share_worker(struct wp_pool *p, struct wp_worker *w, int64_t now_us);

#endif
