#ifndef CURRANTTACKD_CELL_RUN_H
#define CURRANTTACKD_CELL_RUN_H

#include "curranttackd/cell_settings.h"

/**
 * DOC: Creates the parts of a daemon of the cell, connects them, and runs them
 * until the daemon has handed over its work. No part knows this one.
 */

/**
 * cell_run() - run a daemon until it is asked to stop
 * @settings: checked settings; must live as long as the daemon
 *
 * Return: 0 after a clean stop, or -1 when the daemon could not start.
 */
int cell_run(struct cell_settings *settings);

#endif
