#ifndef CURRANTTACKD_REPLICA_INTERNAL_H
#define CURRANTTACKD_REPLICA_INTERNAL_H

#include "curranttackd/replica.h"

/**
 * DOC: Shared by the files that implement the replica: replica (loads the key
 * space and watches it), replica_rows (passes each row to the function for its
 * kind), replica_jobs (jobs, their progress and cancellation), replica_cancels
 * (cancellations, while the watch is not answered), replica_pools
 * (owners of pools and daemons of the cell), replica_entries (what others write:
 * workers' entries, the configuration, maintenance waves), replica_left_out
 * (rows that are not used).
 *
 * Functions rp_apply_*() for one kind of row take the part of its key behind the
 * prefix. They ignore rows that are not newer than what they have.
 */

/* replica_left_out.c */

/**
 * rp_leave_out() - report a row that is not used, once for each revision
 * @r: replica
 * @item: row; nothing is reported if it was deleted
 * @module: module in the log
 * @event: event in the log
 * @reason: why it is not used
 */
void rp_leave_out(struct replica *r, const struct ks_item *item,
    const char *module, const char *event, const char *reason);
/** rp_forget_left_out() - forget the report on a row that was deleted */
void rp_forget_left_out(struct replica *r, const struct ks_item *item);

/* replica_rows.c */

/** rp_apply_in_order() - apply an item that came in the order of changes */
void rp_apply_in_order(struct replica *r, const struct ks_item *item);
/** rp_mark_found() - mark an item as found by the load, if it can be deleted */
void rp_mark_found(struct replica *r, const struct ks_item *item);

/* replica_jobs.c */

void rp_apply_job(
    struct replica *r, const char *id, const struct ks_item *item);
void rp_apply_progress(
    struct replica *r, const char *id, const struct ks_item *item);
void rp_apply_cancel(
    struct replica *r, const char *id, const struct ks_item *item);
/**
 * rp_note_cancel() - a cancellation that the watch may not have shown yet
 * @r: replica
 * @id: the job; its description may not be known yet
 * @revision: revision of the cancellation; nothing is done if the watch passed it
 * @source: what showed it, for the log
 */
void rp_note_cancel(
    struct replica *r, const char *id, uint64_t revision, const char *source);
/** rp_find_tombstone() - a job of which only the cancellation is known, or NULL */
struct rp_job *rp_find_tombstone(struct replica *r, const char *id);
/** rp_remove_unfound_jobs() - forget jobs that the finished load has not read */
void rp_remove_unfound_jobs(struct replica *r);

/* replica_cancels.c */

/** rp_cancels_tick() - read the cancellations if the copy stands still */
void rp_cancels_tick(struct replica *r, int64_t now_us);

/* replica_pools.c */

void rp_apply_owner(
    struct replica *r, const char *pool, const struct ks_item *item);
void rp_apply_term(
    struct replica *r, const char *pool, const struct ks_item *item);
void rp_apply_workers(
    struct replica *r, const char *pool, const struct ks_item *item);
void rp_apply_member(
    struct replica *r, const char *vm, const struct ks_item *item);
/** rp_remove_unfound_cell_keys() - the same for owners and members */
void rp_remove_unfound_cell_keys(struct replica *r);

/* replica_entries.c */

void rp_apply_worker(
    struct replica *r, const char *id, const struct ks_item *item);
void rp_apply_config(struct replica *r, const struct ks_item *item);
void rp_apply_wave(
    struct replica *r, const char *id, const struct ks_item *item);
void rp_apply_wave_progress(
    struct replica *r, const char *id, const struct ks_item *item);
/** rp_remove_unfound_workers() - the same for workers' entries */
void rp_remove_unfound_workers(struct replica *r);

#endif
