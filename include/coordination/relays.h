#ifndef COORDINATION_RELAYS_H
#define COORDINATION_RELAYS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Which daemon relays an owner's orders to a worker.
 *
 * For pools whose traffic is more than one VM can carry: daemons in a worker's
 * failure domain exchange HTTP with it, and the owner talks to these daemons.
 * Pure: the caller says who can be reached.
 */

/**
 * struct re_candidate - a daemon that may relay
 * @vm: its VM; must outlive the table
 * @domain: its failure domain; must outlive the table
 * @cpu_mcpu: its share of a core, in thousandths
 * @owns_pool: it owns a pool of its own
 * @reachable: it has an established link and answered lately
 */
struct re_candidate {
	const char *vm;
	const char *domain;
	uint32_t cpu_mcpu;
	bool owns_pool;
	bool reachable;
};

struct re_table;

/**
 * re_create() - choose the relays of each failure domain
 * @ctx: talloc parent
 * @members: daemons, in any order
 * @count: number of them
 *
 * Usable daemons that own nothing come first, then those with the largest
 * share of a core; all equals share a domain's workers.
 */
struct re_table *re_create(
    TALLOC_CTX *ctx, const struct re_candidate *members, uint32_t count);

/**
 * re_pick() - the VM that relays for a worker
 * @t: table
 * @domain: failure domain of the worker
 * @worker: its id
 *
 * The same worker keeps its relay as long as that one is among the chosen.
 *
 * Return: VM, or NULL when no daemon of that domain can be reached.
 */
const char *re_pick(
    const struct re_table *t, const char *domain, const char *worker);

#endif
