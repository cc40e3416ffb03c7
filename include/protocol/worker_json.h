#ifndef PROTOCOL_WORKER_JSON_H
#define PROTOCOL_WORKER_JSON_H

#include <jansson.h>

#include "state/shard.h"

/**
 * wj_build_sync() - encode a sync request to a worker
 * @shard: shard id
 * @sync: request
 *
 * Return: JSON text to be released with free().
 */
char *wj_build_sync(const char *shard, const struct sh_sync *sync);

/**
 * wj_parse_sync_reply() - decode a worker's reply to a sync request
 * @ctx: talloc parent of the arrays and strings
 * @body: JSON text
 * @body_bytes: size of @body
 * @reply: receives the reply
 * @error: reason on failure; JF_ERROR_BYTES long
 *
 * Return: false when the reply is malformed.
 */
bool wj_parse_sync_reply(TALLOC_CTX *ctx, const char *body, size_t body_bytes,
    struct sh_sync_reply *reply, char *error);

/** wj_ref_to_json() - encode a reference to one attempt of a task */
json_t *wj_ref_to_json(const struct sh_ref *ref);

#endif
