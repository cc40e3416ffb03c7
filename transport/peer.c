#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "coordination/link_alive.h"
#include "transport/address.h"
#include "transport/peer.h"

#define PEER_NAME_BYTES 64
#define PEER_READ_BYTES 65536
#define PEER_MAX_QUEUED_BYTES ((size_t)16 << 20)
#define PEER_HELLO_TIMEOUT_US (3 * CLK_US_PER_S)

struct peer_net {
	struct loop *loop;
	int listen_fd;
	Currant__Hello hello;
	struct peer_hooks hooks;
	void *arg;
	uint64_t next_serial;
	struct peer_link *links;
	struct la_pause pause;
};

struct peer_buffer {
	uint8_t *data;
	size_t len;
	size_t capacity;
};

struct peer_link {
	struct peer_net *net;
	uint64_t serial;
	UT_hash_handle hh;
	int64_t heard_us;
	struct la_link alive;
	int fd;
	struct tevent_fd *fde;
	struct loop_timer *hello_timer;
	bool connecting;
	bool established;
	bool refused;
	bool closing;
	char vm[PEER_NAME_BYTES];
	char address[PEER_NAME_BYTES];
	struct peer_buffer in;
	struct peer_buffer out;
	struct peer_buffer pending;
};

static void peer_on_event(struct tevent_context *ev, struct tevent_fd *fde,
    uint16_t flags, void *arg);

static bool
peer_buffer_append(struct peer_link *link, struct peer_buffer *b,
    const uint8_t *data, size_t len)
{
	uint8_t *grown;

	if (len == 0)
		return true;
	if (b->len + len > PEER_MAX_QUEUED_BYTES)
		return false;
	if (b->len + len > b->capacity) {
		grown = talloc_realloc_size(
		    link, b->data, (b->len + len) * 3 / 2 + 1024);
		if (grown == NULL)
			return false;
		b->data = grown;
		b->capacity = (b->len + len) * 3 / 2 + 1024;
	}
	memcpy(b->data + b->len, data, len);
	b->len += len;
	return true;
}

static void
peer_buffer_consume(struct peer_buffer *b, size_t n)
{
	memmove(b->data, b->data + n, b->len - n);
	b->len -= n;
}

static void
peer_update_events(struct peer_link *link)
{
	uint16_t flags = TEVENT_FD_READ;

	if (link->connecting || link->out.len > 0)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(link->fde, flags);
}

static void
peer_free_closed(
    struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	(void)ev;
	(void)im;
	talloc_free(arg);
}

void
peer_close(struct peer_link *link)
{
	struct tevent_immediate *im;

	if (link->closing)
		return;
	link->closing = true;
	HASH_DEL(link->net->links, link);
	TALLOC_FREE(link->fde);
	close(link->fd);
	link->net->hooks.on_closed(link, link->net->arg);
	/* Callers up the stack may still use the link, so it is freed later. */
	im = tevent_create_immediate(link);
	tevent_schedule_immediate(
	    im, loop_ev(link->net->loop), peer_free_closed, link);
}

static void
peer_flush(struct peer_link *link)
{
	bool sent = false;
	ssize_t n;

	if (link->connecting || link->closing)
		return;
	while (link->out.len > 0) {
		n = send(link->fd, link->out.data, link->out.len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			ct_add(CT_PEER_BYTES_OUT, (uint64_t)n);
			peer_buffer_consume(&link->out, (size_t)n);
			sent = true;
			continue;
		}
		if (n == -1 && (errno == EAGAIN || errno == EINTR))
			break;
		peer_close(link);
		return;
	}
	if (sent)
		la_on_sent(&link->alive, clk_now_us());
	peer_update_events(link);
}

static bool
peer_queue(
    struct peer_link *link, struct peer_buffer *b, const Currant__Frame *frame)
{
	uint8_t *bytes;
	size_t len;
	bool ok;

	bytes = fr_pack(frame, &len);
	if (bytes == NULL)
		return false;
	ok = peer_buffer_append(link, b, bytes, len);
	free(bytes);
	return ok;
}

bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	bool ok;

	if (link->closing)
		return false;
	ok = peer_queue(
	    link, link->established ? &link->out : &link->pending, frame);
	if (!ok)
		return false;
	ct_add(CT_PEER_MSGS_OUT, 1);
	if (link->established)
		peer_flush(link);
	return true;
}

static void
peer_send_hello(struct peer_link *link)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;

	frame.hello = &link->net->hello;
	peer_queue(link, &link->out, &frame);
	peer_flush(link);
}

