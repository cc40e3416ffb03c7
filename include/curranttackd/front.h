#ifndef CURRANTTACKD_FRONT_H
#define CURRANTTACKD_FRONT_H

#include <jansson.h>

#include "curranttackd/calls.h"
#include "curranttackd/daemon.h"

/**
 * struct front - one loop that serves callers and operators
 * @d: daemon
 * @loop: its loop
 * @http: client towards endpoints
 * @callers: server of the callers' side
 * @operators: server of the operators' side
 */
struct front {
	struct daemon *d;
	uint32_t index;
	struct loop *loop;
	struct http_client *http;
	struct http_server *callers;
	struct http_server *operators;
};

/** fr_create() - make the front loops; they start with fr_start() */
int fr_create(struct daemon *d, int callers_fd, int operators_fd);
/** fr_start() - start their threads */
int fr_start(struct daemon *d);

/** fr_json() - answer with a JSON value and release it */
void fr_json(struct hs_request *req, int status, json_t *body);
/** fr_error() - answer that nothing was run, and why */
void fr_error(struct hs_request *req, int status, const char *reason);
/** fr_outcome() - answer with an outcome in the form of docs/API.md */
void fr_outcome(struct hs_request *req, int status, enum st_outcome outcome,
    const char *reason, uint32_t retry_after_ms);

/** typedef fr_route_fn - handles a request; @rest is the path's tail */
typedef void (*fr_route_fn)(
    struct front *f, struct hs_request *req, const char *rest);

/**
 * struct fr_route - an entry of a handler table
 * @method: HTTP method
 * @prefix: path or, if it ends in '/', beginning of the path
 * @handle: handler
 */
struct fr_route {
	const char *method;
	const char *prefix;
	fr_route_fn handle;
};

/**
 * gather_members() - ask every listed daemon for a list
 * @f: front
 * @req: request to answer
 * @list: "burn"
 */
void gather_members(struct front *f, struct hs_request *req, const char *list);

/* api_jobs.c */
void api_job_submit(struct front *f, struct hs_request *req, const char *rest);
void api_job_list(struct front *f, struct hs_request *req, const char *rest);
void api_job_show(struct front *f, struct hs_request *req, const char *rest);
void api_job_cancel(struct front *f, struct hs_request *req, const char *rest);
void api_job_why(struct front *f, struct hs_request *req, const char *rest);

/* api_requests.c */
void api_request(struct front *f, struct hs_request *req, const char *rest);
/** rq_forwarded() - run a request that a peer has forwarded; any loop */
void rq_forwarded(struct daemon *d, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg);
/** rq_drive() - carry out the actions of a service; from any loop */
void rq_drive(struct daemon *d, struct dm_service *s);

/* api_operators.c */

/** ao_show_burn() - this daemon's counts for the burn report */
json_t *ao_show_burn(struct daemon *d);
void api_ready(struct front *f, struct hs_request *req, const char *rest);
void api_status(struct front *f, struct hs_request *req, const char *rest);
void api_members(struct front *f, struct hs_request *req, const char *rest);
void api_workers(struct front *f, struct hs_request *req, const char *rest);
void api_placements(struct front *f, struct hs_request *req, const char *rest);
void api_config_get(struct front *f, struct hs_request *req, const char *rest);
void api_config_put(struct front *f, struct hs_request *req, const char *rest);
void api_config_history(
    struct front *f, struct hs_request *req, const char *rest);
void api_metrics(struct front *f, struct hs_request *req, const char *rest);
void api_burn(struct front *f, struct hs_request *req, const char *rest);

/**
 * gather_lists() - ask every shard's owner for a list and join the answers
 * @f: front
 * @req: request to answer
 * @list: "jobs", "workers" or "placements"
 */
void gather_lists(struct front *f, struct hs_request *req, const char *list);

#endif
