#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include "transport/fleet.h"

/**
 * DOC: The platform's services, as the function tables of transport/fleet.h.
 *
 * Only platform/ knows the platform's paths, headers, keys and fields.
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
 * pf_create() - create clients of the platform's services
 * @ctx: talloc parent
 * @l: event loop of all calls and callbacks
 * @settings: addresses; copied
 *
 * Return: function tables and their handle; aborts when out of memory.
 */
struct fl_fleet *pf_create(
    TALLOC_CTX *ctx, struct loop *l, const struct pf_settings *settings);

#endif
