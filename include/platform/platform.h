#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include "transport/fleet.h"

/**
 * DOC: The users' platform behind the cell's tables.
 *
 * This folder alone knows the platform's paths, headers, keys and fields.
 */

/**
 * struct pf_settings - where the platform's services listen
 * @store: "IP:PORT" of the metadata store
 * @advice: "IP:PORT" of the advice service, or empty
 * @maintenance: "IP:PORT" of the service that maintains VMs, or empty
 */
struct pf_settings {
	const char *store;
	const char *advice;
	const char *maintenance;
};

/**
 * pf_create() - clients of the platform's services on a loop
 * @ctx: talloc parent
 * @l: loop
 * @settings: addresses
 */
struct fl_fleet *pf_create(
    TALLOC_CTX *ctx, struct loop *l, const struct pf_settings *settings);

#endif
