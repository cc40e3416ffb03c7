#ifndef COORDINATION_LINKS_H
#define COORDINATION_LINKS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Between which daemons of a cell there are links.
 *
 * A pool's owner sends advice requests and workers' traffic to all other daemons,
 * and these send it the jobs that they accept. Pools go to the largest VMs as long as
 * there are enough of them, so these have links to all at any time, and owners
 * on smaller VMs from when they own a pool. Pure functions.
 */

/**
 * struct li_daemon - what the choice depends on
 * @cpu_mcpu: CPU that it may use, in thousandths of a core
 * @owns_pool: it owns a pool
 */
struct li_daemon {
	uint32_t cpu_mcpu;
	bool owns_pool;
};

/**
 * li_needs_link() - whether a daemon connects to another one
 * @own: daemon that would connect
 * @peer: the other one
 * @largest_mcpu: largest share of a core of any daemon present
 */
bool li_needs_link(const struct li_daemon *own, const struct li_daemon *peer,
    uint32_t largest_mcpu);

#endif
