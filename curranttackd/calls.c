#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "common/clock.h"
#include "curranttackd/calls.h"
#include "curranttackd/front.h"

#define CA_NO_OWNER_RETRY_MS 500

/**
 * struct pending_call - a call sent to a peer that has not replied yet
 * @id: number that the reply repeats
 * @link: link that it was sent over
 * @deadline_us: replied to with ST_UNKNOWN from then on
 * @done: receives the reply
 * @arg: its argument
 */
struct pending_call {
	uint64_t id;
	struct peer_link *link;
	int64_t deadline_us;
	call_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

/**
 * struct call_table - the calls of this daemon
 * @d: daemon
 * @ops: the parts of the daemon that calls need
 * @next_id: id of the latest call
 * @pending: calls to peers by id
 */
struct call_table {
	struct daemon *d;
	const struct call_ops *ops;
	uint64_t next_id;
	struct pending_call *pending;
};

struct call_table *
ca_create(struct daemon *d, const struct call_ops *ops)
{
	struct call_table *c;

	c = talloc_zero(d, struct call_table);
	if (c == NULL)
		return NULL;
	c->d = d;
	c->ops = ops;
	return c;
}

void
ca_init_reply(Currant__Reply *reply, enum st_outcome outcome, uint32_t status,
    const char *reason, uint32_t retry_after_ms)
{
	currant__reply__init(reply);
	reply->outcome = outcome;
	reply->has_status = 1;
	reply->status = status;
	reply->reason = (char *)reason;
	reply->has_retry_after_ms = retry_after_ms > 0;
	reply->retry_after_ms = retry_after_ms;
}

void
ca_reply_not_run(call_done_fn done, void *arg, const char *reason)
{
	Currant__Reply reply;

	ca_init_reply(&reply, ST_NOT_RUN, 503, reason, CA_NO_OWNER_RETRY_MS);
	done(&reply, arg);
}

static void
ca_finish(
    struct call_table *c, struct pending_call *p, const Currant__Reply *reply)
{
	HASH_DEL(c->pending, p);
	p->done(reply, p->arg);
	talloc_free(p);
}

static void
ca_send_to_peer(struct call_table *c, Currant__Call *call, const char *vm,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct pending_call *p;
	struct peer_link *link;

	link = c->ops->get_link(c->d, vm);
	if (link == NULL) {
		ca_reply_not_run(
		    done, arg, "the daemon in charge cannot be reached");
		return;
	}
	call->id = ++c->next_id;
	frame.call = call;
	p = talloc_zero(c, struct pending_call);
	if (p == NULL)
		abort();
	p->id = call->id;
	p->link = link;
	p->deadline_us = deadline_us;
	p->done = done;
	p->arg = arg;
	/* Sending may find that the link is broken, which ends its calls. */
	HASH_ADD(hh, c->pending, id, sizeof(p->id), p);
	if (peer_send(link, &frame))
		return;
	HASH_DEL(c->pending, p);
	talloc_free(p);
	ca_reply_not_run(done, arg, "the daemon in charge takes no calls");
}

void
ca_start(struct call_table *c, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg)
{
	int64_t now_us = clk_now_us();
	int64_t remaining_ms = (deadline_us - now_us) / CLK_US_PER_MS;
	char vm[MB_NAME_BYTES] = "";
	struct mb_member *owner;

	call->remaining_ms = remaining_ms > 0 ? (uint32_t)remaining_ms : 0;
	call->shard = (char *)target->shard;
	if (target->vm == NULL && target->shard != NULL &&
	    c->ops->owns_shard(c->d, target->shard)) {
		c->ops->handle(c->d, call, deadline_us, done, arg);
		return;
	}
	if (target->vm != NULL) {
		snprintf(vm, sizeof(vm), "%s", target->vm);
	} else {
		pthread_mutex_lock(&c->d->members_lock);
		owner = mb_shard_owner(c->d->view, target->shard, now_us, NULL);
		if (owner != NULL)
			memcpy(vm, owner->report.vm, sizeof(vm));
		pthread_mutex_unlock(&c->d->members_lock);
	}
	if (target->vm != NULL && strcmp(vm, c->d->settings->vm) == 0) {
		c->ops->handle(c->d, call, deadline_us, done, arg);
		return;
	}
	if (vm[0] == '\0' || strcmp(vm, c->d->settings->vm) == 0) {
		ca_reply_not_run(
		    done, arg, "the shard has no owner at present");
		return;
	}
	ca_send_to_peer(c, call, vm, deadline_us, done, arg);
}

void
ca_on_reply(struct call_table *c, const Currant__Reply *reply)
{
	struct pending_call *p;
	uint64_t id = reply->id;

	HASH_FIND(hh, c->pending, &id, sizeof(id), p);
	/* The call of a late reply has already timed out. */
	if (p != NULL)
		ca_finish(c, p, reply);
}

void
ca_on_link_closed(struct call_table *c, struct peer_link *link)
{
	struct pending_call *p;
	struct pending_call *next;
	Currant__Reply reply;

	/* Frames wait for the handshake; without one, nothing was delivered. */
	if (peer_established(link))
		ca_init_reply(&reply, ST_UNKNOWN, 504, "the link broke", 0);
	else
		ca_init_reply(&reply, ST_NOT_RUN, 503,
		    "the daemon in charge cannot be reached",
		    CA_NO_OWNER_RETRY_MS);
	HASH_ITER(hh, c->pending, p, next) {
		if (p->link == link)
			ca_finish(c, p, &reply);
	}
}

void
ca_expire_calls(struct call_table *c, int64_t now_us)
{
	struct pending_call *p;
	struct pending_call *next;
	Currant__Reply reply;

	ca_init_reply(
	    &reply, ST_UNKNOWN, 504, "no answer within the deadline", 0);
	HASH_ITER(hh, c->pending, p, next) {
		if (now_us >= p->deadline_us)
			ca_finish(c, p, &reply);
	}
}

/**
 * struct handled_call - where to send the reply to a peer's call
 * @calls: call table
 * @link_serial: serial of the peer's link, which may have closed by then
 * @id: id of the call
 */
struct handled_call {
	struct call_table *calls;
	uint64_t link_serial;
	uint64_t id;
};

static void
ca_reply_to_peer(const Currant__Reply *reply, void *arg)
{
	struct handled_call *handled = arg;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	Currant__Reply copy = *reply;
	struct peer_link *link;

	copy.id = handled->id;
	frame.reply = &copy;
	/* If it cannot be sent, a closed link tells the peer so. */
	link = peer_find(handled->calls->d->peers, handled->link_serial);
	if (link != NULL && !peer_send(link, &frame))
		peer_close(link);
	talloc_free(handled);
}

void
ca_on_call(
    struct call_table *c, struct peer_link *link, const Currant__Call *call)
{
	struct handled_call *handled;

