#ifndef PROTOCOL_RELAY_CODEC_H
#define PROTOCOL_RELAY_CODEC_H

#include "protocol/curranttack.pb-c.h"
#include "state/pool.h"

/**
 * DOC: Orders, renewals and their results as daemons relay them.
 *
 * Packed messages borrow the strings of what they were packed from. Unpacking
 * checks names and numbers: a peer may run another version.
 */

/** rc_pack_order() - fill in the message for an order */
void rc_pack_order(Currant__RelayedOrder *m, uint64_t id,
    const struct wp_order *o, uint64_t fence);

/**
 * rc_unpack_order() - read an order
 * @m: message
 * @o: order; borrows the message's strings
 *
 * Return: false when a field is not valid.
 */
bool rc_unpack_order(const Currant__RelayedOrder *m, struct wp_order *o);

/** rc_pack_renewal() - fill in the message for a renewal */
void rc_pack_renewal(Currant__RelayedHold *m, uint64_t id,
    const struct wp_worker *w, const struct wp_renewal *hold, uint64_t fence);

/**
 * rc_unpack_renewal() - read a renewal
 * @m: message
 * @w: receives the worker's id and address
 * @hold: renewal
 *
 * Return: false when a field is not valid.
 */
bool rc_unpack_renewal(const Currant__RelayedHold *m, struct wp_worker *w,
    struct wp_renewal *hold);

/** rc_pack_renewal_reply() - encode a worker's lists, as children of @ctx */
void rc_pack_renewal_reply(TALLOC_CTX *ctx, Currant__RelayedHoldResult *m,
    const struct wp_renewal_reply *reply);

/**
 * rc_unpack_renewal_reply() - read a worker's lists
 * @ctx: talloc parent of the lists
 * @m: message; its strings are borrowed
 * @reply: lists
 *
 * Return: false when the lists can't be used.
 */
bool rc_unpack_renewal_reply(TALLOC_CTX *ctx,
    const Currant__RelayedHoldResult *m, struct wp_renewal_reply *reply);

/** rc_unpack_result() - a result; WP_NO_ANSWER for one not known here */
enum wp_order_result rc_unpack_result(uint32_t result);

#endif
