#ifndef PROTOCOL_RELAY_CODEC_H
#define PROTOCOL_RELAY_CODEC_H

#include "protocol/curranttack.pb-c.h"
#include "state/pool.h"

/**
 * DOC: Encoding of relayed orders, lease renewals and their results.
 *
 * Packed messages borrow the strings of what they were packed from. Unpacking
 * checks names and numbers, since the other daemon may run another version.
 */

/*
 * Result of a renewal whose reply exceeds a frame. Its sender calls the worker
 * directly; one that doesn't know it takes the renewal as unanswered.
 */
#define RC_REPLY_TOO_LARGE 100

/** rc_pack_order() - fill in an order's message; its result has the same @id */
void rc_pack_order(Currant__RelayedOrder *m, uint64_t id,
    const struct wp_order *o, uint64_t fence);

/**
 * rc_unpack_order() - decode an order
 * @m: message
 * @o: receives the order; borrows the message's strings
 *
 * Return: false when a field is invalid.
 */
bool rc_unpack_order(const Currant__RelayedOrder *m, struct wp_order *o);

/** rc_pack_renewal() - fill in the message for a worker's lease renewal */
void rc_pack_renewal(Currant__RelayedHold *m, uint64_t id,
    const struct wp_worker *w, const struct wp_renewal *renewal,
    uint64_t fence);

/**
 * rc_unpack_renewal() - decode a lease renewal
 * @m: message
 * @w: receives the worker's id and address
 * @renewal: renewal
 *
 * Return: false when a field is invalid.
 */
bool rc_unpack_renewal(const Currant__RelayedHold *m, struct wp_worker *w,
    struct wp_renewal *renewal);

/** rc_limit_late_renewal() - leave out what its worker's next life must not get */
void rc_limit_late_renewal(struct wp_renewal *renewal);

/** rc_pack_renewal_reply() - fill in a worker's reply; allocates under @ctx */
void rc_pack_renewal_reply(TALLOC_CTX *ctx, Currant__RelayedHoldResult *m,
    const struct wp_renewal_reply *reply);

/**
 * rc_unpack_renewal_reply() - decode a worker's reply to a renewal
 * @ctx: talloc parent of the lists
 * @m: message
 * @reply: receives the lists; borrows the message's strings
 *
 * Return: false when a field is missing or invalid.
 */
bool rc_unpack_renewal_reply(TALLOC_CTX *ctx,
    const Currant__RelayedHoldResult *m, struct wp_renewal_reply *reply);

/** rc_unpack_order_result() - WP_NO_ANSWER for one that no order can have */
enum wp_order_result rc_unpack_order_result(uint32_t result);
/** rc_unpack_renewal_result() - WP_NO_ANSWER for one not known here */
enum wp_order_result rc_unpack_renewal_result(uint32_t result);

#endif
