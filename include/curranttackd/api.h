#ifndef CURRANTTACKD_API_H
#define CURRANTTACKD_API_H

#include "curranttackd/calls.h"
#include "curranttackd/front.h"

/**
 * DOC: Handlers of the HTTP API for callers and operators (docs/API.md), one
 * file for a group of routes. api_routes.c lists them all.
 */

/* api_routes.c */

/** api_routes - all routes of the daemon */
extern const struct fr_routes api_routes;

/* gather.c */

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
/* request_attempts.c */

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
