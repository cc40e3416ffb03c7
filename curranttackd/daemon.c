#include <string.h>

#include "curranttackd/daemon.h"

const struct po_policy *
dm_policy(const struct daemon *d)
{
	return po_get(d->config->preset, d->config->shards->goal);
}

struct dm_service *
dm_find_service(struct daemon *d, const char *name)
{
	struct dm_service *found = NULL;
	uint32_t i;

	pthread_mutex_lock(&d->config_lock);
	for (i = 0; i < d->service_count; i++) {
		if (strcmp(d->service[i]->name, name) == 0)
			found = d->service[i];
	}
	pthread_mutex_unlock(&d->config_lock);
	return found;
}

bool
dm_vm_is_leaving(const struct daemon *d, const char *vm)
{
	uint32_t i;

	for (i = 0; i < d->leaving_vm_count; i++) {
		if (strcmp(d->leaving_vm[i], vm) == 0)
			return true;
	}
	return false;
}
