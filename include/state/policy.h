#ifndef STATE_POLICY_H
#define STATE_POLICY_H

#include "state/types.h"

/** enum po_preset - set of weights and limits that operators can select */
enum po_preset {
	PO_ORDINARY,
	PO_PEAKS,
	PO_MAINTENANCE,
	PO_PRESET_COUNT,
};

/** enum po_goal - what a deployment optimizes: packing or short waits */
enum po_goal {
	PO_PACKING,
	PO_WAITING,
	PO_GOAL_COUNT,
};

/**
 * struct po_policy - settings of a preset
 * @name: preset name
 * @packing_weight: preference for fuller workers; negative prefers emptier ones
 * @spread_weight: penalty per task of the same service in a rack
 * @accel_penalty_weight: penalty for placing a task that needs no accelerator
 *	on a worker with free accelerators
 * @aging_us: waiting time after which a job counts as one class more urgent
 * @preempt_heavy: urgent tasks may preempt heavy ones that are idempotent
 * @start_heavy: heavy jobs, other than services, are started
 * @queue_per_slot: most requests that wait per endpoint slot, by class
 * @retry_percent: retry budget, in percent of first attempts
 */
struct po_policy {
	const char *name;
	float packing_weight;
	float spread_weight;
	float accel_penalty_weight;
	int64_t aging_us[ST_CLASS_COUNT];
	bool preempt_heavy;
	bool start_heavy;
	uint32_t queue_per_slot[ST_CLASS_COUNT];
	uint32_t retry_percent;
};

/**
 * po_get() - policy of a preset for a deployment's goal
 * @preset: preset
 * @goal: what the deployment optimizes
 *
 * Return: static data.
 */
const struct po_policy *po_get(enum po_preset preset, enum po_goal goal);

/** po_preset_name() - "ordinary", "peaks" or "maintenance" */
const char *po_preset_name(enum po_preset p);

/**
 * po_preset_parse() - parse a preset name
 * @name: name
 * @p: result
 *
 * Return: false when the name is unknown.
 */
bool po_preset_parse(const char *name, enum po_preset *p);

/**
 * po_goal_parse() - parse a goal: "packing" or "waiting"
 * @name: name
 * @g: result
 *
 * Return: false when the name is unknown.
 */
bool po_goal_parse(const char *name, enum po_goal *g);

#endif
