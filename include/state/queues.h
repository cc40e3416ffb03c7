#ifndef STATE_QUEUES_H
#define STATE_QUEUES_H

#include <talloc.h>

#include "state/job.h"

/**
 * DOC: Operators' configuration of queues and pools.
 *
 * A request goes to the queue whose host equals the request's host and whose
 * path prefix is the longest that matches.
 */

/**
 * struct qs_queue - queue to which callers submit jobs
 * @host: host name, lower case
 * @prefix: path prefix
 * @pool: pool of workers that runs its jobs
 * @timeout_ms: time limit of a request
 * @policy: copied into each of its jobs
 */
struct qs_queue {
	char *name;
	char *host;
	char *prefix;
	char *pool;
	uint32_t timeout_ms;
	struct jb_policy policy;
};

/** struct qs_pool - pool of workers; on standby, they are switched off */
struct qs_pool {
	char *name;
	bool standby;
};

/** struct qs_config - one version of the configuration */
struct qs_config {
	uint64_t version;
	struct qs_queue *queue;
	uint32_t queue_count;
	struct qs_pool *pool;
	uint32_t pool_count;
	uint32_t max_body_bytes;
};

/**
 * qs_find() - find the queue of a request
 * @config: configuration
 * @host: host as sent, with or without a port
 * @path: path
 *
 * Return: the queue with the longest matching prefix, or NULL.
 */
const struct qs_queue *qs_find(
    const struct qs_config *config, const char *host, const char *path);

#endif
