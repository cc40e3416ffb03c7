#ifndef CURRANTTACKD_FRONT_H
#define CURRANTTACKD_FRONT_H

#include <jansson.h>

#include "curranttackd/daemon.h"

/**
 * DOC: The loops that serve callers and operators. Requests go to the handlers
 * in a table of routes (api.h), which this module only reads.
 */

struct frontend;

/**
 * typedef fr_handler_fn - handles a request and sees that it is responded to
 * @f: frontend that received it
 * @req: request
 * @suffix: path after the prefix of the route
 */
typedef void (*fr_handler_fn)(
    struct frontend *f, struct hs_request *req, const char *suffix);

/**
 * struct fr_route - maps a method and a path to a handler
 * @method: HTTP method
 * @prefix: whole path, or its beginning if it ends in '/'
 * @handler: handler
 */
struct fr_route {
	const char *method;
	const char *prefix;
	fr_handler_fn handler;
};

/**
 * struct fr_routes - all routes, each list ended by a route without a method
 * @callers: what callers may use
 * @operators: what operators may use
 */
struct fr_routes {
	const struct fr_route *callers;
	const struct fr_route *operators;
};

/**
 * struct frontend - one loop that serves callers and operators
 * @d: daemon
 * @index: position in the daemon's list
 * @routes: handlers by method and path
 * @loop: loop that runs in a thread of its own
 * @http: HTTP client for requests to endpoints
 * @callers: HTTP server for callers
 * @operators: HTTP server for operators
 * @refuses: the process ends, and connections are refused
 * @stopped: all its connections are closed
 */
struct frontend {
	struct daemon *d;
	uint32_t index;
	const struct fr_routes *routes;
	struct loop *loop;
	struct http_client *http;
	struct http_server *callers;
	struct http_server *operators;
	atomic_bool refuses;
	atomic_bool stopped;
};

/**
 * fr_create() - create the frontends; their threads start with fr_start()
 * @d: daemon
 * @callers_fd: listening socket for callers, shared by all frontends
 * @operators_fd: listening socket for operators, shared by all frontends
 * @routes: handlers; not copied
 *
 * Return: 0 or -1.
 */
int fr_create(struct daemon *d, int callers_fd, int operators_fd,
    const struct fr_routes *routes);
/** fr_start() - start the threads of the frontends; 0 or -1 */
int fr_start(struct daemon *d);

/** fr_begin_drain() - ask callers of all frontends to close their connections */
void fr_begin_drain(struct daemon *d);
/** fr_stop_accepting() - refuse connections from now on */
void fr_stop_accepting(struct daemon *d);
/** fr_all_refuse() - whether all frontends do that by now */
bool fr_all_refuse(const struct daemon *d);
/** fr_answer_all_overdue() - respond to all requests that wait for something */
void fr_answer_all_overdue(struct daemon *d);
/** fr_stop() - have those frontends that serve nothing close all connections */
void fr_stop(struct daemon *d);
/** fr_all_stopped() - whether all have */
bool fr_all_stopped(const struct daemon *d);

/** fr_get_counts() - what the servers of all frontends have open */
void fr_get_counts(const struct daemon *d, struct hs_counts *counts);

/** fr_respond_json() - respond with a JSON value and release it */
void fr_respond_json(struct hs_request *req, int status, json_t *body);
/** fr_respond_error() - respond with outcome "not_run" and the reason */
void fr_respond_error(struct hs_request *req, int status, const char *reason);
/**
 * fr_respond_outcome() - respond with an outcome as docs/API.md describes it
 * @req: request
 * @status: HTTP status
 * @outcome: outcome, also sent as X-Outcome
 * @reason: text for the caller; may be NULL
 * @retry_after_ms: when to try again; 0 for no advice
 */
void fr_respond_outcome(struct hs_request *req, int status,
    enum st_outcome outcome, const char *reason, uint32_t retry_after_ms);

#endif
