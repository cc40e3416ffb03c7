#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "common/clock.h"
#include "curranttackd/calls.h"
#include "curranttackd/front.h"
#include "curranttackd/members.h"
#include "curranttackd/shard_host.h"

#define CA_NO_OWNER_RETRY_MS 500

/** struct pending_call - a call that a peer handles */
struct pending_call {
	uint64_t id;
	struct peer_link *link;
	int64_t deadline_us;
	call_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

struct call_table {
	struct daemon *d;
	uint64_t next_id;
	struct pending_call *pending;
};

struct call_table *
ca_create(struct daemon *d)
{
	struct call_table *c;

	c = talloc_zero(d, struct call_table);
	if (c != NULL)
		c->d = d;
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

static void
ca_refuse(call_done_fn done, void *arg, const char *reason)
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
ca_send(struct call_table *c, Currant__Call *call, const char *vm,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct pending_call *p;
	struct peer_link *link;

	link = me_get_link(c->d->members, vm);
	if (link == NULL) {
		ca_refuse(done, arg, "the daemon in charge cannot be reached");
		return;
	}
	call->id = ++c->next_id;
	frame.call = call;
	p = talloc_zero(c, struct pending_call);
	if (p == NULL || !peer_send(link, &frame)) {
		talloc_free(p);
		ca_refuse(done, arg, "the daemon in charge takes no calls");
		return;
	}
	p->id = call->id;
	p->link = link;
	p->deadline_us = deadline_us;
	p->done = done;
	p->arg = arg;
	HASH_ADD(hh, c->pending, id, sizeof(p->id), p);
}

static struct shard_host *
ca_local_host(struct daemon *d, const char *shard)
{
	uint32_t i;

	for (i = 0; i < d->shard_host_count; i++) {
		if (strcmp(ho_shard_id(d->shard_host[i]), shard) == 0 &&
		    ho_owns(d->shard_host[i], NULL))
			return d->shard_host[i];
	}
	return NULL;
}

static void
ca_answer_burn(struct call_table *c, call_done_fn done, void *arg)
{
	json_t *list = ao_burn_json(c->d);
	char *text = json_dumps(list, JSON_COMPACT);
	Currant__Reply reply;

	ca_init_reply(&reply, ST_DONE, 200, NULL, 0);
	reply.has_body = 1;
	reply.body.data = (uint8_t *)text;
	reply.body.len = strlen(text);
	done(&reply, arg);
	free(text);
	json_decref(list);
}

static void
ca_handle_here(struct call_table *c, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	struct shard_host *host;

	if (call->forward != NULL) {
		rq_serve_forwarded(c->d, call, deadline_us, done, arg);
		return;
	}
	if (call->list != NULL && strcmp(call->list, "burn") == 0) {
		ca_answer_burn(c, done, arg);
		return;
	}
	host = ca_local_host(c->d, call->shard != NULL ? call->shard : "");
	if (host == NULL) {
		ca_refuse(done, arg, "this daemon does not own the shard");
		return;
	}
	ho_handle_call(host, call, deadline_us, done, arg);
}

void
ca_start(struct call_table *c, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg)
{
	int64_t now_us = clk_now_us();
	int64_t left_ms = (deadline_us - now_us) / CLK_US_PER_MS;
	char vm[MB_NAME_BYTES] = "";
	struct mb_member *owner;

	call->remaining_ms = left_ms > 0 ? (uint32_t)left_ms : 0;
	call->shard = (char *)target->shard;
	if (target->vm == NULL && target->shard != NULL &&
	    ca_local_host(c->d, target->shard) != NULL) {
		ca_handle_here(c, call, deadline_us, done, arg);
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
		ca_handle_here(c, call, deadline_us, done, arg);
		return;
	}
	if (vm[0] == '\0' || strcmp(vm, c->d->settings->vm) == 0) {
		ca_refuse(done, arg, "the shard has no owner at present");
		return;
	}
	ca_send(c, call, vm, deadline_us, done, arg);
}

void
ca_on_reply(struct call_table *c, const Currant__Reply *reply)
{
	struct pending_call *p;
	uint64_t id = reply->id;

	HASH_FIND(hh, c->pending, &id, sizeof(id), p);
	/* A late answer belongs to a call that has been given up. */
	if (p != NULL)
		ca_finish(c, p, reply);
}

void
ca_on_link_closed(struct call_table *c, struct peer_link *link)
{
	struct pending_call *p;
	struct pending_call *next;
	Currant__Reply reply;

	/* Without a handshake nothing was delivered. */
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

/** struct handled_call - where the answer to a peer's call goes */
struct handled_call {
	struct call_table *calls;
	uint64_t link_serial;
	uint64_t id;
};

static void
ca_answer_peer(const Currant__Reply *reply, void *arg)
{
	struct handled_call *hc = arg;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	Currant__Reply copy = *reply;
	struct peer_link *link;

	copy.id = hc->id;
	frame.reply = &copy;
	/* The peer learns from a closed link that no answer will come. */
	link = peer_find(hc->calls->d->peers, hc->link_serial);
	if (link != NULL && !peer_send(link, &frame))
		peer_close(link);
	talloc_free(hc);
}

void
ca_on_call(
    struct call_table *c, struct peer_link *link, const Currant__Call *call)
{
	struct handled_call *hc;

	hc = talloc_zero(c, struct handled_call);
	if (hc == NULL)
		abort();
	hc->calls = c;
	hc->id = call->id;
	hc->link_serial = peer_serial(link);
	ca_handle_here(c, call,
	    clk_now_us() + (int64_t)call->remaining_ms * CLK_US_PER_MS,
	    ca_answer_peer, hc);
}

/** struct posted_reply - a reply on its way between two loops */
struct posted_reply {
	uint8_t *packed;
	size_t packed_bytes;
	call_done_fn done;
	void *arg;
};

static void
ca_deliver(void *arg)
{
	struct posted_reply *pr = arg;
	Currant__Reply *reply;

	reply = currant__reply__unpack(NULL, pr->packed_bytes, pr->packed);
	if (reply == NULL)
		abort();
	pr->done(reply, pr->arg);
	currant__reply__free_unpacked(reply, NULL);
	talloc_free(pr);
}

void
ca_post_reply(
    struct loop *l, const Currant__Reply *reply, call_done_fn done, void *arg)
{
	struct posted_reply *pr;

	/* No parent: it is handed from one thread to the other. */
	pr = talloc_zero(NULL, struct posted_reply);
	if (pr == NULL)
		abort();
	pr->done = done;
	pr->arg = arg;
	pr->packed_bytes = currant__reply__get_packed_size(reply);
	pr->packed = talloc_size(pr, pr->packed_bytes + 1);
	if (pr->packed == NULL)
		abort();
	currant__reply__pack(reply, pr->packed);
	loop_post(l, ca_deliver, pr);
}

/** struct posted_call - a call on its way between two loops */
struct posted_call {
	struct frontend *front;
	uint8_t *packed;
	size_t packed_bytes;
	char vm[MB_NAME_BYTES];
	char shard[MB_NAME_BYTES];
	int64_t deadline_us;
	call_done_fn done;
	void *arg;
};

static void
ca_return(const Currant__Reply *reply, void *arg)
{
	struct posted_call *pc = arg;

	ca_post_reply(pc->front->loop, reply, pc->done, pc->arg);
	talloc_free(pc);
}

static void
ca_start_posted(void *arg)
{
	struct posted_call *pc = arg;
	struct call_target target = {
	    pc->vm[0] != '\0' ? pc->vm : NULL, pc->shard};
	Currant__Call *call;

	call = currant__call__unpack(NULL, pc->packed_bytes, pc->packed);
	if (call == NULL)
		abort();
	free(call->shard);
	call->shard = NULL;
	ca_start(
	    pc->front->d->calls, call, &target, pc->deadline_us, ca_return, pc);
	call->shard = NULL;
	currant__call__free_unpacked(call, NULL);
}

void
ca_start_from_frontend(struct frontend *f, Currant__Call *call,
    const struct call_target *target, int64_t deadline_us, call_done_fn done,
    void *arg)
{
	struct posted_call *pc;

	/* No parent: it is handed from one thread to the other. */
	pc = talloc_zero(NULL, struct posted_call);
	if (pc == NULL)
		abort();
	pc->front = f;
	pc->deadline_us = deadline_us;
	pc->done = done;
	pc->arg = arg;
	if (target->vm != NULL)
		snprintf(pc->vm, sizeof(pc->vm), "%s", target->vm);
	if (target->shard != NULL)
		snprintf(pc->shard, sizeof(pc->shard), "%s", target->shard);
	pc->packed_bytes = currant__call__get_packed_size(call);
	pc->packed = talloc_size(pc, pc->packed_bytes + 1);
	if (pc->packed == NULL)
		abort();
	currant__call__pack(call, pc->packed);
	loop_post(f->d->control_loop, ca_start_posted, pc);
}