static void
peer_on_hello(struct peer_link *link, const Currant__Hello *hello)
{
	if (!link->net->hooks.accept_hello(hello, link->net->arg)) {
		lg_event(
		    LG_WARN, "peer", "hello_refused", "peer", hello->vm, NULL);
		peer_close(link);
		return;
	}
	TALLOC_FREE(link->hello_timer);
	snprintf(link->vm, sizeof(link->vm), "%s", hello->vm);
	link->established = true;
	if (hello->heartbeats)
		la_start(&link->alive, clk_now_us());
	peer_buffer_append(
	    link, &link->out, link->pending.data, link->pending.len);
	link->pending.len = 0;
	peer_flush(link);
}

static void
peer_dispatch(struct peer_link *link, const Currant__Frame *frame, size_t bytes)
{
	ct_add(CT_PEER_MSGS_IN, 1);
	if (frame->hello != NULL && !link->established) {
		peer_on_hello(link, frame->hello);
		return;
	}
	if (!link->established) {
		peer_close(link);
		return;
	}
	/* Without a payload it is a heartbeat. */
	if (bytes > FR_HEADER_BYTES)
		link->net->hooks.on_frame(link, frame, link->net->arg);
}

static void
peer_parse(struct peer_link *link)
{
	Currant__Frame *frame;
	enum fr_error error;
	size_t at = 0;
	size_t used;

	while (!link->closing) {
		error = fr_unpack(
		    link->in.data + at, link->in.len - at, &used, &frame);
		if (error == FR_INCOMPLETE)
			break;
		if (error != FR_OK) {
			lg_event(LG_WARN, "peer", "bad_frame", "peer", link->vm,
			    "error", fr_error_text(error), NULL);
			peer_close(link);
			return;
		}
		at += used;
		peer_dispatch(link, frame, used);
		currant__frame__free_unpacked(frame, NULL);
	}
	if (!link->closing && at > 0)
		peer_buffer_consume(&link->in, at);
}

static void
peer_read(struct peer_link *link)
{
	uint8_t buf[PEER_READ_BYTES];
	ssize_t n;

	n = recv(link->fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n == -1 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		peer_close(link);
		return;
	}
	ct_add(CT_PEER_BYTES_IN, (uint64_t)n);
	link->heard_us = clk_now_us();
	la_on_heard(&link->alive, link->heard_us);
	if (!peer_buffer_append(link, &link->in, buf, (size_t)n)) {
		peer_close(link);
		return;
	}
	peer_parse(link);
}

static void
peer_on_event(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct peer_link *link = arg;
	socklen_t len = sizeof(int);
	int error = 0;

	(void)ev;
	(void)fde;
	if (link->connecting && (flags & TEVENT_FD_WRITE)) {
		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		if (error != 0) {
			link->refused = error == ECONNREFUSED;
			peer_close(link);
			return;
		}
		link->connecting = false;
	}
	if (flags & TEVENT_FD_WRITE)
		peer_flush(link);
	if (!link->closing && (flags & TEVENT_FD_READ))
		peer_read(link);
}

static void
peer_on_hello_timeout(void *arg)
{
	struct peer_link *link = arg;

	link->hello_timer = NULL;
	peer_close(link);
}

