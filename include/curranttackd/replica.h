#ifndef CURRANTTACKD_REPLICA_H
#define CURRANTTACKD_REPLICA_H

#include "transport/fleet.h"

/**
 * DOC: A daemon's copy of the key space.
 *
 * Loaded once, then kept by one watch over all keys, so that changes arrive in
 * the order in which they were made. An item never goes back to an earlier
 * revision.
 */

#define RP_JOB_PREFIX "ct/job/"
#define RP_CANCEL_PREFIX "ct/cancel/"
#define RP_PROGRESS_PREFIX "ct/progress/"
#define RP_OWNER_PREFIX "ct/owner/"
#define RP_TERM_PREFIX "ct/term/"
#define RP_WORKERS_PREFIX "ct/workers/"
#define RP_MEMBER_PREFIX "ct/member/"
#define RP_WAVE_PREFIX "ct/wave/"
#define RP_KEY_BYTES 200

/**
 * struct rp_job - a job in the key space
 * @spec: its encoded description, @spec_bytes long; NULL until it is known
 * @spec_revision: creation of the job
 * @progress: its encoded progress, or NULL
 * @state: as stored
 * @told: its state comes from its owner and is not stored yet
 * @started: a task has been started at some time
 * @timed: its occurrences are due at set times
 * @announced: the job hook has been called
 * @cancelled: a caller has cancelled it
 */
struct rp_job {
	char id[JB_ID_BYTES];
	uint8_t *spec;
	size_t spec_bytes;
	uint64_t spec_revision;
	uint8_t *progress;
	size_t progress_bytes;
	uint64_t progress_revision;
	char *queue;
	char *pool;
	enum jb_state state;
	bool told;
	bool started;
	bool timed;
	bool announced;
	bool cancelled;
	uint64_t cancel_revision;
	int64_t accepted_us;
	int64_t ended_us;
	UT_hash_handle hh;
};

/** struct rp_worker - a worker that service discovery lists or has listed */
struct rp_worker {
	char id[WP_NAME_BYTES];
	uint64_t revision;
	struct wp_worker_info info;
	const char *pool;
	TALLOC_CTX *info_ctx;
	int64_t gone_us;
	bool seen;
	UT_hash_handle hh;
};

/**
 * struct rp_owner - who owns a pool
 * @present: the pool has an owner
 * @created: the owner's fencing token
 * @term: counts the owners
 * @released: the last owner stopped before it gave the pool up
 * @term_vm: owner of that term, with its incarnation
 * @earlier_wall_ms: until then owners before that term may act
 * @workers: encoded list of workers that owners have used
 */
struct rp_owner {
	char pool[WP_NAME_BYTES];
	bool present;
	uint64_t revision;
	uint64_t created;
	char vm[WP_NAME_BYTES];
	uint64_t incarnation;
	uint64_t lease;
	uint64_t commit;
	uint32_t term;
	bool released;
	uint64_t term_revision;
	char term_vm[WP_NAME_BYTES];
	uint64_t term_incarnation;
	int64_t earlier_wall_ms;
	uint8_t *workers;
	size_t workers_bytes;
	uint64_t workers_revision;
	bool seen;
	UT_hash_handle hh;
};

/**
 * struct rp_member - a daemon of the cell
 * @cpu_mcpu: share of a core that it may use, in thousandths
 */
struct rp_member {
	char vm[WP_NAME_BYTES];
	char domain[WP_NAME_BYTES];
	char address[WP_NAME_BYTES];
	uint64_t incarnation;
	uint32_t cpu_mcpu;
	uint64_t revision;
	bool present;
	bool seen;
	UT_hash_handle hh;
};

/**
 * struct rp_wave - a wave of maintenance
 * @id: its name in the keys
 * @revision: of the operators' order
 * @wave: the order and how far it is; NULL while it is not known
 * @progress_revision: of what is stored of it; 0 for nothing
 * @ends_wall_ms: stored deadline
 * @progress: what is stored, @progress_bytes long
 */
struct rp_wave {
	char id[WP_NAME_BYTES];
	uint64_t revision;
	struct mw_wave *wave;
	uint64_t progress_revision;
	int64_t ends_wall_ms;
	uint8_t *progress;
	size_t progress_bytes;
	UT_hash_handle hh;
};

/** struct rp_hooks - called after the replica has taken a change in */
struct rp_hooks {
	void (*job)(struct rp_job *job, void *arg);
	void (*cancel)(struct rp_job *job, void *arg);
	void (*worker)(struct rp_worker *w, void *arg);
	void (*owner)(struct rp_owner *o, void *arg);
	void (*member)(struct rp_member *m, void *arg);
	void (*config)(const struct qs_config *config, void *arg);
	void (*answered)(void *arg);
};

/**
 * struct replica - the copy
 * @synced: the first load is complete
 * @ordered: the item at hand comes in the order of changes
 * @as_of: revision up to which changes are in
 * @orders_as_of: revision up to which operators' orders are in
 * @pace_us: pause between two watches, to gather changes
 * @paused: no watch is out until @resume_us
 */
struct replica {
	struct loop *loop;
	const struct fl_fleet *fleet;
	struct rp_hooks hooks;
	void *arg;
	bool synced;
	bool ordered;
	uint64_t as_of;
	uint64_t load_revision;
	uint64_t orders_as_of;
	int64_t pace_us;
	bool paused;
	int64_t resume_us;
	char *load_after;
	struct qs_config *config;
	uint64_t config_revision;
	struct rp_job *jobs;
	struct rp_worker *workers;
	struct rp_owner *owners;
	struct rp_member *members;
	struct rp_wave *waves;
};

/** rp_start() - load the key space and follow it */
struct replica *rp_start(TALLOC_CTX *ctx, struct loop *l,
    const struct fl_fleet *fleet, const struct rp_hooks *hooks, void *arg);

/** rp_tick() - watch again when the pause is over */
void rp_tick(struct replica *r, int64_t now_us);

/** rp_hurry() - watch again at once */
void rp_hurry(struct replica *r);

/** rp_find_job() - a job whose description is known, or NULL */
struct rp_job *rp_find_job(struct replica *r, const char *id);

/** rp_owner_of() - ownership of a pool; made when it is not known yet */
struct rp_owner *rp_owner_of(struct replica *r, const char *pool);

/** rp_owns_any() - whether a daemon owns some pool, as far as is known here */
bool rp_owns_any(const struct replica *r, const char *vm);

/** rp_largest_mcpu() - largest share of a core among the daemons present */
uint32_t rp_largest_mcpu(const struct replica *r);

/** rp_forget_job() - drop a job that has been removed from the key space */
void rp_forget_job(struct replica *r, struct rp_job *job);

/** rp_tell_ended() - a job's owner says how it has ended */
void rp_tell_ended(struct rp_job *job, enum jb_state state);

/**
 * rp_apply() - take one item in, out of the order of changes
 * @r: replica
 * @item: item, as from a read
 *
 * Nobody is told of a job that comes this way: a pool may have a later owner
 * that the watch has not shown yet.
 */
void rp_apply(struct replica *r, const struct ks_item *item);

/** rp_announce() - call the hook of a job whose owner is certain */
void rp_announce(struct replica *r, struct rp_job *job);

#endif
