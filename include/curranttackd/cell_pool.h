#ifndef CURRANTTACKD_CELL_POOL_H
#define CURRANTTACKD_CELL_POOL_H

#include "curranttackd/cell.h"

/**
 * DOC: Hosts of pools: claims, leases, commits, and the pool's traffic.
 */

/** enum cp_state - this daemon's part in a pool */
enum cp_state {
	CP_IDLE,
	CP_CLAIMING, /* a claim is on its way */
	CP_OWNER,
	CP_RELEASING, /* what is left is stored, then the pool is given up */
};

struct cp_commit;

/**
 * struct cp_host - one pool as seen by this daemon
 * @claim_at_us: when it may be claimed; 0 while it has an owner
 * @claim_engaged: pools that this daemon had when that was set
 * @lease: lease behind the ownership
 * @ended_lease: lease of an owner that this daemon has ended
 * @fence: fencing token of this ownership
 * @since_us: start of this ownership
 * @revision: of the owner's key, after the last commit
 * @commits: number of the last commit
 * @commit_at_us: no earlier commit
 * @release_by_us: while releasing, no further commit from then on
 * @commit_timed: a timer for that is set
 * @confirmed_us: the lease was in force then
 * @epoch: tells callbacks of earlier ownerships from present ones
 * @begin: the claim has been seen, the term not yet
 * @act_us: time that the last look at the pool took
 * @tick_at_us: next full look at the pool
 * @yield_at_us: when to look for a larger VM
 * @earlier_vm: the owner before, with its incarnation
 * @earlier_until_us: until then earlier owners may act
 * @before_until_us: until then owners before the last one may act
 * @pool: decisions; NULL unless owner
 */
struct cp_host {
	struct cell *cell;
	char name[WP_NAME_BYTES];
	enum cp_state state;
	int64_t claim_at_us;
	uint32_t claim_engaged;
	uint64_t lease;
	uint64_t ended_lease;
	uint64_t fence;
	int64_t since_us;
	uint64_t revision;
	uint64_t commits;
	int64_t confirmed_us;
	int64_t renew_at_us;
	bool renew_out;
	struct cp_commit *commit;
	int64_t commit_at_us;
	int64_t release_by_us;
	bool commit_timed;
	uint32_t epoch;
	bool kicked;
	bool begin;
	int64_t earlier_until_us;
	int64_t before_until_us;
	char earlier_vm[WP_NAME_BYTES];
	uint64_t earlier_incarnation;
	struct wp_pool *pool;
	int64_t act_us;
	int64_t tick_at_us;
	int64_t yield_at_us;
	int64_t forget_at_us;
	int64_t log_at_us;
	UT_hash_handle hh;
};

/** cp_find() - host of a pool; made when it is not known yet */
struct cp_host *cp_find(struct cell *c, const char *pool);

/** cp_tick() - claims, leases, commits and everything a pool has due */
void cp_tick(struct cell *c);

/** cp_kick() - let a pool act on what it has just learned */
void cp_kick(struct cp_host *h);

/** cp_owns() - whether this daemon owns a pool under a fencing token */
bool cp_owns(struct cell *c, const char *pool, uint64_t fence);

/** cp_owned() - number of pools that this daemon owns */
uint32_t cp_owned(const struct cell *c);

/** cp_is_bystander() - whether daemons on larger VMs would claim pools first */
bool cp_is_bystander(const struct cell *c);

/** cp_release_all() - hand all pools over */
void cp_release_all(struct cell *c);

/** cp_on_job() - the replica has a new job */
void cp_on_job(struct cell *c, struct rp_job *job);
/** cp_on_cancel() - the replica has a cancellation */
void cp_on_cancel(struct cell *c, struct rp_job *job);
/** cp_on_worker() - the replica has news of a worker */
void cp_on_worker(struct cell *c, const struct rp_worker *w);
/** cp_on_member() - the replica has news of a daemon */
void cp_on_member(struct cell *c, const struct rp_member *m);
/**
 * cp_on_refused() - nothing listens where a daemon listened
 * @c: cell
 * @vm: the daemon
 *
 * Its process has ended, so its leases are ended at once. Should it live all
 * the same, it finds its key gone, and workers refuse its orders.
 */
void cp_on_refused(struct cell *c, const char *vm);
/** cp_on_owner() - the replica has news of a pool's owner */
void cp_on_owner(struct cell *c, const struct rp_owner *o);

#endif
