#ifndef CURRANTTACKD_REPLICA_H
#define CURRANTTACKD_REPLICA_H

#include "coordination/witness.h"
#include "transport/fleet.h"

/**
 * DOC: A daemon's local copy of the key space.
 *
 * Loaded once, then kept up to date by one watch over all keys, so that changes
 * arrive in the order in which they were made. An item is never replaced by an
 * earlier revision of itself. A replica that does not follow the workers watches
 * its cell's own keys only, and reads the workers' entries once it has to.
 */

#define RP_CELL_PREFIX "ct/"
#define RP_JOB_PREFIX "ct/job/"
#define RP_CANCEL_PREFIX "ct/cancel/"
#define RP_PROGRESS_PREFIX "ct/progress/"
#define RP_OWNER_PREFIX "ct/owner/"
#define RP_TERM_PREFIX "ct/term/"
#define RP_WORKERS_PREFIX "ct/workers/"
#define RP_MEMBER_PREFIX "ct/member/"
#define RP_WAVE_PREFIX "ct/wave/"
/* Longest key of the key space. */
#define RP_MAX_KEY_BYTES 200
#define RP_KEY_BYTES (RP_MAX_KEY_BYTES + 1)

/**
 * struct rp_job - a job in the key space
 * @spec: its encoded description, @spec_bytes long; NULL until it is known
 * @spec_revision: revision that created the job
 * @progress: its encoded progress, @progress_bytes long, or NULL
 * @progress_revision: revision of @progress; 0 without one
 * @queue: queue it was submitted to
 * @pool: pool that runs it
 * @state: as stored, or as reported by its owner
 * @end_reported: @state is a final state that its owner has stored, though the
 *	watch has not shown it yet
 * @started: a task has been started at some time
 * @recurring: it has occurrences that are due at set times
 * @announced: the job hook has been called
 * @cancelled: a caller has cancelled it; without @spec by a tombstone, which
 *	keeps it from being created
 * @cancel_revision: revision of the cancellation
 * @cancelled_by: what showed the cancellation here first, for the log
 * @accepted_us: when this daemon first saw the job
 * @ended_us: when this daemon learned of its end; 0 before
 * @found_in_load: number of the last load that has read its description or,
 *	without one, its tombstone
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
	bool end_reported;
	bool started;
	bool recurring;
	bool announced;
	bool cancelled;
	uint64_t cancel_revision;
	const char *cancelled_by;
	int64_t accepted_us;
	int64_t ended_us;
	uint32_t found_in_load;
	UT_hash_handle hh;
};

/**
 * struct rp_worker - a worker that service discovery lists or has listed
 * @revision: last change of its entry
 * @info: decoded entry; strings belong to @info_ctx
 * @pool: pool it works for; NULL until an entry could be decoded
 * @unlisted_us: when its entry was removed or became unusable; 0 while listed
 * @found_in_load: number of the last load that has read its entry
 */
struct rp_worker {
	const char *id;
	uint64_t revision;
	struct wp_worker_info info;
	const char *pool;
	TALLOC_CTX *info_ctx;
	int64_t unlisted_us;
	uint32_t found_in_load;
	UT_hash_handle hh;
};

/**
 * struct rp_owner - ownership of a pool
 * @row: what stands for the pool in keys, see rp_pool_row()
 * @present: the pool has an owner
 * @revision: last change of the owner's key
 * @fence: the owner's fencing token: the revision that created its key
 * @vm: VM of the owner
 * @incarnation: incarnation of the owner's daemon
 * @lease: lease that the owner's key is bound to
 * @commit_seq: number of the owner's last commit
 * @term: number of owners that the pool has had
 * @released: the owner of @term stopped all work before it gave the pool up
 * @term_revision: last change of the stored term
 * @term_fence: fencing token of the owner of @term
 * @term_vm: VM of the owner of @term
 * @term_incarnation: incarnation of the owner of @term
 * @earlier_owner_until_wall_ms: wall-clock time until which owners before
 *	@term may still act on workers
 * @earlier_left_ms: for so long, from @term_read_us, owners before that one may
 *	act; -1 if the row doesn't say
 * @term_read_us: when that revision of the term was first read
 * @witnesses: witnesses of the owner of @term; none if it has none, or if the
 *	stored list can't be used
 * @workers: encoded list of workers that owners have used, @workers_bytes long
 * @workers_revision: revision of @workers; 0 without one
 * @workers_read_us: when that revision was first read
 * @found_in_load: number of the last load that has read the owner's key
 */
