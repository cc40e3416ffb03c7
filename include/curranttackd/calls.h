#ifndef CURRANTTACKD_CALLS_H
#define CURRANTTACKD_CALLS_H

#include "curranttackd/daemon.h"

/**
 * DOC: Remote procedure calls between daemons.
 *
 * A call goes to a given daemon or to the owner of a shard, which may be this
 * daemon. Every call ends with exactly one reply; without a response from the
 * peer it is ST_NOT_RUN if the call was certainly not delivered and
 * ST_UNKNOWN otherwise.
 */

/**
 * typedef call_done_fn - receives the reply; called exactly once per call
 * @reply: outcome; valid only during the callback
 * @arg: argument given with the callback
 */
typedef void (*call_done_fn)(const Currant__Reply *reply, void *arg);

/**
 * struct call_target - the daemon that handles a call
 * @vm: VM of the daemon, or NULL for the owner of @shard
 * @shard: shard id; may be NULL if @vm is set
 */
struct call_target {
	const char *vm;
	const char *shard;
};

/**
 * struct call_ops - the parts of the daemon that calls need
 * @get_link: the link to a daemon, or NULL
 * @owns_shard: whether this daemon owns a shard
 * @handle: handle a call that is for this daemon; replies exactly once
 */
struct call_ops {
	struct peer_link *(*get_link)(struct daemon *d, const char *vm);
	bool (*owns_shard)(const struct daemon *d, const char *shard);
	void (*handle)(struct daemon *d, const Currant__Call *call,
	    int64_t deadline_us, call_done_fn done, void *arg);
};

/**
 * ca_create() - create an empty table
 * @d: daemon
 * @ops: not copied
 *
 * Return: the table, or NULL without memory.
 */
struct call_table *ca_create(struct daemon *d, const struct call_ops *ops);

/**
 * ca_start() - start a call; only on the control loop
 * @c: call table
 * @call: message; its id, shard and remaining time are filled in
 * @target: daemon that handles it
 * @deadline_us: monotonic time; without a reply by then it is ST_UNKNOWN
 * @done: callback; may be called before ca_start() returns
 * @arg: its argument
 */
void ca_start(struct call_table *c, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg);

/**
 * ca_start_from_frontend() - ca_start(), called on the loop of a frontend
 * @f: frontend; @done is called on its loop
 * @call: message, copied
 * @target: daemon that handles it, copied
 * @deadline_us: as for ca_start()
 * @done: callback
 * @arg: its argument
 */
void ca_start_from_frontend(struct frontend *f, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg);

/**
 * ca_post_reply() - pass a reply to a callback on another loop
 * @l: loop that calls @done
 * @reply: reply, copied
 * @done: callback
 * @arg: its argument
 */
void ca_post_reply(
    struct loop *l, const Currant__Reply *reply, call_done_fn done, void *arg);

/** ca_on_call() - handle a call from a peer */
void ca_on_call(
    struct call_table *c, struct peer_link *link, const Currant__Call *call);
/** ca_on_reply() - handle a reply from a peer */
void ca_on_reply(struct call_table *c, const Currant__Reply *reply);
/** ca_on_link_closed() - end the calls sent over a link that has closed */
void ca_on_link_closed(struct call_table *c, struct peer_link *link);
/** ca_expire_calls() - end the calls whose deadline has passed */
void ca_expire_calls(struct call_table *c, int64_t now_us);

/**
 * ca_init_reply() - initialize a reply without a body
 * @reply: reply
 * @outcome: outcome
 * @status: HTTP status
 * @reason: text for the caller, not copied; may be NULL
 * @retry_after_ms: when to try again; 0 for no advice
 */
void ca_init_reply(Currant__Reply *reply, enum st_outcome outcome,
    uint32_t status, const char *reason, uint32_t retry_after_ms);

/** ca_reply_not_run() - reply that a call has not run, to be tried again */
void ca_reply_not_run(call_done_fn done, void *arg, const char *reason);

#endif
