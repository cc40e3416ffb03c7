#ifndef CURRANTTACKD_FRONT_H
#define CURRANTTACKD_FRONT_H

#include <jansson.h>

#include "curranttackd/calls.h"
#include "curranttackd/daemon.h"

/**
 * struct frontend - one loop that serves callers and operators
 * @d: daemon
 * @index: position in the daemon's list
 * @loop: loop that runs in a thread of its own
 * @http: HTTP client for requests to endpoints
 * @callers: HTTP server for callers
 * @operators: HTTP server for operators
 */
struct frontend {
	struct daemon *d;
	uint32_t index;
	struct loop *loop;
	struct http_client *http;
	struct http_server *callers;
	struct http_server *operators;
};

/**
 * fr_create() - create the frontends; their threads start with fr_start()
 * @d: daemon
 * @callers_fd: listening socket for callers, shared by all frontends
 * @operators_fd: listening socket for operators, shared by all frontends
 *
 * Return: 0 or -1.
 */
int fr_create(struct daemon *d, int callers_fd, int operators_fd);
/** fr_start() - start the threads of the frontends; 0 or -1 */
int fr_start(struct daemon *d);

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
 * gather_from_daemons() - ask every daemon for a list and respond with all
 * @f: frontend
 * @req: request to respond to
 * @list: "burn"
 *
 * Names the daemons that did not reply in the field "unreachable".
 */
void gather_from_daemons(
    struct frontend *f, struct hs_request *req, const char *list);

/* api_jobs.c: handlers of the routes for jobs */
void api_job_submit(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_job_list(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_job_show(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_job_cancel(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_job_why(
    struct frontend *f, struct hs_request *req, const char *suffix);

/* api_requests.c: requests to services */
void api_service_request(
    struct frontend *f, struct hs_request *req, const char *suffix);
/**
 * rq_serve_forwarded() - run a request that a peer has forwarded
 * @d: daemon
 * @call: call with the request, copied
 * @deadline_us: time after which a response is worthless
 * @done: receives the reply on the control loop
 * @arg: its argument
 */
void rq_serve_forwarded(struct daemon *d, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg);
/** rq_run_actions() - carry out the pending actions of a service; any loop */
void rq_run_actions(struct daemon *d, struct dm_service *s);

/* api_operators.c and api_config.c: handlers of operators' routes */

/** ao_burn_json() - this daemon's counts for the report of budget burn */
json_t *ao_burn_json(struct daemon *d);
void api_ready(struct frontend *f, struct hs_request *req, const char *suffix);
void api_status(struct frontend *f, struct hs_request *req, const char *suffix);
void api_members(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_workers(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_placements(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_config_get(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_config_put(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_config_history(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_metrics(
    struct frontend *f, struct hs_request *req, const char *suffix);
void api_burn(struct frontend *f, struct hs_request *req, const char *suffix);

/**
 * gather_from_shards() - ask every shard's owner for a list; respond with all
 * @f: frontend
 * @req: request to respond to
 * @list: "jobs", "workers" or "placements"
 *
 * Names the shards whose owner did not reply in the field "unreachable".
 */
void gather_from_shards(
    struct frontend *f, struct hs_request *req, const char *list);

#endif