struct rp_owner {
	const char *row;
	bool present;
	uint64_t revision;
	uint64_t fence;
	char *vm;
	uint64_t incarnation;
	uint64_t lease;
	uint64_t commit_seq;
	uint32_t term;
	bool released;
	uint64_t term_revision;
	uint64_t term_fence;
	char *term_vm;
	uint64_t term_incarnation;
	int64_t earlier_owner_until_wall_ms;
	int64_t earlier_left_ms;
	int64_t term_read_us;
	struct wt_list witnesses;
	uint8_t *workers;
	size_t workers_bytes;
	uint64_t workers_revision;
	int64_t workers_read_us;
	uint32_t found_in_load;
	UT_hash_handle hh;
};

/**
 * struct rp_member - a daemon of the cell
 * @vm: VM that it runs on
 * @domain: failure domain of that VM
 * @address: "IP:PORT" for other daemons
 * @incarnation: distinguishes its process from earlier ones on that VM
 * @cpu_mcpu: share of a core that it may use, in thousandths
 * @witness: it answers as a witness
 * @revision: last change of its entry
 * @present: its entry exists
 * @found_in_load: number of the last load that has read its entry
 */
struct rp_member {
	char vm[WT_VM_BYTES];
	char *domain;
	char *address;
	uint64_t incarnation;
	uint32_t cpu_mcpu;
	bool witness;
	uint64_t revision;
	bool present;
	uint32_t found_in_load;
	UT_hash_handle hh;
};

/**
 * struct rp_wave - a maintenance wave
 * @id: its name in the keys
 * @revision: last change of the operators' request
 * @wave: the request and the progress of its VMs; NULL without a request
 * @progress_revision: last change of the stored progress; 0 without one
 * @deadline_wall_ms: stored deadline, on the wall clock
 * @progress: encoded progress as stored, @progress_bytes long, or NULL
 */
struct rp_wave {
	const char *id;
	uint64_t revision;
	struct mw_wave *wave;
	uint64_t progress_revision;
	int64_t deadline_wall_ms;
	uint8_t *progress;
	size_t progress_bytes;
	UT_hash_handle hh;
};

/**
 * struct rp_left_out - a row that is not used, and has been reported
 * @revision: revision of the row that was reported
 */
struct rp_left_out {
	uint64_t revision;
	UT_hash_handle hh;
	char key[];
};

/**
 * struct rp_hooks - callbacks, made after the replica has applied a change
 * @job: a new job; called once for each
 * @cancel: a job was cancelled
 * @worker: a worker was listed, changed or removed
 * @owner: the owner's key of a pool changed
 * @member: a daemon's entry was written or removed
 * @store_answered: the key space has answered a read or a watch
 */
struct rp_hooks {
	void (*job)(struct rp_job *job, void *arg);
	void (*cancel)(struct rp_job *job, void *arg);
	void (*worker)(struct rp_worker *w, void *arg);
	void (*owner)(struct rp_owner *o, void *arg);
	void (*member)(struct rp_member *m, void *arg);
	void (*store_answered)(void *arg);
};

