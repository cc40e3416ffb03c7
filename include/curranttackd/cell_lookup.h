#ifndef CURRANTTACKD_CELL_LOOKUP_H
#define CURRANTTACKD_CELL_LOOKUP_H

#include "curranttackd/cell.h"

/**
 * DOC: Queries pool owners for the current state of jobs.
 *
 * In a large cell a daemon's replica may lag behind. When a caller queries a
 * job that has not ended, the daemon asks the owner of its pool.
 */

/** typedef lk_done_fn - receives the newest state that could be learned */
typedef void (*lk_done_fn)(enum jb_state state, void *arg);

struct lk_resolver;

/** lk_create() - a resolver without queries; freed with the cell */
struct lk_resolver *lk_create(struct cell *c);

/**
 * lk_resolve() - find out the current state of a job
 * @r: resolver
 * @job: job of the replica
 * @done: called once; before lk_resolve() returns if no owner has to be asked
 * @arg: argument of @done
 */
void lk_resolve(struct lk_resolver *r, const struct rp_job *job,
    lk_done_fn done, void *arg);

/** lk_on_query() - answer the query of a peer */
void lk_on_query(struct lk_resolver *r, struct peer_link *link,
    const Currant__JobStateQuery *query);
/** lk_on_answer() - a peer has answered a query */
void lk_on_answer(struct lk_resolver *r, const Currant__JobStateAnswer *answer);
/** lk_on_closed() - a link was closed: finish the queries sent over it */
void lk_on_closed(struct lk_resolver *r, struct peer_link *link);

#endif
