#ifndef STATE_CLAIMS_H
#define STATE_CLAIMS_H

#include <talloc.h>
#include <uthash.h>

#include "state/types.h"

/**
 * DOC: At-most-once claims on idempotency keys.
 *
 * A non-idempotent request with a key is sent only by the daemon whose claim
 * the key's home shard has logged. Everybody else gets the first one's
 * answer, or learns that the outcome is unknown.
 */

#define CL_MAX_RESPONSE_BYTES ((size_t)64 << 10)

enum cl_state {
	CL_TAKEN,
	CL_ENDED,
};

/**
 * struct cl_claim - one key
 * @key: idempotency key with its scope
 * @body_hash: hash of the request, to notice a reused key
 * @state: taken or ended
 * @result: DONE or UNKNOWN once ended
 * @status: HTTP status of the answer
 * @response: answer, @response_bytes long; may be too large to be kept
 * @response_kept: whether @response is the whole answer
 * @expires_wall_us: forgotten from here on
 * @unknown_wall_us: a claim still taken from here on has unknown outcome
 * @record_number: record number that must be durable first
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

struct cl_table {
	struct cl_claim *by_key;
	size_t bytes;
	size_t max_bytes;
};

enum cl_take_result {
	CL_GRANTED,	    /* new; run it once the claim is durable */
	CL_IN_PROGRESS,	    /* another one holds it; wait */
	CL_RESPONDED,	    /* ended; the claim holds the answer */
	CL_OUTCOME_UNKNOWN, /* its holder never reported */
	CL_KEY_REUSED,	    /* the key was used for another request */
	CL_FULL,	    /* no room; certainly not run */
};

/** cl_create() - an empty table that holds up to @max_bytes */
struct cl_table *cl_create(TALLOC_CTX *ctx, size_t max_bytes);

/** cl_find() - the claim of a key, or NULL */
struct cl_claim *cl_find(struct cl_table *t, const char *key);

/**
 * cl_take() - claim a key
 * @t: table
 * @key: idempotency key with its scope
 * @body_hash: hash of the request
 * @unknown_wall_us: when the holder must have reported
 * @expires_wall_us: how long the answer is kept
 * @now_wall_us: wall clock
 * @claim: the key's claim, unless CL_FULL
 *
 * Return: verdict.
 */
enum cl_take_result cl_take(struct cl_table *t, const char *key,
    uint64_t body_hash, int64_t unknown_wall_us, int64_t expires_wall_us,
    int64_t now_wall_us, struct cl_claim **claim);

/**
 * cl_end() - store the answer of a claim
 * @t: table
 * @c: claim
 * @result: DONE or UNKNOWN
 * @status: HTTP status
 * @answer: answer; not kept beyond CL_MAX_RESPONSE_BYTES
 * @answer_bytes: its size
 */
void cl_end(struct cl_table *t, struct cl_claim *c, enum st_result result,
    uint32_t status, const uint8_t *answer, size_t answer_bytes);

/** cl_remove() - forget a claim whose request certainly did not run */
void cl_remove(struct cl_table *t, struct cl_claim *c);

/**
 * cl_expire() - forget expired claims
 * @t: table
 * @now_wall_us: wall clock
 * @budget: most claims to look at
 */
void cl_expire(struct cl_table *t, int64_t now_wall_us, uint32_t budget);

#endif