/**
 * struct replica - local copy of the key space
 * @synced: the first load is complete
 * @loading: a load is not complete; items are in no common order until then
 * @applying_in_order: the item being applied comes in the order of changes
 * @source: what shows the item being applied, for the log
 * @applied_revision: revision up to which all changes are applied
 * @current_us: the copy has all changes that were made before that
 * @load_number: number of the newest load; one that is begun anew has its own
 * @load_revision: revision of the first page of the newest load
 * @load_sent_us: when that page was asked for
 * @load_since_us: when the newest load, or the first of its failed attempts,
 *	began; 0 between loads
 * @load_attempts: how often it, or one of its pages, has been asked for again
 * @load_rows: rows that its newest attempt has read
 * @not_ready: callers that were answered 503 since it began
 * @operator_revision: revision up to which operators' keys are applied
 * @load_operator_keys: their history was lost, so they have to be read again
 * @operator_cursor: last key of the page before; NULL for the first page
 * @watch_pause_us: pause between two watches, so that each returns a batch
 * @overdue_watches: since one was answered, those that the store should have
 *	answered, or a full answer that arrived for as long; the next one is over
 *	the cell's own keys
 * @watching: a watch is open
 * @watch_number: counts watches, so that one that was given up is recognized
 * @given_up: one that was given up has not ended
 * @watch_paused: no watch is open until @watch_resume_us
 * @load_prefix: keys that the newest load reads
 * @load_cursor: last key of the page before; NULL for the first page
 * @follow_workers: workers' entries are needed
 * @has_workers: the workers' entries are as current as all other keys
 * @follow_cancels: cancellations must be known soon after they were stored
 * @reading_cancels: a call for the cancellations alone is open
 * @load_cancels: their changes can't be had, so they are read as a whole
 * @cancels_cursor: last key of the page before; NULL for the first page
 * @cancels_as_of: revision of that first page
 * @cancels_revision: revision up to which cancellations have been read so
 * @cancels_sent_us: when the newest such read began
 * @cancels_current_us: cancellations that were stored before that are known
 * @cancels_at_us: not before then are they read again
 * @config: configuration in force, or NULL
 * @config_revision: revision of the newest configuration that was read
 */
struct replica {
	struct loop *loop;
	const struct fl_fleet *fleet;
	struct rp_hooks hooks;
	void *arg;
	bool synced;
	bool loading;
	bool applying_in_order;
	const char *source;
	uint64_t applied_revision;
	int64_t current_us;
	uint32_t load_number;
	uint64_t load_revision;
	int64_t load_sent_us;
	int64_t load_since_us;
	uint32_t load_attempts;
	uint32_t load_rows;
	uint32_t not_ready;
	uint64_t operator_revision;
	bool load_operator_keys;
	char *operator_cursor;
	int64_t watch_pause_us;
	uint32_t overdue_watches;
	bool watching;
	uint64_t watch_number;
	bool given_up;
	bool watch_paused;
	int64_t watch_resume_us;
	const char *load_prefix;
	char *load_cursor;
	bool follow_workers;
	bool has_workers;
	bool follow_cancels;
	bool reading_cancels;
	bool load_cancels;
	char *cancels_cursor;
	uint64_t cancels_as_of;
	uint64_t cancels_revision;
	int64_t cancels_sent_us;
	int64_t cancels_current_us;
	int64_t cancels_at_us;
	struct qs_config *config;
	uint64_t config_revision;
	struct rp_job *jobs;
	struct rp_worker *workers;
	struct rp_owner *owners;
	struct rp_member *members;
	struct rp_wave *waves;
	struct rp_left_out *left_out;
};

/**
 * rp_start() - load the key space and follow its changes
 * @ctx: talloc parent
 * @l: event loop
 * @fleet: key space to read; must outlive the replica
 * @hooks: callbacks; copied
 * @arg: argument of the callbacks
 */
struct replica *rp_start(TALLOC_CTX *ctx, struct loop *l,
    const struct fl_fleet *fleet, const struct rp_hooks *hooks, void *arg);

/**
 * rp_has_applied() - whether everything up to a revision is in the replica
 *
 * A key that a load has read tells nothing about keys of pages that are still
 * to come, or were read earlier. Workers' entries are not counted.
 */
bool rp_has_applied(const struct replica *r, uint64_t revision);

/**
 * rp_copy_age_us() - how long ago the replica was last known to be current
 *
 * An upper bound: what a call showed counts from when it was sent, as its answer
 * may have been under way for long.
 */
