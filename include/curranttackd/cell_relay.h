#ifndef CURRANTTACKD_CELL_RELAY_H
#define CURRANTTACKD_CELL_RELAY_H

#include "curranttackd/cell.h"

/**
 * DOC: An owner's traffic with the workers of a large pool.
 *
 * One VM can't exchange HTTP with hundreds of workers, so a daemon in each
 * worker's failure domain does it on the owner's behalf. It only passes orders
 * and answers on: every decision, run number and fencing token is the owner's.
 * Small pools, and domains whose daemons can't be reached, are served directly.
 */

struct rl_dispatcher;

/** rl_create() - a desk without calls */
struct rl_dispatcher *rl_create(struct cell *c);

/**
 * rl_order() - send an order to a worker
 * @d: desk
 * @w: worker that the order is for; NULL when it is not known any more
 * @o: order; must live until @done is called
 * @fence: fencing token of the owner
 * @relayed: the pool is large
 * @done: called once, with WP_NO_ANSWER when a relay falls silent
 * @arg: its argument
 */
void rl_order(struct rl_dispatcher *d, const struct wp_worker *w,
    const struct wp_order *o, uint64_t fence, bool relayed, fl_order_fn done,
    void *arg);

/** rl_hold() - renew a worker's leases and fetch its lists; as rl_order() */
void rl_hold(struct rl_dispatcher *d, const struct wp_worker *w,
    const struct wp_hold *hold, uint64_t fence, bool relayed, fl_hold_fn done,
    void *arg);

/** rl_flush() - send what was handed over since the last time */
void rl_flush(struct rl_dispatcher *d);

/** rl_on_results() - a relay has sent results */
void rl_on_results(struct rl_dispatcher *d, const Currant__Frame *frame);

/** rl_serve() - pass on what an owner has sent for workers of this domain */
void rl_serve(
    struct cell *c, struct peer_link *link, const Currant__Frame *frame);

/** rl_on_closed() - a link to a peer is gone */
void rl_on_closed(struct rl_dispatcher *d, struct peer_link *link);

/** rl_tick() - time-outs */
void rl_tick(struct rl_dispatcher *d, int64_t now_us);

#endif
