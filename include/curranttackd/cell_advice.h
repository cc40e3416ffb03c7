#ifndef CURRANTTACKD_CELL_ADVICE_H
#define CURRANTTACKD_CELL_ADVICE_H

#include "curranttackd/cell.h"

/**
 * DOC: Spreads requests to the advice service over the daemons of the cell.
 *
 * The service handles one request at a time for each VM, so owners forward
 * requests to other daemons, which call the service for them.
 */

/** av_create() - a dispatcher without requests; freed with the cell */
struct av_dispatcher *av_create(struct cell *c);

/**
 * av_submit() - queue a request, to be sent by this daemon or a peer
 * @d: dispatcher
 * @request: request; copied
 * @done: called once, with ok false when the request failed
 * @arg: argument of @done
 */
void av_submit(struct av_dispatcher *d, const struct wp_advice_request *request,
    fl_advice_fn done, void *arg);

/** av_on_peer_request() - a peer wants this daemon to call the service */
void av_on_peer_request(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAsk *row);
/** av_on_peer_answer() - a peer has sent the service's response */
void av_on_peer_answer(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAnswer *answer);
/** av_on_closed() - a link was closed: fail requests sent over it, drop its own */
void av_on_closed(struct av_dispatcher *d, struct peer_link *link);
/** av_tick() - check timeouts and send queued requests */
void av_tick(struct av_dispatcher *d, int64_t now_us);

#endif
