#ifndef CURRANTTACKD_DAEMON_RUN_H
#define CURRANTTACKD_DAEMON_RUN_H

#include "curranttackd/daemon.h"

/**
 * DOC: Creates the parts of a daemon, connects them, and runs them until the
 * daemon has shut down. No part knows this one.
 */

/**
 * dm_create() - create a daemon that listens; it serves once dm_run() is called
 * @ctx: talloc parent
 * @s: settings; must outlive the daemon
 *
 * Return: daemon, or NULL when an address cannot be bound or without memory.
 */
struct daemon *dm_create(TALLOC_CTX *ctx, struct settings *s);
/**
 * dm_run() - run the control loop until a shutdown has completed
 * @d: daemon
 *
 * Prints "ready" and the bound addresses on standard output.
 * Return: 0, or -1 when signals or threads cannot be set up.
 */
int dm_run(struct daemon *d);

#endif
