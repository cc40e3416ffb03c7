#ifndef CURRANTTACKD_CELL_LOOKUP_H
#define CURRANTTACKD_CELL_LOOKUP_H

#include "curranttackd/cell.h"

/**
 * DOC: States of jobs, asked of the pools' owners.
 *
 * Daemons of a large cell look at the key space at intervals. A caller who asks
 * one of them about a job that goes on is told what the owner knows.
 */

/** typedef lk_done_fn - the newest state that could be learned */
typedef void (*lk_done_fn)(enum jb_state state, void *arg);

struct lk_resolver;

/** lk_create() - a desk without questions */
struct lk_resolver *lk_create(struct cell *c);

/**
 * lk_ask() - learn the state of a job
 * @d: desk
 * @job: job of the replica
 * @done: called once, at once when nobody has to be asked
 * @arg: its argument
 */
void lk_ask(struct lk_resolver *d, const struct rp_job *job, lk_done_fn done,
    void *arg);

/** lk_on_query() - a peer asks this daemon */
void lk_on_query(struct lk_resolver *d, struct peer_link *link,
    const Currant__JobStateQuery *query);
/** lk_on_answer() - a peer has answered */
void lk_on_answer(struct lk_resolver *d, const Currant__JobStateAnswer *answer);
/** lk_on_closed() - a link to a peer is gone */
void lk_on_closed(struct lk_resolver *d, struct peer_link *link);

#endif
