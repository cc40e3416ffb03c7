#ifndef STATE_QUEUES_H
#define STATE_QUEUES_H

#include <talloc.h>

#include "state/job.h"

/**
 * DOC: The operators' configuration of queues and pools.
 *
 * A queue is found by the host that a caller names and the longest prefix of
 * its path.
 */

/**
 * struct qs_queue - where callers submit jobs
 * @host: host name, lower case
 * @prefix: path prefix
 * @pool: workers that run its jobs
 * @timeout_ms: how long a request may take
 */
struct qs_queue {
	char *name;
	char *host;
	char *prefix;
	char *pool;
	uint32_t timeout_ms;
	struct jb_policy policy;
};

/** struct qs_pool - a service's workers; on standby they are off */
struct qs_pool {
	char *name;
	bool standby;
};

struct qs_config {
	uint64_t version;
	struct qs_queue *queue;
	uint32_t queue_count;
	struct qs_pool *pool;
	uint32_t pool_count;
	uint32_t max_body_bytes;
};

/**
 * qs_find() - queue of a request
 * @config: configuration
 * @host: host as sent, with or without a port
 * @path: path
 *
 * Return: the queue with the longest prefix, or NULL.
 */
const struct qs_queue *qs_find(
    const struct qs_config *config, const char *host, const char *path);

#endif
