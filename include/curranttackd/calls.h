#ifndef CURRANTTACKD_CALLS_H
#define CURRANTTACKD_CALLS_H

#include "curranttackd/daemon.h"

/**
 * typedef call_done_fn - called exactly once per call on its loop
 * @reply: outcome; valid during the call
 * @arg: the caller's argument
 */
typedef void (*call_done_fn)(const Currant__Reply *reply, void *arg);

/** struct call_target - who is to handle a call */
struct call_target {
	const char *vm; /* a daemon, or NULL for the owner of @shard */
	const char *shard;
};

/** ca_create() - no calls yet */
struct calls *ca_create(struct daemon *d);

/**
 * ca_start() - start a call; control loop
 * @c: calls
 * @call: message; id and remaining time are filled in
 * @target: who
 * @deadline_us: answer with "unknown" from here on
 * @done: callback
 * @arg: its argument
 */
void ca_start(struct calls *c, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg);

/** ca_post() - like ca_start(), from the loop of a front */
void ca_post(struct front *f, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg);

/**
 * ca_post_reply() - hand a reply to a callback on another loop
 * @l: loop
 * @reply: reply, copied
 * @done: callback
 * @arg: its argument
 */
void ca_post_reply(
    struct loop *l, const Currant__Reply *reply, call_done_fn done, void *arg);

/** ca_on_call() - a call from a peer */
void ca_on_call(
    struct calls *c, struct peer_link *link, const Currant__Call *call);
/** ca_on_reply() - an answer from a peer */
void ca_on_reply(struct calls *c, const Currant__Reply *reply);
/** ca_on_closed() - answers over this link will not come */
void ca_on_closed(struct calls *c, struct peer_link *link);
/** ca_tick() - expire deadlines */
void ca_tick(struct calls *c, int64_t now_us);

/** ca_reply() - fill a reply without a body */
void ca_reply(Currant__Reply *reply, enum st_outcome outcome, uint32_t status,
    const char *reason, uint32_t retry_after_ms);

#endif
