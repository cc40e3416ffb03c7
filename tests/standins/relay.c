/*
 * Stand-in for network links: relays TCP from each of its addresses to a target.
 * On the last address, POST /_target?address=IP:PORT sets the target, and
 * POST /_cut?on=1 closes what is relayed and relays nothing until on=0;
 * POST /_silence?ways=N (1: towards the target, 2: back, 3: both, 0: none) keeps
 * connections open and drops their bytes and their end, for good for those that
 * are open; POST /_sever?ways=N does so with open connections alone, with
 * "percent" of them, with those whose first bytes contain "from". GET /_working
 * tells how many have had bytes both ways and aren't silent. "link" is one
 * link's number; without it, all are meant.
 *
 * Usage: standin-relay [LINKS]
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
#define OPENING_BYTES 512
#define MAX_LINKS 64
#define ADDRESS_BYTES 64
/* Towards the target, and back. */
#define WAY_OUT 1
#define WAY_BACK 2

struct pipe_end {
	int from;
	int to;
	int64_t way;
	struct tevent_fd *fde; /* NULL once it has ended */
	struct relayed *owner;
};

struct relayed {
	struct link *link;
	int64_t silent_ways;
	int64_t used_ways;
	char opening[OPENING_BYTES];
	size_t opening_bytes;
	struct pipe_end end[2];
	struct relayed *prev;
	struct relayed *next;
};

struct link {
	struct loop *loop;
	int listen_fd;
	struct sockaddr_in target;
	struct relayed *list;
	int64_t silent_ways;
	bool cut;
};

struct relay {
	struct link link[MAX_LINKS];
	int64_t count;
};

static void
close_relayed(struct relayed *r)
{
	DL_DELETE(r->link->list, r);
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
note_opening(struct relayed *r, const char *data, ssize_t n)
{
	if (r->opening_bytes > 0)
		return;
	r->opening_bytes = n < OPENING_BYTES ? (size_t)n : OPENING_BYTES;
	memcpy(r->opening, data, r->opening_bytes);
}

/* The other side isn't told. */
static void
end_silently(struct pipe_end *e)
{
	struct relayed *r = e->owner;

	TALLOC_FREE(e->fde);
	if (r->end[0].fde == NULL && r->end[1].fde == NULL)
		close_relayed(r);
}

static void
on_readable(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct pipe_end *e = arg;
	struct relayed *r = e->owner;
	char buf[BUFFER_BYTES];
	ssize_t n = recv(e->from, buf, sizeof(buf), MSG_DONTWAIT);

	(void)ev;
	(void)fde;
	(void)flags;
	if (n == -1 && errno == EAGAIN)
		return;
	if (r->silent_ways & e->way) {
		if (n <= 0)
			end_silently(e);
		return;
	}
	if (n <= 0 || !write_all(e->to, buf, n)) {
		close_relayed(r);
		return;
	}
	if (e->way == WAY_OUT)
		note_opening(r, buf, n);
	r->used_ways |= e->way;
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
	    loop_ev(r->link->loop), r, from, TEVENT_FD_READ, on_readable, e);
}

static void
on_accept(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct link *link = arg;
	struct relayed *r;
	int near = accept4(link->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	int far;

	(void)ev;
	(void)fde;
	(void)flags;
	if (near == -1)
		return;
	far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (link->cut ||
	    connect(far, (struct sockaddr *)&link->target,
		sizeof(link->target)) == -1) {
		close(near);
		close(far);
		return;
	}
	r = talloc_zero(link->loop, struct relayed);
	r->link = link;
	r->silent_ways = link->silent_ways;
	watch_end(r, 0, near, far);
	watch_end(r, 1, far, near);
	DL_APPEND(link->list, r);
}

static bool
is_from(const struct relayed *r, const char *text)
{
	return text == NULL ||
	    memmem(r->opening, r->opening_bytes, text, strlen(text)) != NULL;
}

static void
sever(struct link *link, struct hs_request *req)
{
	int64_t percent = standin_query_i64(req, "percent", 100);
	struct relayed *r;

	DL_FOREACH(link->list, r) {
		if (is_from(r, hs_query(req, "from")) && rand() % 100 < percent)
			r->silent_ways |= standin_query_i64(req, "ways", 0);
	}
}

static int64_t
count_working(const struct link *link, const char *from)
{
	const struct relayed *r;
	int64_t n = 0;

	DL_FOREACH(link->list, r)
		n += r->silent_ways == 0 &&
		    r->used_ways == (WAY_OUT | WAY_BACK) && is_from(r, from);
	return n;
}

static void
silence(struct link *link, int64_t ways)
{
	struct relayed *r;

	link->silent_ways = ways;
	DL_FOREACH(link->list, r)
		r->silent_ways |= ways;
}

static void
cut(struct link *link, bool on)
{
	link->cut = on;
	while (on && link->list != NULL)
		close_relayed(link->list);
}

static void
control_link(struct link *link, struct hs_request *req)
{
	if (strcmp(req->path, "/_silence") == 0)
		silence(link, standin_query_i64(req, "ways", 0));
	else if (strcmp(req->path, "/_sever") == 0)
		sever(link, req);
	else if (strcmp(req->path, "/_target") == 0)
		ad_parse(hs_query(req, "address"), &link->target);
	else
		cut(link, standin_query_i64(req, "on", 1) != 0);
}

static void
on_control(struct hs_request *req, void *arg)
{
	struct relay *relay = arg;
	int64_t only = standin_query_i64(req, "link", -1);
	int64_t working = 0;
	int64_t i;

	for (i = 0; i < relay->count; i++) {
		if (only != -1 && only != i)
			continue;
		if (strcmp(req->path, "/_working") == 0)
			working += count_working(
			    &relay->link[i], hs_query(req, "from"));
		else
			control_link(&relay->link[i], req);
	}
	standin_reply_json(
	    req, 200, json_pack("{s:I}", "working", (json_int_t)working));
}

int
main(int argc, char **argv)
{
	static struct relay relay = {.count = 1};
	char addresses[(MAX_LINKS + 1) * ADDRESS_BYTES] = "";
	char address[ADDRESS_BYTES];
	struct loop *loop = loop_create(NULL);
	int64_t i;

	if (argc > 1)
		relay.count = strtoll(argv[1], NULL, 10);
	if (relay.count < 1 || relay.count > MAX_LINKS)
		return 64;
	for (i = 0; i < relay.count; i++) {
		struct link *link = &relay.link[i];

		link->loop = loop;
		link->listen_fd =
		    hs_listen("127.0.0.1:0", address, sizeof(address));
		tevent_add_fd(loop_ev(loop), loop, link->listen_fd,
		    TEVENT_FD_READ, on_accept, link);
		strcat(strcat(addresses, address), " ");
	}
	standin_serve(loop, address, on_control, &relay);
	strcat(addresses, address);
	standin_run(loop, addresses);
	return 0;
}
