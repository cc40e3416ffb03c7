#ifndef PROTOCOL_JOB_JSON_H
#define PROTOCOL_JOB_JSON_H

#include <jansson.h>

#include "state/shard.h"

/**
 * jj_parse_job() - parse the body of a job submission
 * @ctx: talloc parent of the result
 * @body: JSON text
 * @body_bytes: size of @body
 * @key: value of the Idempotency-Key header, or NULL
 * @error: field and reason on failure; JF_ERROR_BYTES long
 *
 * Return: job description without an id, or NULL when the body is invalid.
 */
struct st_job_spec *jj_parse_job(TALLOC_CTX *ctx, const char *body,
    size_t body_bytes, const char *key, char *error);

/**
 * jj_job_id() - derive a job's id from its shard, team and idempotency key
 * @ctx: talloc parent of the result
 * @shard: shard id
 * @team: team name
 * @key: idempotency key
 *
 * A repeated submission with the same key gets the same id.
 *
 * Return: id, or NULL when out of memory.
 */
char *jj_job_id(
    TALLOC_CTX *ctx, const char *shard, const char *team, const char *key);

/**
 * jj_job_to_json() - describe a job for callers
 * @sh: its shard
 * @job: job
 * @with_tasks: list each task
 *
 * Return: new reference.
 */
json_t *jj_job_to_json(
    const struct sh_shard *sh, const struct sh_job *job, bool with_tasks);

/** jj_workers_to_json() - list a shard's workers; new reference */
json_t *jj_workers_to_json(const struct sh_shard *sh);
/** jj_placements_to_json() - list a shard's placed tasks; new reference */
json_t *jj_placements_to_json(const struct sh_shard *sh);

#endif
