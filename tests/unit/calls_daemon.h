#ifndef TESTS_CALLS_DAEMON_H
#define TESTS_CALLS_DAEMON_H

/* The calls of a daemon, whose header is for C only, over one link. */

#include <stdint.h>
#include <talloc.h>

#include "transport/peer.h"

struct call_table;

struct call_table *cd_create(TALLOC_CTX *ctx);
void cd_call(struct call_table *c, struct peer_link *link, int64_t deadline_us,
    void (*done)(const Currant__Reply *reply, void *arg), void *arg);
void cd_on_closed(struct call_table *c, struct peer_link *link);

#endif
