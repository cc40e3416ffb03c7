#ifndef CURRANTTACKD_CELL_CALLS_INTERNAL_H
#define CURRANTTACKD_CELL_CALLS_INTERNAL_H

#include "curranttackd/cell.h"
#include "state/attempts.h"
#include "state/tombstones.h"

/**
 * DOC: Shared by the files that implement the HTTP API for callers: cell_calls
 * (servers, and which handler a request goes to), cell_calls_submit and
 * cell_calls_cancel (what is stored), cell_calls_write (writes to the key space
 * until their outcome is known), cell_calls_query (states of jobs and lengths of
 * queues), cell_calls_metrics (the metrics page), cell_calls_respond (what all of
 * them use).
 */

struct cc_job_lookup;

/**
 * struct cc_frontend - HTTP servers of the daemon
 * @c: cell
 * @callers: server for callers
 * @ready: server for the load balancer's readiness checks
 * @metrics: server for metrics, or NULL
 * @attempts: attempts of callers to store a job that may still succeed
 * @tombstones: lease of the cancellations of jobs that are not stored
 * @lookups: requests for jobs that are read from the store
 * @pending_count: callers' requests without a response
 */
struct cc_frontend {
	struct cell *c;
	struct http_server *callers;
	struct http_server *ready;
	struct http_server *metrics;
	struct at_table *attempts;
	struct tb_lease tombstones;
	struct cc_job_lookup *lookups;
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
/** cc_is_ending() - whether nothing is awaited any more, as the process ends */
bool cc_is_ending(const struct cell *c);
/** cc_is_ready() - whether new connections should come to this daemon */
bool cc_is_ready(const struct cell *c);

/* cell_calls_write.c */

struct cc_write;

/**
 * struct cc_write_ops - one kind of write
 * @event: event in the log
 * @send: send it, with cc_on_written() for the answer
 * @stored: it was done, at a revision
 * @conflict: a condition of it failed
 * @end: turn the status of the response into one that is certain; may be NULL
 */
struct cc_write_ops {
	const char *event;
	void (*send)(struct cc_write *w);
	void (*stored)(struct cc_write *w, uint64_t revision);
	void (*conflict)(struct cc_write *w, const struct ks_response *a);
	int (*end)(struct cc_write *w, int status);
};

/**
 * struct cc_write - a caller's request that waits for the key space
 * @ops: its kind
 * @f: servers
 * @req: the request, or NULL once it was answered at the end of the process
 * @id: the job
 * @job_key: key of the job
 * @cancel_key: key of its cancellation
 * @lease: lease of what is written, or 0
 * @arrived_us: when the request came
 * @deadline_us: when it has to be answered
 * @attempts: attempts that have ended
 * @refused: those without effect
 * @unanswered: those without an answer
 * @sent_again: those that the client library sent more than once by itself
 * @in_flight: the store has been sent an attempt that has not ended
 * @uncertain: an attempt had no answer, so the write may still take effect
 *
 * First member of the struct of each kind.
 */
struct cc_write {
	const struct cc_write_ops *ops;
	struct cc_frontend *f;
	struct hs_request *req;
	char id[JB_ID_BYTES];
	char job_key[RP_KEY_BYTES];
	char cancel_key[RP_KEY_BYTES];
	uint64_t lease;
	int64_t arrived_us;
	int64_t deadline_us;
	uint32_t attempts;
	uint32_t refused;
	uint32_t unanswered;
	uint32_t sent_again;
	bool in_flight;
	bool uncertain;
};

/** cc_deadline_us() - when a caller that asks now needs a response */
int64_t cc_deadline_us(struct cc_frontend *f, struct hs_request *req);
/** cc_write_init() - fill a write for a caller's request */
void cc_write_init(struct cc_write *w, const struct cc_write_ops *ops,
    struct cc_frontend *f, struct hs_request *req, const char *id,
    int64_t deadline_us);
/** cc_write_retry() - send it again after a pause, or respond at its deadline */
void cc_write_retry(struct cc_write *w);
/** cc_write_refused() - an attempt was refused: try again, or respond */
void cc_write_refused(struct cc_write *w);
/** cc_write_is_over() - whether it has been answered: then it is freed */
bool cc_write_is_over(struct cc_write *w);
/** cc_write_finish() - respond, and free the write */
void cc_write_finish(struct cc_write *w, int status, const char *body);
/** cc_on_written() - the answer to an attempt; @arg is the write */
void cc_on_written(const struct ks_response *a, void *arg);
/** cc_find_revision() - a key's revision after a conflict; 0 if it is absent */
uint64_t cc_find_revision(const struct ks_response *a, const char *key);

/* cell_calls_submit.c */

/** cc_submit() - store a job of a caller, unless it is known */
void cc_submit(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id);

/* cell_calls_cancel.c */

/** cc_cancel_job() - store the cancellation of a job, which may be unknown */
void cc_cancel_job(struct cc_frontend *f, struct hs_request *req,
    const char *id, int64_t deadline_us);

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
