#ifndef STATE_RECORD_H
#define STATE_RECORD_H

#include <talloc.h>

#include "state/types.h"

/**
 * DOC: Records of a shard's log.
 *
 * Replaying a shard's records in order on an empty shard gives its durable
 * state. A snapshot is a shorter list of records with the same effect.
 */

/** enum rc_kind - what a record reports; the numbers are stored */
enum rc_kind {
	RC_SEAL = 1,
	RC_JOB_ACCEPTED,
	RC_TASK_STARTING,
	RC_TASK_ENDED,
	RC_JOB_CANCELLED,
	RC_CLAIM_TAKEN,
	RC_CLAIM_ENDED,
	RC_TASK_REQUEUED,
	RC_JOB_FORGOTTEN,
};

/**
 * struct rc_record - one change; the fields in use depend on @kind
 * @kind: kind of change
 * @epoch: epoch that wrote it
 * @spec: the job, for RC_JOB_ACCEPTED
 * @job: job id
 * @index: task index in the job; for RC_CLAIM_ENDED, 1 when the whole response
 *	is kept
 * @attempt: start number, unique in the shard; for RC_CLAIM_TAKEN, the claim's
 *	unknown_wall_us
 * @worker: worker id
 * @result: how the task or claim ended
 * @key: idempotency key of a claim
 * @response: response of a claimed request, @response_bytes long
 * @status: HTTP status of the response
 * @body_hash: hash of the claimed request's body; for RC_SEAL, hash of the
 *	workers that the epoch knows
 * @deadline_wall_us: wall clock at which a claim expires
 */
struct rc_record {
	enum rc_kind kind;
	uint64_t epoch;
	struct st_job_spec *spec;
	char *job;
	uint32_t index;
	uint64_t attempt;
	char *worker;
	enum st_result result;
	char *key;
	uint8_t *response;
	size_t response_bytes;
	uint32_t status;
	uint64_t body_hash;
	int64_t deadline_wall_us;
};

/**
 * rc_dup_spec() - copy a job description with its strings
 * @ctx: talloc parent
 * @from: source
 *
 * Return: the copy, or NULL without memory.
 */
struct st_job_spec *rc_dup_spec(
    TALLOC_CTX *ctx, const struct st_job_spec *from);

/**
 * rc_estimate_bytes() - estimate the encoded size, to limit batches of records
 * @r: record
 */
size_t rc_estimate_bytes(const struct rc_record *r);

#endif
