#ifndef CURRANTTACKD_CELL_POOL_INTERNAL_H
#define CURRANTTACKD_CELL_POOL_INTERNAL_H

#include "curranttackd/cell_pool.h"

/**
 * DOC: Shared by the files that implement pool hosts: cell_claim (claims,
 * ownership and its lease), cell_earlier (how long earlier owners may act),
 * cell_witness (how long this one may, and what a witness answers), cell_load
 * (what an owner knows from the replica), cell_traffic (scheduling passes, orders, renewals, advice), cell_commit
 * (commits to the store), cell_pool (hosts, and changes in the replica).
 */

#define CP_LEASE_MS 1200
/* Lease of a worker on a clock that may run slow, plus a margin. */
#define CP_WORKER_LEASE_US (3400 * CLK_US_PER_MS)
#define CP_CLAIM_RETRY_US (400 * CLK_US_PER_MS)

/**
 * struct cp_request - context of an asynchronous call made by an owner
 * @h: host
 * @generation: ownership that made the call; it may have ended meanwhile
 * @sent_us: when the call was made
 * @order: order that was sent, if any; belongs to the request
 * @advice_request: advice request that was sent, if any
 * @worker: worker whose leases were renewed, if any
 * @fence: fencing token of that renewal, if the worker has one of its own
 * @overdue: the reply to that renewal is overdue
 */
struct cp_request {
	struct cp_host *h;
	uint32_t generation;
	int64_t sent_us;
	struct wp_order *order;
	struct wp_advice_request advice_request;
	const char *worker;
	uint64_t fence;
	bool overdue;
};

/** cp_make_key() - key of a job under a prefix; allocated from @ctx */
const char *cp_make_key(TALLOC_CTX *ctx, const char *prefix, const char *id);
/** cp_request_create() - context for a call under the current ownership */
struct cp_request *cp_request_create(struct cp_host *h);
/** cp_request_is_current() - whether that ownership is still in force */
bool cp_request_is_current(const struct cp_request *req);
/** cp_end_lease() - end the lease of an ownership or a claim */
void cp_end_lease(struct cp_host *h);
/** cp_step_down() - stop acting as the owner at once */
void cp_step_down(struct cp_host *h, const char *reason);

/** cp_active_count() - pools that this daemon claims, owns or is releasing */
uint32_t cp_active_count(const struct cell *c);
/** cp_release() - begin to hand a pool over */
void cp_release(struct cp_host *h);
/** cp_claim_tick() - claim a pool without an owner once the delay is over */
void cp_claim_tick(struct cp_host *h, int64_t now_us);
/**
 * cp_note_earlier_owners() - how long earlier owners may act, before a claim
 * @h: host that claims its pool
 * @o: ownership on which the claim depends
 */
void cp_note_earlier_owners(struct cp_host *h, const struct rp_owner *o);
/**
 * cp_update_earlier_owner() - look whether earlier owners stop sooner
 * @h: host that claims or owns its pool
 * @now_us: time
 *
 * Return: true after bringing forward until when earlier owners may act.
 */
bool cp_update_earlier_owner(struct cp_host *h, int64_t now_us);
/** cp_apply_earlier_owner() - the same, from what is known here; then use it */
void cp_apply_earlier_owner(struct cp_host *h);
/** cp_inquire_tick() - ask the last owner's witnesses if that is due */
void cp_inquire_tick(struct cp_host *h, int64_t now_us);
/**
 * cp_on_revoked() - a witness of the last owner grants nothing more
 * @h: host
 * @from: the witness
 * @term: term of the question
 * @left_ms: for so long its last grant may hold
 */
void cp_on_revoked(struct cp_host *h, const struct wt_witness *from,
    uint32_t term, int64_t left_ms);
/** cp_choose_witnesses() - the daemons that this owner should name */
void cp_choose_witnesses(const struct cp_host *h, struct wt_list *list);
/** cp_begin_permit() - an ownership begins */
void cp_begin_permit(struct cp_host *h, const struct rp_owner *o);
/**
 * cp_check_permit() - whether an owner may act on workers
 * @h: host that owns its pool, or is releasing it
 * @now_us: time
 *
 * Steps down if it can't get permission any more.
 */
bool cp_check_permit(struct cp_host *h, int64_t now_us);
/** cp_witness_tick() - keep the witnesses up to date and ask them if need be */
void cp_witness_tick(struct cp_host *h, int64_t now_us);
/**
 * cp_send_witness_ask() - ask a witness
 * @h: host
 * @vm: VM of the witness
 * @term: term of the owner that it is a witness of
 * @fence: fencing token of that owner
 * @revoke: it should grant nothing more
 */
void cp_send_witness_ask(struct cp_host *h, const char *vm, uint32_t term,
    uint64_t fence, bool revoke);
/** cp_abort_claim() - give a claim up and retry later */
void cp_abort_claim(struct cp_host *h);
/**
 * cp_try_begin_ownership() - become the owner if the watch has shown the claim
 * @arg: host
 */
void cp_try_begin_ownership(void *arg);
/** cp_load_job() - add a job of the replica to the pool; NULL if unreadable */
struct wp_job *cp_load_job(struct cp_host *h, struct rp_job *row);
/**
 * cp_log_cancelled() - log that an owner has learned of a cancellation
 * @h: host of the pool
 * @row: the job
 * @by: what showed it
 */
void cp_log_cancelled(
    const struct cp_host *h, const struct rp_job *row, const char *by);
/** cp_load_pool() - fill a new owner's pool from the replica */
void cp_load_pool(struct cp_host *h, int64_t now_us);
/** cp_renew_lease() - renew the lease of an ownership if that is due */
void cp_renew_lease(struct cp_host *h, int64_t now_us);
/** cp_yield_to_larger_vm() - release a pool if a larger VM could take over */
void cp_yield_to_larger_vm(struct cp_host *h, int64_t now_us);
/**
 * cp_term_value() - encoded term of a pool
 * @ctx: parent
 * @h: host of the pool
 * @term: number of the term
 * @fence: fencing token of its owner; 0 while it is being claimed
 * @released: the owner has stopped all work
 * @witnesses: the owner's witnesses
 * @bytes: set to the length
 */
uint8_t *cp_term_value(TALLOC_CTX *ctx, const struct cp_host *h, uint32_t term,
    uint64_t fence, bool released, const struct wt_list *witnesses,
    size_t *bytes);
/** cp_run_pass() - run a scheduling pass and send its orders and requests */
void cp_run_pass(struct cp_host *h, int64_t now_us);

/** cp_owner_value() - encoded value of the owner's key, allocated from @ctx */
uint8_t *cp_owner_value(
    TALLOC_CTX *ctx, const struct cp_host *h, uint64_t commit, size_t *bytes);
/** cp_start_commit() - commit what has changed, unless a commit is in flight */
void cp_start_commit(struct cp_host *h);

#endif
