#ifndef CURRANTTACKD_REQUEST_INTERNAL_H
#define CURRANTTACKD_REQUEST_INTERNAL_H

#include "curranttackd/api.h"

/**
 * DOC: Shared by the files that serve requests to services. Each uses only those
 * named before it: request_end (how a request ended: claim, counts, response),
 * request_attempts (attempts at endpoints, forwarding to other daemons),
 * api_requests (arrival, from callers and from other daemons).
 */

#define RQ_ID_BYTES 64

/**
 * struct request - one request to a service while it is served
 * @routing: its part of the routing state
 * @frontend: frontend that serves it
 * @service: service
 * @http: the caller's request, or NULL if a peer forwarded it
 * @done: receives the reply to the peer that forwarded it
 * @done_arg: argument of @done
 * @key: idempotency key with its service, as endpoints receive it, or NULL
 * @claimed: this daemon holds the claim on @key and must report its end
 * @id: request id in logs and for endpoints
 * @body: body, @body_bytes long
 * @received_us: when it arrived
 */
struct request {
	struct rt_request routing;
	struct frontend *frontend;
	struct dm_service *service;
	struct hs_request *http;
	call_done_fn done;
	void *done_arg;
	char *key;
	bool claimed;
	char id[RQ_ID_BYTES];
	uint8_t *body;
	size_t body_bytes;
	int64_t received_us;
};

/**
 * struct request_result - how a request ended
 * @outcome: outcome
 * @status: HTTP status
 * @reason: text for the caller, unless it is done
 * @retry_after_ms: when to try again; 0 for no advice
 * @content_type: type of @body
 * @body: body of the endpoint's response, @body_bytes long
 */
struct request_result {
	enum st_outcome outcome;
	int status;
	const char *reason;
	uint32_t retry_after_ms;
	const char *content_type;
	const uint8_t *body;
	size_t body_bytes;
};

/* request_end.c */

/**
 * rq_find_home_shard() - shard that holds the claim on a request's key
 * @r: request with a key
 * @shard: receives its id, MB_NAME_BYTES long; empty without any shard
 */
void rq_find_home_shard(const struct request *r, char *shard);
/** rq_finish() - respond to a request, and free it */
void rq_finish(struct request *r, const struct request_result *result);

/* request_attempts.c */

/** rq_start() - pass a request to the routing; only on its frontend's loop */
void rq_start(struct request *r);

#endif
