#ifndef CURRANTTACKD_CELL_POOL_H
#define CURRANTTACKD_CELL_POOL_H

#include "curranttackd/cell.h"

/**
 * DOC: What a daemon does for the pools of the cell.
 *
 * Each daemon has one host for each pool. Hosts without ownership watch the
 * owner's key and claim the pool once it is gone. The owner's host renews the
 * lease behind its key, runs the scheduler, sends orders to workers and commits
 * progress to the store.
 */

/** enum cp_state - this daemon's role in a pool */
enum cp_state {
	CP_IDLE,     /* not the owner */
	CP_CLAIMING, /* a claim is in flight */
	CP_OWNER,
	CP_RELEASING, /* stores what is left, then gives the pool up */
};

struct cp_commit;

/**
 * struct cp_host - one pool as seen by this daemon
 * @cell: daemon
 * @name: the pool
 * @state: role of this daemon
 * @claim_at_us: CP_IDLE: when the pool may be claimed, 0 while it has an owner;
 *	CP_CLAIMING: when the claim times out
 * @claim_active_count: cp_active_count() when the delay of the claim was
 *	computed
 * @owner_check_at_us: when the owner's key is read again, unless it changes
 * @lease: lease that the ownership depends on
 * @ended_lease: lease of another owner that this daemon has ended
 * @fence: fencing token of this ownership
 * @owner_since_us: start of this ownership
 * @revision: revision of the owner's key after the last commit
 * @commit_seq: number of the last commit
 * @lease_confirmed_us: latest time at which the lease is known to have been in
 *	force
 * @renew_at_us: when the lease is next renewed
 * @commit: commit in flight, or NULL
 * @commit_at_us: earliest time of the next commit
 * @release_deadline_us: while releasing, no commit is made from then on
 * @commit_timer_set: a timer for @commit_at_us is set
 * @generation: counts ownerships; lets callbacks of ended ones be ignored
 * @pass_scheduled: a timer for a scheduling pass is set
 * @claim_visible: the watch has shown the claim, but not the new term yet
 * @noted_revision: of the stored term that the next members were noted of; 0
 *	before the first claim
 * @earlier_owner_until_us: until then any earlier owner may act on workers
 * @older_owners_until_us: until then owners before the last one may
 * @earlier_owner_vm: VM of the last owner
 * @earlier_owner_incarnation: incarnation of the last owner's daemon
 * @term_dirty: the stored term says that earlier owners may act for longer, or
 *	names other witnesses
 * @term: term of this ownership
 * @permit: what this owner may rely on while its lease is not confirmed
 * @ask_at_us: when its witnesses are next asked
 * @witness_check_at_us: when it next looks whether they are there
 * @beyond_logged: it was logged that it acts on their grants
 * @inquiring: it is not known yet how long the last owner may act
 * @inquiry: what its witnesses have told
 * @inquiry_term: its term
 * @inquiry_fence: its fencing token
 * @inquire_at_us: when its witnesses are next asked
 * @inquiry_logged: it was logged which of them have not answered
 * @memory: what this daemon has granted as a witness
 * @pool: scheduler of the pool; NULL unless owner
 * @pass_duration_us: time that the last scheduling pass took
 * @full_pass_at_us: when the next pass also handles everything that is due
 * @yield_check_at_us: when to look for a larger VM that could take over
 * @forget_at_us: when ended jobs are next removed
 * @log_at_us: when the pool's state is next logged
 * @reconciled_logged: it was logged that no task waits for an earlier owner
 */
struct cp_host {
	struct cell *cell;
	const char *name;
	enum cp_state state;
	int64_t claim_at_us;
	uint32_t claim_active_count;
	int64_t owner_check_at_us;
	uint64_t lease;
	uint64_t ended_lease;
	uint64_t fence;
	int64_t owner_since_us;
	uint64_t revision;
	uint64_t commit_seq;
	int64_t lease_confirmed_us;
	int64_t renew_at_us;
	struct cp_commit *commit;
	int64_t commit_at_us;
	int64_t release_deadline_us;
	bool commit_timer_set;
	uint32_t generation;
	bool pass_scheduled;
	bool claim_visible;
	uint64_t noted_revision;
	int64_t earlier_owner_until_us;
	int64_t older_owners_until_us;
	char *earlier_owner_vm;
	uint64_t earlier_owner_incarnation;
	bool term_dirty;
	uint32_t term;
	struct wt_permit permit;
	int64_t ask_at_us;
	int64_t witness_check_at_us;
	bool beyond_logged;
	bool inquiring;
	struct wt_inquiry inquiry;
	uint32_t inquiry_term;
	uint64_t inquiry_fence;
	int64_t inquire_at_us;
	bool inquiry_logged;
	struct wt_memory memory;
	struct wp_pool *pool;
	int64_t pass_duration_us;
	int64_t full_pass_at_us;
	int64_t yield_check_at_us;
	int64_t forget_at_us;
	int64_t log_at_us;
	bool reconciled_logged;
	UT_hash_handle hh;
};

/** cp_get_host() - host of a pool; created if it is not known yet */
struct cp_host *cp_get_host(struct cell *c, const char *pool);

/** cp_tick() - claim, renew, commit and schedule whatever is due in any pool */
void cp_tick(struct cell *c);

/** cp_schedule_pass() - schedule a pass soon, after an event in the pool */
void cp_schedule_pass(struct cp_host *h);

/** cp_owns() - whether this daemon owns a pool under a fencing token */
bool cp_owns(struct cell *c, const char *pool, uint64_t fence);

/** cp_owned_count() - number of pools that this daemon owns */
uint32_t cp_owned_count(const struct cell *c);

/** cp_is_outranked() - whether daemons on larger VMs would claim pools first */
bool cp_is_outranked(const struct cell *c);

/** cp_release_all() - hand over all owned pools */
void cp_release_all(struct cell *c);

/** cp_on_job() - take a new job of the replica into its pool */
void cp_on_job(struct cell *c, struct rp_job *job);
/** cp_on_cancel() - a job of the replica was cancelled */
void cp_on_cancel(struct cell *c, struct rp_job *job);
/** cp_on_end_reported() - a job's end is stored, though the watch may be behind */
void cp_on_end_reported(struct cell *c, const char *id, enum jb_state state);
/** cp_on_worker() - a worker of the replica was listed, changed or removed */
void cp_on_worker(struct cell *c, const struct rp_worker *w);
/** cp_on_member() - a daemon's entry in the replica changed */
void cp_on_member(struct cell *c, const struct rp_member *m);
/**
 * cp_on_connection_refused() - a daemon's address refuses connections
 * @c: cell
 * @vm: VM of the daemon
 *
 * Its process is taken to have ended, so the leases of its pools are ended at
 * once. If it is alive after all, it finds its key gone, and workers refuse its
 * orders by their fencing token.
 */
void cp_on_connection_refused(struct cell *c, const char *vm);
/** cp_on_owner() - the owner's key of a pool changed in the replica */
void cp_on_owner(struct cell *c, const struct rp_owner *o);

#endif
