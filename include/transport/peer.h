#ifndef TRANSPORT_PEER_H
#define TRANSPORT_PEER_H

#include <stdbool.h>

#include "protocol/frame.h"
#include "transport/loop.h"

/**
 * DOC: Framed TCP links between daemons.
 *
 * Both sides send a hello first. Frames queued before the other side's hello
 * has arrived are held back, so a link that was never established has
 * certainly not delivered anything.
 */

struct peer_net;
struct peer_link;

/**
 * struct peer_hooks - what the owner of a net supplies
 * @accept_hello: whether a peer may talk to us
 * @on_frame: a frame arrived; it stays the link's
 * @on_closed: the link is closed and about to be freed
 */
struct peer_hooks {
	bool (*accept_hello)(const Currant__Hello *hello, void *arg);
	void (*on_frame)(
	    struct peer_link *link, const Currant__Frame *frame, void *arg);
	void (*on_closed)(struct peer_link *link, void *arg);
};

/**
 * peer_create() - accept links and make new ones
 * @ctx: talloc parent
 * @l: loop; all calls must come from its thread
 * @listen_fd: from hs_listen()
 * @hello: our hello, copied
 * @hooks: callbacks
 * @arg: their argument
 */
struct peer_net *peer_create(TALLOC_CTX *ctx, struct loop *l, int listen_fd,
    const Currant__Hello *hello, const struct peer_hooks *hooks, void *arg);

/**
 * peer_connect() - open a link
 * @net: net
 * @address: "IP:PORT"
 *
 * Return: link, or NULL when the address is no good. A link that fails to
 * connect is closed later.
 */
struct peer_link *peer_connect(struct peer_net *net, const char *address);

/**
 * peer_send() - queue a frame
 * @link: link
 * @frame: message
 *
 * Return: false when it is too large or the peer takes nothing any more;
 * then nothing of it was sent.
 */
bool peer_send(struct peer_link *link, const Currant__Frame *frame);

/** peer_established() - whether the other side's hello has arrived */
bool peer_established(const struct peer_link *link);
/** peer_refused() - whether nothing listened at the other side's address */
bool peer_refused(const struct peer_link *link);
/** peer_vm() - VM id of the other side; empty before its hello */
const char *peer_vm(const struct peer_link *link);
/** peer_address() - address it was opened with; empty if accepted */
const char *peer_address(const struct peer_link *link);
/** peer_serial() - number that names the link in its net for ever */
uint64_t peer_serial(const struct peer_link *link);
/** peer_find() - an open link by its serial, or NULL */
struct peer_link *peer_find(struct peer_net *net, uint64_t serial);
/** peer_close() - close a link; on_closed is called */
void peer_close(struct peer_link *link);

#endif
