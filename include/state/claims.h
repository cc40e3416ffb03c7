#ifndef STATE_CLAIMS_H
#define STATE_CLAIMS_H

#include <talloc.h>
#include <uthash.h>

#include "state/types.h"

/**
 * DOC: At-most-once claims on idempotency keys.
 *
 * A non-idempotent request with a key is sent to an endpoint only by the daemon
 * whose claim the key's home shard has logged. Every other daemon gets the
 * response of that first attempt, or learns that its outcome is unknown.
 */

#define CL_MAX_RESPONSE_BYTES ((size_t)64 << 10)

/** enum cl_state - whether the outcome of a claimed request was reported */
enum cl_state {
	CL_TAKEN,
	CL_ENDED,
};

/**
 * struct cl_claim - claim on one key
 * @key: idempotency key with its scope
 * @body_hash: hash of the request, to detect a reused key
 * @state: taken or ended
 * @result: DONE or UNKNOWN once ended
 * @status: HTTP status of the response
 * @response: response body, @response_bytes long; may be too large to be kept
 * @response_kept: whether @response is the whole response body
 * @expires_wall_us: the claim is forgotten then
 * @unknown_wall_us: when it is still taken then, its outcome is unknown
 * @record_number: number of the claim's latest log record
 */
struct cl_claim {
	char *key;
	uint64_t body_hash;
	enum cl_state state;
	enum st_result result;
	uint32_t status;
	uint8_t *response;
	size_t response_bytes;
	bool response_kept;
	int64_t expires_wall_us;
	int64_t unknown_wall_us;
	uint64_t record_number;
	UT_hash_handle hh;
};

/**
 * struct cl_table - claims by key
 * @bytes: estimated size of all claims
 * @max_bytes: limit of @bytes for new claims
 */
struct cl_table {
	struct cl_claim *by_key;
	size_t bytes;
	size_t max_bytes;
};

/** enum cl_take_result - result of cl_take() */
enum cl_take_result {
	CL_GRANTED,	/* new; send the request once the claim is durable */
	CL_IN_PROGRESS, /* already taken; wait for the outcome */
	CL_RESPONDED,	/* ended; the claim has the response */
	CL_OUTCOME_UNKNOWN, /* ended as unknown, or not reported in time */
	CL_KEY_REUSED,	    /* the key was used for another request */
	CL_FULL,	    /* the table is full; the request did not run */
};

/** cl_create() - create an empty table; NULL without memory */
struct cl_table *cl_create(TALLOC_CTX *ctx, size_t max_bytes);

/** cl_find() - find the claim of a key; NULL when there is none */
struct cl_claim *cl_find(struct cl_table *t, const char *key);

/**
 * cl_take() - claim a key
 * @t: table
 * @key: idempotency key with its scope
 * @body_hash: hash of the request
 * @unknown_wall_us: by when the holder must report the outcome
 * @expires_wall_us: when the claim and its response are forgotten
 * @now_wall_us: wall clock
 * @claim: the key's claim, or NULL with CL_FULL
 *
 * Return: whether the caller may send the request, or why not.
 */
enum cl_take_result cl_take(struct cl_table *t, const char *key,
    uint64_t body_hash, int64_t unknown_wall_us, int64_t expires_wall_us,
    int64_t now_wall_us, struct cl_claim **claim);

/**
 * cl_end() - store the outcome of a claimed request
 * @t: table
 * @c: claim
 * @result: DONE or UNKNOWN
 * @status: HTTP status
 * @response: response body; copied, unless it exceeds CL_MAX_RESPONSE_BYTES
 * @response_bytes: its size
 */
void cl_end(struct cl_table *t, struct cl_claim *c, enum st_result result,
    uint32_t status, const uint8_t *response, size_t response_bytes);

/** cl_remove() - remove and free a claim whose request did not run */
void cl_remove(struct cl_table *t, struct cl_claim *c);

/**
 * cl_expire() - remove expired claims
 * @t: table
 * @now_wall_us: wall clock
 * @budget: most claims to look at
 */
void cl_expire(struct cl_table *t, int64_t now_wall_us, uint32_t budget);

#endif
