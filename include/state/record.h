#ifndef STATE_RECORD_H
#define STATE_RECORD_H

#include <talloc.h>

#include "state/types.h"

/**
 * DOC: Records of a shard's log.
 *
 * A shard's durable state is what its records make of an empty shard, in
 * order. A snapshot is a shorter list of records with the same effect.
 */

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
 * struct rc_record - one change; fields beyond @kind depend on it
 * @kind: what happened
 * @epoch: epoch that wrote it
 * @spec: the job, for RC_JOB_ACCEPTED
 * @job: job id
 * @index: task index in the job
 * @attempt: start number; unique in the shard
 * @worker: worker id
 * @result: how the task or claim ended
 * @key: idempotency key of a claim
 * @response: answer of a claim, @response_bytes long
 * @status: HTTP status of the answer
 * @body_hash: hash of the claimed request's body, or for RC_SEAL of the
 *	workers that the epoch knows
 * @deadline_wall_us: stored deadline on the wall clock
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
 * rc_dup_spec() - deep copy of a job description
 * @ctx: talloc parent
 * @from: source
 */
struct st_job_spec *rc_dup_spec(
    TALLOC_CTX *ctx, const struct st_job_spec *from);

/**
 * rc_estimate_bytes() - rough encoded size, to keep batches below the limit
 * @r: record
 */
size_t rc_estimate_bytes(const struct rc_record *r);

#endif