	handled = talloc_zero(c, struct handled_call);
	if (handled == NULL)
		abort();
	handled->calls = c;
	handled->id = call->id;
	handled->link_serial = peer_serial(link);
	c->ops->handle(c->d, call,
	    clk_now_us() + (int64_t)call->remaining_ms * CLK_US_PER_MS,
	    ca_reply_to_peer, handled);
}

/** struct posted_reply - a reply posted to another loop */
struct posted_reply {
	uint8_t *packed;
	size_t packed_bytes;
	call_done_fn done;
	void *arg;
};

static void
ca_deliver_reply(void *arg)
{
	struct posted_reply *posted = arg;
	Currant__Reply *reply;

	reply =
	    currant__reply__unpack(NULL, posted->packed_bytes, posted->packed);
	if (reply == NULL)
		abort();
	posted->done(reply, posted->arg);
	currant__reply__free_unpacked(reply, NULL);
	talloc_free(posted);
}

void
ca_post_reply(
    struct loop *l, const Currant__Reply *reply, call_done_fn done, void *arg)
{
	struct posted_reply *posted;

	/* No talloc parent: it passes from one thread to another. */
	posted = talloc_zero(NULL, struct posted_reply);
	if (posted == NULL)
		abort();
	posted->done = done;
	posted->arg = arg;
	posted->packed_bytes = currant__reply__get_packed_size(reply);
	posted->packed = talloc_size(posted, posted->packed_bytes + 1);
	if (posted->packed == NULL)
		abort();
	currant__reply__pack(reply, posted->packed);
	loop_post(l, ca_deliver_reply, posted);
}

/** struct posted_call - a call posted from a frontend to the control loop */
struct posted_call {
	struct frontend *frontend;
	uint8_t *packed;
	size_t packed_bytes;
	char vm[MB_NAME_BYTES];
	char shard[MB_NAME_BYTES];
	int64_t deadline_us;
	call_done_fn done;
	void *arg;
};

static void
ca_return_reply(const Currant__Reply *reply, void *arg)
{
	struct posted_call *posted = arg;

	ca_post_reply(posted->frontend->loop, reply, posted->done, posted->arg);
	talloc_free(posted);
}

static void
ca_start_posted(void *arg)
{
	struct posted_call *posted = arg;
	struct call_target target = {
	    posted->vm[0] != '\0' ? posted->vm : NULL, posted->shard};
	Currant__Call *call;

	call =
	    currant__call__unpack(NULL, posted->packed_bytes, posted->packed);
	if (call == NULL)
		abort();
	free(call->shard);
	call->shard = NULL;
	ca_start(posted->frontend->d->calls, call, &target, posted->deadline_us,
	    ca_return_reply, posted);
	call->shard = NULL;
	currant__call__free_unpacked(call, NULL);
}

void
ca_start_from_frontend(struct frontend *f, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg)
{
	struct posted_call *posted;

	/* No talloc parent: it passes from one thread to another. */
	posted = talloc_zero(NULL, struct posted_call);
	if (posted == NULL)
		abort();
	posted->frontend = f;
	posted->deadline_us = deadline_us;
	posted->done = done;
	posted->arg = arg;
	if (target->vm != NULL)
		snprintf(posted->vm, sizeof(posted->vm), "%s", target->vm);
	if (target->shard != NULL)
		snprintf(
		    posted->shard, sizeof(posted->shard), "%s", target->shard);
	posted->packed_bytes = currant__call__get_packed_size(call);
	posted->packed = talloc_size(posted, posted->packed_bytes + 1);
	if (posted->packed == NULL)
		abort();
	currant__call__pack(call, posted->packed);
	loop_post(f->d->control_loop, ca_start_posted, posted);
}
