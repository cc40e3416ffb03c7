#ifndef CURRANTTACKD_CELL_ADVICE_H
#define CURRANTTACKD_CELL_ADVICE_H

#include "curranttackd/cell.h"

/**
 * DOC: Questions to the advice service.
 *
 * The service answers one call at a time for each VM that asks, so owners
 * spread their questions over all daemons.
 */

/** av_create() - a desk without questions */
struct av_dispatcher *av_create(struct cell *c);

/**
 * av_ask() - have a question answered, here or by a peer
 * @d: desk
 * @ask: question; copied
 * @done: called once
 * @arg: its argument
 */
void av_ask(struct av_dispatcher *d, const struct wp_ask *ask,
    fl_advice_fn done, void *arg);

/** av_on_ask() - a peer asks this daemon */
void av_on_ask(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAsk *ask);
/** av_on_answer() - a peer has answered */
void av_on_answer(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAnswer *answer);
/** av_on_closed() - a link to a peer is gone */
void av_on_closed(struct av_dispatcher *d, struct peer_link *link);
/** av_tick() - time-outs */
void av_tick(struct av_dispatcher *d, int64_t now_us);

#endif
