#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/loop.h"

struct http_server;

#define HS_MAX_EXTRA_HEADERS 6

/**
 * struct hs_limits - limits on requests and connections
 * @max_body_bytes: larger bodies get 413
 * @max_connections: further connections are refused
 * @idle_s: idle connections are closed after this many seconds
 */
struct hs_limits {
	size_t max_body_bytes;
	unsigned int max_connections;
	unsigned int idle_s;
};

/**
 * struct hs_request - one request, valid until hs_respond()
 * @method: HTTP method
 * @path: path without the query
 * @body: whole body, @body_bytes long, NUL-terminated
 * @overdue: set by a handler that responds later: responds at once, as the
 *	process is about to end
 * @overdue_arg: its argument
 */
struct hs_request {
	const char *method;
	const char *path;
	const char *body;
	size_t body_bytes;
	void (*overdue)(void *arg);
	void *overdue_arg;
};

struct hs_header {
	const char *name;
	const char *value;
};

/**
 * typedef hs_handler_fn - handles a request whose body has arrived
 * @req: request
 * @arg: the server's argument
 *
 * Must lead to exactly one hs_respond(), now or later, on the same thread.
 */
typedef void (*hs_handler_fn)(struct hs_request *req, void *arg);

/**
 * hs_listen() - open a listening TCP socket
 * @address: "IP:PORT"; port 0 picks a free one
 * @bound: "IP:PORT" that was bound
 * @bound_bytes: size of @bound
 *
 * Return: descriptor, or -1 with errno set.
 */
int hs_listen(const char *address, char *bound, size_t bound_bytes);

/**
 * hs_create() - serve HTTP on a loop
 * @ctx: talloc parent
 * @l: loop
 * @listen_fd: from hs_listen(); several servers may share one
 * @limits: limits on requests and connections
 * @handler: called for each request
 * @arg: its argument
 *
 * Return: the server or NULL.
 */
struct http_server *hs_create(TALLOC_CTX *ctx, struct loop *l, int listen_fd,
    const struct hs_limits *limits, hs_handler_fn handler, void *arg);

/**
 * struct hs_counts - what a server has open
 * @connections: connections
 * @fresh: those that have carried no request yet, and one for the handshakes
 *	that are under way after hs_stop_accepting()
 * @reading: requests whose first line has arrived, and not all of them
 * @unanswered: requests that the handler has, without a response
 * @sending: responses that the caller's connection hasn't taken whole
 */
struct hs_counts {
	uint32_t connections;
	uint32_t fresh;
	uint32_t reading;
	uint32_t unanswered;
	uint32_t sending;
};

/** hs_add_counts() - add a server's counts; safe from any thread */
void hs_add_counts(const struct http_server *hs, struct hs_counts *counts);

/**
 * hs_begin_drain() - ask callers to close their connections, with each response
 * @hs: server
 */
void hs_begin_drain(struct http_server *hs);

/**
 * hs_stop_accepting() - accept what waits, then close the listening socket
 * @hs: server
 *
 * Handshakes that have begun complete; later callers are refused once the socket
 * is closed, and their first segment is dropped until then.
 */
void hs_stop_accepting(struct http_server *hs);

/** hs_run() - read and send what is possible without waiting */
void hs_run(struct http_server *hs);

/** hs_answer_overdue() - have each request that waits for a response get one */
void hs_answer_overdue(struct http_server *hs);

/**
 * hs_stop() - close all connections; none may be waiting for a response
 * @hs: server; of no use afterwards
 */
void hs_stop(struct http_server *hs);

/**
 * hs_header() - look up a request header
 * @req: request
 * @name: name, case-insensitive
 *
 * Return: value or NULL.
 */
const char *hs_header(struct hs_request *req, const char *name);

/**
 * hs_query() - look up a query argument
 * @req: request
 * @name: name
 *
 * Return: value or NULL.
 */
const char *hs_query(struct hs_request *req, const char *name);

/**
 * hs_respond() - send the response; @req is invalid afterwards
 * @req: request
 * @status: HTTP status
 * @content_type: media type
 * @body: body, copied
 * @body_bytes: its size
 * @headers: extra headers, copied
 * @header_count: at most HS_MAX_EXTRA_HEADERS
 */
void hs_respond(struct hs_request *req, int status, const char *content_type,
    const void *body, size_t body_bytes, const struct hs_header *headers,
    size_t header_count);

/**
 * hs_drop_next() - respond now, in place of the one who will respond later
 * @req: request; stays valid until the later hs_respond(), which has no effect
 *
 * For @overdue of a request whose handler can't be told.
 */
void hs_drop_next(struct hs_request *req);

/**
 * hs_caller_has_left() - whether the caller has closed its connection
 * @req: request
 *
 * A process that was paused reads requests whose callers have long given up.
 */
bool hs_caller_has_left(struct hs_request *req);

/**
 * hs_abort() - close the connection in the middle of a response
 * @req: request
 * @body: beginning of the response body
 * @body_bytes: its size
 * @announced_bytes: Content-Length to announce
 *
 * Lets test doubles simulate a server that fails.
 */
void hs_abort(struct hs_request *req, const void *body, size_t body_bytes,
    size_t announced_bytes);

/**
 * hs_cut() - make hs_respond() close the connection instead of responding
 * @req: request
 * @reset: close it with a reset
 *
 * Lets test doubles simulate a server that fails.
 */
void hs_cut(struct hs_request *req, bool reset);

#endif
