#ifndef CURRANTTACKD_CALL_HANDLERS_H
#define CURRANTTACKD_CALL_HANDLERS_H

#include "curranttackd/calls.h"

/**
 * DOC: What a daemon does with a call that is for itself: run a forwarded
 * request, list its own counts, or pass the call to a shard that it owns.
 */

/** ch_ops - how calls.c reaches the rest of the daemon */
extern const struct call_ops ch_ops;

#endif
