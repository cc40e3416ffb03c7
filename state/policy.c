#include <string.h>

#include "common/clock.h"
#include "state/policy.h"

#define PO_MINUTE_US (60 * CLK_US_PER_S)

static const struct po_policy
    po_table[PO_GOAL_COUNT]
	    [PO_PRESET_COUNT] =
		{
		    [PO_PACKING] =
			{
			    [PO_ORDINARY] =
				{
				    .name = "ordinary",
				    .packing_weight = 1.0F,
				    .spread_weight = 2.0F,
				    .accel_penalty_weight = 40.0F,
				    .aging_us = {PO_MINUTE_US, 5 * PO_MINUTE_US,
					30 * PO_MINUTE_US},
				    .preempt_heavy = true,
				    .start_heavy = true,
				    .queue_per_slot = {4, 2, 1},
				    .retry_percent = 10,
				},
			    [PO_PEAKS] =
				{
				    .name = "peaks",
				    .packing_weight = 0.7F,
				    .spread_weight = 2.0F,
				    .accel_penalty_weight = 40.0F,
				    .aging_us = {PO_MINUTE_US,
					10 * PO_MINUTE_US, 120 * PO_MINUTE_US},
				    .preempt_heavy = true,
				    .start_heavy = true,
				    .queue_per_slot = {4, 1, 0},
				    .retry_percent = 5,
				},
			    [PO_MAINTENANCE] =
				{
				    .name = "maintenance",
				    .packing_weight = 1.0F,
				    .spread_weight = 4.0F,
				    .accel_penalty_weight = 40.0F,
				    .aging_us = {PO_MINUTE_US, 5 * PO_MINUTE_US,
					30 * PO_MINUTE_US},
				    .preempt_heavy = true,
				    .start_heavy = false,
				    .queue_per_slot = {4, 2, 1},
				    .retry_percent = 10,
				},
			},
		    [PO_WAITING] =
			{
			    [PO_ORDINARY] =
				{
				    .name = "ordinary",
				    .packing_weight = 0.3F,
				    .spread_weight = 5.0F,
				    .accel_penalty_weight = 30.0F,
				    .aging_us = {PO_MINUTE_US, 2 * PO_MINUTE_US,
					10 * PO_MINUTE_US},
				    .preempt_heavy = true,
				    .start_heavy = true,
				    .queue_per_slot = {4, 2, 1},
				    .retry_percent = 10,
				},
			    [PO_PEAKS] =
				{
				    .name = "peaks",
				    .packing_weight = 0.1F,
				    .spread_weight = 5.0F,
				    .accel_penalty_weight = 30.0F,
				    .aging_us = {PO_MINUTE_US, 5 * PO_MINUTE_US,
					60 * PO_MINUTE_US},
				    .preempt_heavy = true,
				    .start_heavy = true,
				    .queue_per_slot = {4, 1, 0},
				    .retry_percent = 5,
				},
			    [PO_MAINTENANCE] =
				{
				    .name = "maintenance",
				    .packing_weight = 0.3F,
				    .spread_weight = 8.0F,
				    .accel_penalty_weight = 30.0F,
				    .aging_us = {PO_MINUTE_US, 2 * PO_MINUTE_US,
					10 * PO_MINUTE_US},
				    .preempt_heavy = true,
				    .start_heavy = false,
				    .queue_per_slot = {4, 2, 1},
				    .retry_percent = 10,
				},
			},
};

const struct po_policy *
po_get(enum po_preset preset, enum po_goal goal)
{
	return &po_table[goal][preset];
}

const char *
po_preset_name(enum po_preset p)
{
	return po_table[PO_PACKING][p].name;
}

bool
po_preset_parse(const char *name, enum po_preset *p)
{
	unsigned int i;

	for (i = 0; i < PO_PRESET_COUNT; i++) {
		if (strcmp(name, po_table[PO_PACKING][i].name) == 0) {
			*p = (enum po_preset)i;
			return true;
		}
	}
	return false;
}

bool
po_goal_parse(const char *name, enum po_goal *g)
{
	if (strcmp(name, "packing") == 0)
		*g = PO_PACKING;
	else if (strcmp(name, "waiting") == 0)
		*g = PO_WAITING;
	else
		return false;
	return true;
}
