#ifndef CURRANTTACKD_CELL_POOL_INTERNAL_H
#define CURRANTTACKD_CELL_POOL_INTERNAL_H

#include "curranttackd/cell_pool.h"

/**
 * DOC: Shared by the files of pool hosts: cell_claim (who owns a pool, and the
 * lease behind it), cell_traffic (orders, renewals, advice), cell_commit (what
 * is stored), cell_pool (hosts, and what the replica tells them).
 */

#define CP_LEASE_MS 1200
#define CP_HOLD_WINDOW_US (10 * CLK_US_PER_S)
/* Leases of workers, on a clock that may be slow, and some margin. */
#define CP_WORKER_LEASE_US (3400 * CLK_US_PER_MS)
#define CP_CLAIM_RETRY_US (400 * CLK_US_PER_MS)

/** struct cp_ref - a callback of an ownership that may have ended meanwhile */
struct cp_ref {
	struct cp_host *h;
	uint32_t epoch;
	int64_t sent_us;
	struct wp_order *order;
	struct wp_advice_request ask;
	char worker[WP_NAME_BYTES];
};

/** cp_key() - key of a pool under a prefix */
const char *cp_key(TALLOC_CTX *ctx, const char *prefix, const char *name);
/** cp_ref_create() - remember the present ownership for a callback */
struct cp_ref *cp_ref_create(struct cp_host *h);
/** cp_ref_valid() - whether that ownership is still in force */
bool cp_ref_valid(const struct cp_ref *ref);
/** cp_end_lease() - end the lease behind an ownership or a claim */
void cp_end_lease(struct cp_host *h);
/** cp_step_down() - stop acting as the owner at once */
void cp_step_down(struct cp_host *h, const char *reason);

/** cp_engaged() - pools that this daemon owns or is about to own */
uint32_t cp_engaged(const struct cell *c);
/** cp_release() - hand a pool over */
void cp_release(struct cp_host *h);
/** cp_claim_tick() - claim a pool without an owner when it is our turn */
void cp_claim_tick(struct cp_host *h, int64_t now_us);
/** cp_claim_failed() - give a claim up and try again later */
void cp_claim_failed(struct cp_host *h);
/** cp_begin_when_shown() - act as the owner once the watch shows the claim */
void cp_begin_when_shown(void *arg);
/** cp_load_job() - take a job of the replica into the pool */
struct wp_job *cp_load_job(struct cp_host *h, struct rp_job *row);
/** cp_renew() - renew the lease behind an ownership when that is due */
void cp_renew(struct cp_host *h, int64_t now_us);
/** cp_yield_to_larger() - give a pool up to a better placed daemon */
void cp_yield_to_larger(struct cp_host *h, int64_t now_us);
/** cp_term_value() - encoded term of a pool */
uint8_t *cp_term_value(TALLOC_CTX *ctx, const struct cp_host *h, uint32_t term,
    bool released, size_t *bytes);

/** cp_act() - let the pool decide, and send what comes of it */
void cp_act(struct cp_host *h, int64_t now_us);

/** cp_owner_value() - encoded owner of a pool after a number of commits */
uint8_t *cp_owner_value(
    TALLOC_CTX *ctx, const struct cp_host *h, uint64_t commit, size_t *bytes);
/** cp_commit_next() - store what has changed, unless a commit is on its way */
void cp_commit_next(struct cp_host *h);
/** cp_announce_unstored() - tell of ends that the store can't take at present */
void cp_announce_unstored(struct cp_host *h, int64_t now_us);

#endif
