#ifndef PROTOCOL_JOB_JSON_H
#define PROTOCOL_JOB_JSON_H

#include <jansson.h>

#include "state/shard.h"

/**
 * jj_parse_job() - read a submission
 * @ctx: talloc parent of the result
 * @body: JSON text
 * @body_bytes: its size
 * @key: idempotency key from the header, or NULL
 * @error: field and reason; JF_ERROR_BYTES long
 *
 * Return: description without an id, or NULL.
 */
struct st_job_spec *jj_parse_job(TALLOC_CTX *ctx, const char *body,
    size_t body_bytes, const char *key, char *error);

/**
 * jj_job_id() - the id that a team's key has in a shard
 * @ctx: talloc parent
 * @shard: shard id
 * @team: team
 * @key: key
 */
char *jj_job_id(
    TALLOC_CTX *ctx, const char *shard, const char *team, const char *key);

/**
 * jj_job_to_json() - a job for callers
 * @sh: its shard
 * @job: job
 * @with_tasks: list each task
 */
json_t *jj_job_to_json(
    const struct sh_shard *sh, const struct sh_job *job, bool with_tasks);

/** jj_workers_to_json() - the workers of a shard for operators */
json_t *jj_workers_to_json(const struct sh_shard *sh);
/** jj_placements_to_json() - what runs where, for operators */
json_t *jj_placements_to_json(const struct sh_shard *sh);

#endif