static struct peer_link *
peer_link_create(struct peer_net *net, int fd)
{
	struct peer_link *link;
	int one = 1;

	link = talloc_zero(net, struct peer_link);
	if (link == NULL) {
		close(fd);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	link->net = net;
	link->serial = ++net->next_serial;
	link->heard_us = clk_now_us();
	HASH_ADD(hh, net->links, serial, sizeof(link->serial), link);
	link->fd = fd;
	link->fde = tevent_add_fd(
	    loop_ev(net->loop), link, fd, TEVENT_FD_READ, peer_on_event, link);
	link->hello_timer = loop_at(link, net->loop,
	    clk_now_us() + PEER_HELLO_TIMEOUT_US, peer_on_hello_timeout, link);
	return link;
}

static void
peer_on_accept(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct peer_net *net = arg;
	struct peer_link *link;
	int fd;

	(void)ev;
	(void)fde;
	(void)flags;
	fd = accept4(net->listen_fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	if (fd == -1)
		return;
	link = peer_link_create(net, fd);
	if (link != NULL)
		peer_send_hello(link);
}

/* What waits in the queue shows the peer that the link is alive. */
static void
peer_send_heartbeat(struct peer_link *link)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;

	if (link->out.len == 0)
		peer_send(link, &frame);
}

/* The loop runs timers before it reads sockets. */
static bool
peer_has_unread(const struct peer_link *link)
{
	struct pollfd p = {link->fd, POLLIN, 0};

	return poll(&p, 1, 0) > 0;
}

static void
peer_close_silent(struct peer_link *link, int64_t now_us)
{
	ct_add(CT_PEER_SILENT, 1);
	lg_event(LG_WARN, "peer", "link_silent", "peer", link->vm, "opened",
	    lg_i64(link->address[0] != '\0'), "unheard_ms",
	    lg_i64((now_us - link->heard_us) / CLK_US_PER_MS), "unsent_bytes",
	    lg_i64((int64_t)link->out.len), NULL);
	peer_close(link);
}

static void
peer_check_link(struct peer_link *link, bool may_be_unread, int64_t now_us)
{
	switch (la_check(&link->alive, may_be_unread, now_us)) {
	case LA_NONE:
		break;
	case LA_SEND_HEARTBEAT:
		peer_send_heartbeat(link);
		break;
	case LA_CLOSE:
		if (peer_has_unread(link))
			la_on_heard(&link->alive, now_us);
		else
			peer_close_silent(link, now_us);
		break;
	}
}

/* One timer serves all links. */
static void
peer_check_links(void *arg)
{
	struct peer_net *net = arg;
	int64_t now_us = clk_now_us();
	bool may_be_unread = la_may_be_unread(&net->pause, now_us);
	struct peer_link **links;
	struct peer_link *link;
	uint32_t count = 0;
	uint32_t i;

	/* A link that is closed meanwhile is freed later, by the loop. */
	links =
	    talloc_array(net, struct peer_link *, HASH_COUNT(net->links) + 1);
	if (links == NULL)
		abort();
	for (link = net->links; link != NULL; link = link->hh.next)
		links[count++] = link;
	for (i = 0; i < count; i++) {
		if (!links[i]->closing)
			peer_check_link(links[i], may_be_unread, now_us);
	}
	talloc_free(links);
	loop_at(net, net->loop, now_us + LA_CHECK_US, peer_check_links, net);
}

struct peer_net *
peer_create(TALLOC_CTX *ctx, struct loop *l, int listen_fd,
    const Currant__Hello *hello, const struct peer_hooks *hooks, void *arg)
{
	struct peer_net *net;

	net = talloc_zero(ctx, struct peer_net);
	if (net == NULL)
		return NULL;
	net->loop = l;
	net->listen_fd = listen_fd;
	net->hello = *hello;
	net->hello.vm = talloc_strdup(net, hello->vm);
	net->hello.domain = talloc_strdup(net, hello->domain);
	net->hello.token = talloc_strdup(net, hello->token);
	net->hello.has_heartbeats = true;
	net->hello.heartbeats = true;
	net->hooks = *hooks;
	net->arg = arg;
	if (tevent_add_fd(loop_ev(l), net, listen_fd, TEVENT_FD_READ,
		peer_on_accept, net) == NULL) {
		talloc_free(net);
		return NULL;
	}
	loop_at(net, l, clk_now_us() + LA_CHECK_US, peer_check_links, net);
	return net;
}

struct peer_link *
peer_connect(struct peer_net *net, const char *address)
{
	struct sockaddr_in sin;
	struct peer_link *link;
	int fd;

	if (!ad_parse(address, &sin))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd == -1)
		return NULL;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	link = peer_link_create(net, fd);
	if (link == NULL)
		return NULL;
	snprintf(link->address, sizeof(link->address), "%s", address);
	link->connecting = true;
	peer_send_hello(link);
	peer_update_events(link);
	return link;
}

bool
peer_established(const struct peer_link *link)
{
	return link->established;
}

bool
peer_refused(const struct peer_link *link)
{
	return link->refused;
}

const char *
peer_vm(const struct peer_link *link)
{
	return link->vm;
}

const char *
peer_address(const struct peer_link *link)
{
	return link->address;
}

uint64_t
peer_serial(const struct peer_link *link)
{
	return link->serial;
}

int64_t
peer_heard_us(const struct peer_link *link)
{
	return link->heard_us;
}

struct peer_link *
peer_find(struct peer_net *net, uint64_t serial)
{
	struct peer_link *link;

	HASH_FIND(hh, net->links, &serial, sizeof(serial), link);
	return link;
}

bool
peer_has_unsent(const struct peer_net *net)
{
	const struct peer_link *link;

	for (link = net->links; link != NULL; link = link->hh.next) {
		if (link->established && link->out.len > 0)
			return true;
	}
	return false;
}
