#ifndef CURRANTTACKD_CELL_RELAY_H
#define CURRANTTACKD_CELL_RELAY_H

#include "curranttackd/cell.h"

/**
 * DOC: Calls from a pool's owner to its workers, directly or through relays.
 *
 * One VM can't exchange HTTP with hundreds of workers. So in a large pool, a
 * daemon in the worker's failure domain, its relay, calls it for the owner. A
 * relay only forwards calls and responses: every decision, run number and
 * fencing token is the owner's. The owner calls workers of small pools, and of
 * domains without a reachable daemon, directly.
 */

struct rl_dispatcher;

/** rl_create() - a dispatcher without calls; freed with the cell */
struct rl_dispatcher *rl_create(struct cell *c);

/**
 * rl_order() - send an order to a worker
 * @d: dispatcher
 * @w: worker that the order is for; NULL if it is no longer known
 * @o: order; must live until @done is called
 * @fence: fencing token of the owner
 * @relayed: use a relay if one can be reached
 * @done: called once, with WP_NO_ANSWER if a relay does not answer in time
 * @arg: argument of @done
 */
void rl_order(struct rl_dispatcher *d, const struct wp_worker *w,
    const struct wp_order *o, uint64_t fence, bool relayed, fl_order_fn done,
    void *arg);

/**
 * rl_renew() - renew a worker's leases and fetch its lists of runs
 *
 * Parameters as for rl_order(), but @done is also called, once and before, when
 * the reply is overdue. A renewal may be repeated, so the worker is called
 * directly if its relay fails.
 */
void rl_renew(struct rl_dispatcher *d, const struct wp_worker *w,
    const struct wp_renewal *renewal, uint64_t fence, bool relayed,
    fl_renewal_fn done, void *arg);

/** rl_flush() - send the batched calls to their relays */
void rl_flush(struct rl_dispatcher *d);

/** rl_on_results() - a relay has sent the results of calls */
void rl_on_results(struct rl_dispatcher *d, const Currant__Frame *frame);

/** rl_serve() - make the worker calls that an owner has sent to this relay */
void rl_serve(
    struct cell *c, struct peer_link *link, const Currant__Frame *frame);

/** rl_forget_sender() - a link over which calls may have come was closed */
void rl_forget_sender(struct cell *c, struct peer_link *link);

/** rl_on_closed() - a link was closed: fail the calls sent over it */
void rl_on_closed(struct rl_dispatcher *d, struct peer_link *link);

/** rl_tick() - fail relays that have not answered in time */
void rl_tick(struct rl_dispatcher *d, int64_t now_us);

#endif
