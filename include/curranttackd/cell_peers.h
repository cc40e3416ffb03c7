#ifndef CURRANTTACKD_CELL_PEERS_H
#define CURRANTTACKD_CELL_PEERS_H

#include "curranttackd/cell.h"

/**
 * DOC: Links to the other daemons of the cell.
 *
 * Messages between daemons only reduce latency: everything that must not be
 * lost is also written to the key space.
 */

struct pn_links;

/** typedef pn_refused_fn - a daemon's address refuses connections */
typedef void (*pn_refused_fn)(struct cell *c, const char *vm);

/** pn_create() - a set without links; freed with the cell */
struct pn_links *pn_create(struct cell *c, pn_refused_fn on_refused);

/** pn_tick() - open the links to other members that are missing */
void pn_tick(struct pn_links *n, int64_t now_us);

/** pn_link() - established link to the daemon on a VM, or NULL */
struct peer_link *pn_link(struct pn_links *n, const char *vm);

/** pn_reset_link() - close an unresponsive link; pn_tick() opens a new one */
void pn_reset_link(struct pn_links *n, const char *vm);

/** pn_on_closed() - a link was closed and is about to be freed */
void pn_on_closed(struct pn_links *n, struct peer_link *link);

/** pn_send_job() - send a job that was accepted here to the pool's owner */
void pn_send_job(struct pn_links *n, const char *owner_vm, const char *id,
    const uint8_t *spec, size_t spec_bytes, uint64_t revision, uint64_t fence);

/**
 * pn_send_cancelled() - tell a pool's owner of a cancellation that is stored
 * @n: links
 * @owner_vm: VM of the owner
 * @id: the job
 * @revision: revision of the cancellation
 */
void pn_send_cancelled(struct pn_links *n, const char *owner_vm, const char *id,
    uint64_t revision);

/** pn_queue_ended() - queue the end of a job for pn_flush_ended() */
void pn_queue_ended(struct pn_links *n, const char *id, enum jb_state state);

/** pn_flush_ended() - send the queued ends of jobs to all daemons */
void pn_flush_ended(struct pn_links *n);

/** pn_is_small_cell() - whether all daemons are told of each job's end */
bool pn_is_small_cell(const struct pn_links *n);

/** pn_send_owner_changed() - make all daemons read the key space at once */
void pn_send_owner_changed(struct pn_links *n);

#endif
