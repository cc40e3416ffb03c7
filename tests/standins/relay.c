/*
 * Stand-in for a network link: relays TCP from its first address to a target.
 * On the second, POST /_target?address=IP:PORT sets the target, and
 * POST /_cut?on=1 closes what is relayed and relays nothing until on=0;
 * POST /_silence?ways=N (1: towards the target, 2: back, 3: both, 0: none) keeps
 * connections open and drops their bytes, for good for those that are open.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "standin.h"
#include "transport/address.h"

#define BUFFER_BYTES 65536
/* Towards the target, and back. */
#define WAY_OUT 1
#define WAY_BACK 2

struct pipe_end {
	int from;
	int to;
	int64_t way;
	struct tevent_fd *fde;
	struct relayed *owner;
};

struct relayed {
	struct relay *relay;
	int64_t silent_ways;
	struct pipe_end end[2];
	struct relayed *prev;
	struct relayed *next;
};

struct relay {
	struct loop *loop;
	int listen_fd;
	struct sockaddr_in target;
	struct relayed *list;
	int64_t silent_ways;
	bool cut;
};

static void
close_relayed(struct relayed *r)
{
	DL_DELETE(r->relay->list, r);
	talloc_free(r->end[0].fde);
	talloc_free(r->end[1].fde);
	close(r->end[0].from);
	close(r->end[1].from);
	talloc_free(r);
}

static bool
write_all(int fd, const char *data, ssize_t n)
{
	ssize_t done;

	while (n > 0) {
		done = send(fd, data, (size_t)n, MSG_NOSIGNAL);
		if (done <= 0)
			return false;
		data += done;
		n -= done;
	}
	return true;
}

static void
on_readable(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct pipe_end *e = arg;
	char buf[BUFFER_BYTES];
	ssize_t n = recv(e->from, buf, sizeof(buf), MSG_DONTWAIT);

	(void)ev;
	(void)fde;
	(void)flags;
	if (n == -1 && errno == EAGAIN)
		return;
	if (n > 0 && (e->owner->silent_ways & e->way))
		return;
	if (n <= 0 || !write_all(e->to, buf, n))
		close_relayed(e->owner);
}

static void
watch_end(struct relayed *r, int i, int from, int to)
{
	struct pipe_end *e = &r->end[i];

	e->from = from;
	e->to = to;
	e->owner = r;
	e->way = i == 0 ? WAY_OUT : WAY_BACK;
	e->fde = tevent_add_fd(
	    loop_ev(r->relay->loop), r, from, TEVENT_FD_READ, on_readable, e);
}

static void
on_accept(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct relay *relay = arg;
	struct relayed *r;
	int near = accept4(relay->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	int far;

	(void)ev;
	(void)fde;
	(void)flags;
	if (near == -1)
		return;
	far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (relay->cut ||
	    connect(far, (struct sockaddr *)&relay->target,
		sizeof(relay->target)) == -1) {
		close(near);
		close(far);
		return;
	}
	r = talloc_zero(relay->loop, struct relayed);
	r->relay = relay;
	r->silent_ways = relay->silent_ways;
	watch_end(r, 0, near, far);
	watch_end(r, 1, far, near);
	DL_APPEND(relay->list, r);
}

static void
on_control(struct hs_request *req, void *arg)
{
	struct relay *relay = arg;

	struct relayed *r;

	if (strcmp(req->path, "/_silence") == 0) {
		relay->silent_ways = standin_query_i64(req, "ways", 0);
		DL_FOREACH(relay->list, r)
			r->silent_ways |= relay->silent_ways;
	} else if (strcmp(req->path, "/_target") == 0) {
		ad_parse(hs_query(req, "address"), &relay->target);
	} else {
		relay->cut = standin_query_i64(req, "on", 1) != 0;
		while (relay->cut && relay->list != NULL)
			close_relayed(relay->list);
	}
	standin_reply(req, 200, "ok");
}

int
main(void)
{
	struct relay relay = {0};
	char addresses[160];
	char control[64];

	relay.loop = loop_create(NULL);
	relay.listen_fd = hs_listen("127.0.0.1:0", addresses, 64);
	tevent_add_fd(loop_ev(relay.loop), relay.loop, relay.listen_fd,
	    TEVENT_FD_READ, on_accept, &relay);
	standin_serve(relay.loop, control, on_control, &relay);
	strcat(addresses, " ");
	strcat(addresses, control);
	standin_run(relay.loop, addresses);
	return 0;
}
