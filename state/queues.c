#include <string.h>
#include <strings.h>

#include "state/queues.h"

static bool
qs_host_matches(const char *name, const char *host)
{
	size_t n = strcspn(host, ":");

	return strlen(name) == n && strncasecmp(name, host, n) == 0;
}

const struct qs_queue *
qs_find(const struct qs_config *config, const char *host, const char *path)
{
	const struct qs_queue *best = NULL;
	size_t best_len = 0;
	uint32_t i;

	for (i = 0; i < config->queue_count; i++) {
		const struct qs_queue *q = &config->queue[i];
		size_t len = strlen(q->prefix);

		if (best != NULL && len <= best_len)
			continue;
		if (strncmp(q->prefix, path, len) != 0 ||
		    !qs_host_matches(q->host, host))
			continue;
		best = q;
		best_len = len;
	}
	return best;
}
