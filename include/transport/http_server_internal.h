#ifndef TRANSPORT_HTTP_SERVER_INTERNAL_H
#define TRANSPORT_HTTP_SERVER_INTERNAL_H

#include <microhttpd.h>
#include <stdatomic.h>
#include <sys/queue.h>

#include "transport/http_server.h"

/**
 * DOC: Shared by the files of the HTTP server: http_server (connections, and
 * requests until the handler has them), http_response (what a handler reads and
 * answers), http_drain (how a server stops).
 */

/** enum hs_phase - how far a request is */
enum hs_phase {
	HS_READING,
	HS_UNANSWERED,
	HS_SENDING,
	HS_PHASES,
};

/**
 * struct hs_caller - a connection
 * @hs: server
 * @link: in the server's list
 * @conn: libmicrohttpd's connection
 * @fresh: it has carried no request yet
 * @busy: a request on it has begun to arrive, and its answer isn't sent yet
 */
struct hs_caller {
	struct http_server *hs;
	LIST_ENTRY(hs_caller) link;
	struct MHD_Connection *conn;
	bool fresh;
	bool busy;
};

/**
 * struct http_server - a server
 * @loop: event loop
 * @mhd: libmicrohttpd's server; NULL once it has stopped
 * @listener: listening socket, once @mhd no longer accepts
 * @fde: wakes the loop when @mhd has something to do
 * @timer: the same, for its time-outs
 * @resume_event: the same, for connections that go on
 * @handler: called for each request
 * @arg: its argument
 * @max_body_bytes: longest body
 * @max_connections: connections that it has at most
 * @full: it has had as many since it last listened
 * @callers: connections
 * @unanswered: requests without a response
 * @draining: callers are asked to close their connections
 * @connections: number of connections
 * @fresh: those that have carried no request yet
 * @in_phase: number of requests in each phase
 */
struct http_server {
	struct loop *loop;
	struct MHD_Daemon *mhd;
	int listener;
	struct tevent_fd *fde;
	struct loop_timer *timer;
	struct tevent_immediate *resume_event;
	hs_handler_fn handler;
	void *arg;
	size_t max_body_bytes;
	unsigned int max_connections;
	bool full;
	LIST_HEAD(, hs_caller) callers;
	LIST_HEAD(, hs_exchange) unanswered;
	bool draining;
	atomic_uint connections;
	atomic_uint fresh;
	atomic_uint in_phase[HS_PHASES];
};

/**
 * struct hs_exchange - a request and its response
 * @req: what the handler sees
 * @hs: server
 * @link: in the server's list of unanswered requests
 * @conn: connection; NULL once it has ended
 * @body: body as far as it has arrived
 * @response: what is to be sent, until it is handed to the connection
 * @status: its status
 * @phase: how far it is
 * @too_large: the body exceeds the limit
 * @handled: the handler has been called
 * @answered: there has been a response
 * @owed: answered, and the handler will respond all the same
 * @suspended: the connection waits for the response
 * @cut: the connection is to be closed in place of the response
 * @reset: and reset
 * @closed: it is being closed
 */
struct hs_exchange {
	struct hs_request req;
	struct http_server *hs;
	LIST_ENTRY(hs_exchange) link;
	struct MHD_Connection *conn;
	char *body;
	struct MHD_Response *response;
	int status;
	enum hs_phase phase;
	bool too_large;
	bool handled;
	bool answered;
	bool owed;
	bool suspended;
	bool cut;
	bool reset;
	bool closed;
};

/** hs_set_phase() - note how far a request is */
void hs_set_phase(struct hs_exchange *ex, enum hs_phase phase);

#endif
