#ifndef CURRANTTACKD_CELL_CALLS_INTERNAL_H
#define CURRANTTACKD_CELL_CALLS_INTERNAL_H

#include "curranttackd/cell.h"
#include "state/attempts.h"

/**
 * DOC: Shared by the files that implement the HTTP API for callers: cell_calls
 * (servers, and which handler a request goes to), cell_calls_write (submissions
 * and cancellations, which are stored), cell_calls_query (states of jobs and
 * lengths of queues), cell_calls_metrics (the metrics page), cell_calls_respond
 * (what all of them use).
 */

/**
 * struct cc_frontend - HTTP servers of the daemon
 * @c: cell
 * @callers: server for callers
 * @ready: server for the load balancer's readiness checks
 * @metrics: server for metrics, or NULL
 * @attempts: attempts of callers to store a job that may still succeed
 * @pending_count: callers' requests without a response
 */
struct cc_frontend {
	struct cell *c;
	struct http_server *callers;
	struct http_server *ready;
	struct http_server *metrics;
	struct at_table *attempts;
	uint32_t pending_count;
};

/* cell_calls_respond.c */

/** cc_respond() - respond to a caller with a JSON body */
void cc_respond(struct cc_frontend *f, struct hs_request *req, int status,
    const char *body);
/** cc_respond_error() - respond to a caller with the reason of a failure */
void cc_respond_error(struct cc_frontend *f, struct hs_request *req, int status,
    const char *reason);
/** cc_log_unwritten() - log a request that is decided without a write */
void cc_log_unwritten(
    const char *event, const char *id, int status, const char *reason);
/** cc_store_is_unreachable() - whether a write would not succeed */
bool cc_store_is_unreachable(const struct cell *c);
/** cc_is_ready() - whether new connections should come to this daemon */
bool cc_is_ready(const struct cell *c);

/* cell_calls_write.c */

/** cc_submit() - store a job of a caller, unless it is known */
void cc_submit(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id);
/** cc_cancel_job() - store the cancellation of a job in the replica */
void cc_cancel_job(
    struct cc_frontend *f, struct hs_request *req, const char *id);

/* cell_calls_query.c */

/** cc_get() - respond with the state of a job */
void cc_get(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id);
/** cc_delete() - cancel a job, which may be missing in the replica */
void cc_delete(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id);
/** cc_respond_waiting() - respond with the number of jobs waiting in a queue */
void cc_respond_waiting(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue);

/* cell_calls_metrics.c */

/** cc_on_metrics() - respond with the metrics page; @arg is the frontend */
void cc_on_metrics(struct hs_request *req, void *arg);

#endif