int64_t rp_copy_age_us(const struct replica *r, int64_t now_us);

/**
 * rp_follow_workers() - say whether workers' entries are needed
 *
 * Their changes are most of what a store of many workers reports. Entries that
 * were not followed stay as they were, and are read again before they count.
 */
void rp_follow_workers(struct replica *r, bool follow);

/**
 * rp_follow_cancels() - say whether cancellations must be known soon
 *
 * While the replica isn't known to be current, they are then read by calls of
 * their own, which a watch that hangs or a long load don't delay.
 */
void rp_follow_cancels(struct replica *r, bool follow);

/** rp_cancels_age_us() - the same as rp_copy_age_us() for cancellations */
int64_t rp_cancels_age_us(const struct replica *r, int64_t now_us);

/** rp_tick() - open the next watch if the pause is over, and what else is due */
void rp_tick(struct replica *r, int64_t now_us);

/** rp_watch_now() - open the next watch without waiting for the pause to end */
void rp_watch_now(struct replica *r);
/**
 * rp_watch_anew() - the store has answered, so it should have answered the watch
 * @r: replica
 *
 * A watch that was sent while the store was silent may hang until it times out. One
 * at a time is given up, as its answer goes on arriving if it doesn't hang.
 */
void rp_watch_anew(struct replica *r);

/** rp_find_job() - find a job whose description is known; NULL otherwise */
struct rp_job *rp_find_job(struct replica *r, const char *id);

/* What stands for a pool in keys, with its end. */
#define RP_POOL_ROW_BYTES (RP_KEY_BYTES + 1 - sizeof(RP_WORKERS_PREFIX))

/**
 * rp_pool_row() - what stands for a pool in keys
 * @pool: name of the pool, of any length
 * @row: receives it: the name, or a hash if the keys would be too long with it
 */
void rp_pool_row(const char *pool, char row[RP_POOL_ROW_BYTES]);

/** rp_make_pool_key() - key of a pool under a prefix; allocated from @ctx */
char *rp_make_pool_key(TALLOC_CTX *ctx, const char *prefix, const char *pool);

/** rp_is_hashed_row() - whether it doesn't tell the pool's name */
bool rp_is_hashed_row(const char *row);

/** rp_get_owner() - ownership of a pool; created if it is not known yet */
struct rp_owner *rp_get_owner(struct replica *r, const char *pool);

/** rp_owns_any() - whether a daemon owns a pool, according to this replica */
bool rp_owns_any(const struct replica *r, const char *vm);

/** rp_max_cpu_mcpu() - largest share of a core of any present daemon */
uint32_t rp_max_cpu_mcpu(const struct replica *r);

/** rp_forget_job() - free a job that was removed from the key space */
void rp_forget_job(struct replica *r, struct rp_job *job);

/**
 * rp_on_end_reported() - a job's end is stored, though the watch may be behind
 * @r: replica
 * @id: the job; its description may not be known yet
 * @state: its final state
 *
 * Return: whether that is news.
 */
bool rp_on_end_reported(struct replica *r, const char *id, enum jb_state state);

/**
 * rp_on_cancel_reported() - a cancellation is stored, which the watch may not
 *	have shown yet
 * @r: replica
 * @id: the job; its description may not be known yet
 * @revision: revision of the cancellation
 *
 * A report of what the watch has shown already is late, and is left out: the job
 * may have been removed since.
 */
void rp_on_cancel_reported(
    struct replica *r, const char *id, uint64_t revision);

/**
 * rp_apply_out_of_order() - apply an item that came outside the order of changes
 * @r: replica
 * @item: item of a read, a write, or the watch on operators' keys
 *
 * Calls no job hook: the pool may have a later owner that the watch has not
 * shown yet.
 */
void rp_apply_out_of_order(struct replica *r, const struct ks_item *item);

/** rp_announce_job() - call the job hook, once the pool's owner is certain */
void rp_announce_job(struct replica *r, struct rp_job *job);

#endif
