#ifndef TRANSPORT_PEER_H
#define TRANSPORT_PEER_H

#include <stdbool.h>

#include "protocol/frame.h"
#include "transport/loop.h"

/**
 * DOC: Framed TCP links between daemons.
 *
 * Both sides send a hello first. Frames sent before the other side's hello
 * has arrived are queued locally, so a link that was never established is
 * known not to have delivered any.
 *
 * A link on which nothing arrives any more is closed; see
 * coordination/link_alive.h. Peers of builds without heartbeats are exempt.
 */

struct peer_net;
struct peer_link;

/**
 * struct peer_hooks - callbacks of a net's owner
 * @accept_hello: whether to accept a peer, judged by its hello
 * @on_frame: a frame arrived; the link frees it after the call
 * @on_closed: the link is closed and is freed on the next loop iteration
 */
struct peer_hooks {
	bool (*accept_hello)(const Currant__Hello *hello, void *arg);
	void (*on_frame)(
	    struct peer_link *link, const Currant__Frame *frame, void *arg);
	void (*on_closed)(struct peer_link *link, void *arg);
};

/**
 * peer_create() - create a net, which accepts and opens links
 * @ctx: talloc parent
 * @l: loop; all calls must come from its thread
 * @listen_fd: from hs_listen()
 * @hello: hello to send on each link, copied
 * @hooks: callbacks
 * @arg: their argument
 *
 * Return: the net, or NULL when out of memory.
 */
struct peer_net *peer_create(TALLOC_CTX *ctx, struct loop *l, int listen_fd,
    const Currant__Hello *hello, const struct peer_hooks *hooks, void *arg);

/**
 * peer_connect() - open a link
 * @net: net
 * @address: "IP:PORT"
 *
 * Return: link, or NULL when the address is malformed or the socket fails.
 * A link that fails to connect later is closed, and on_closed is called.
 */
struct peer_link *peer_connect(struct peer_net *net, const char *address);

/**
 * peer_send() - queue a frame
 * @link: link
 * @frame: message
 *
 * Return: false when the frame is too large, the queue is full or the link is
 * closing; then no part of the frame was sent.
 */
bool peer_send(struct peer_link *link, const Currant__Frame *frame);

/** peer_established() - whether the other side's hello has arrived */
bool peer_established(const struct peer_link *link);
/** peer_refused() - whether the connection was refused (no listener) */
bool peer_refused(const struct peer_link *link);
/** peer_vm() - VM id of the other side; empty before its hello */
const char *peer_vm(const struct peer_link *link);
/** peer_address() - address it was opened with; empty if accepted */
const char *peer_address(const struct peer_link *link);
/** peer_serial() - number of the link, never reused in its net */
uint64_t peer_serial(const struct peer_link *link);
/** peer_heard_us() - when bytes last arrived, or the link was created */
int64_t peer_heard_us(const struct peer_link *link);
/** peer_find() - an open link by its serial, or NULL */
struct peer_link *peer_find(struct peer_net *net, uint64_t serial);
/** peer_close() - close a link; on_closed is called */
void peer_close(struct peer_link *link);

/** peer_has_unsent() - whether a frame waits for an open connection to take it */
bool peer_has_unsent(const struct peer_net *net);

#endif
