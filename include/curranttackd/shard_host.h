#ifndef CURRANTTACKD_SHARD_HOST_H
#define CURRANTTACKD_SHARD_HOST_H

#include "coordination/ownership.h"
#include "curranttackd/calls.h"
#include "curranttackd/daemon.h"

/**
 * DOC: One shard on this daemon, as its owner or as a candidate.
 *
 * Connects the state machines of ownership and of the shard to the store, the
 * workers and the callers. All functions run on the control loop.
 */

/** ho_create() - create a host that does not own its shard; NULL without memory
 */
struct shard_host *ho_create(struct daemon *d, const char *shard);
/** ho_tick() - run what is due in the shard, and the next store operation */
void ho_tick(struct shard_host *h, int64_t now_us);
/**
 * ho_owns() - whether this daemon owns the shard
 * @h: host
 * @epoch: epoch of the ownership; may be NULL
 */
bool ho_owns(const struct shard_host *h, uint64_t *epoch);
/** ho_load() - load of the owned shard, as heartbeats report it */
uint32_t ho_load(const struct shard_host *h);
/** ho_shard_id() - id of the shard */
const char *ho_shard_id(const struct shard_host *h);
/**
 * ho_handle_call() - handle a call to the shard
 * @h: host
 * @call: call
 * @deadline_us: time by which the caller wants the reply
 * @done: receives the reply, perhaps before ho_handle_call() returns
 * @arg: its argument
 */
void ho_handle_call(struct shard_host *h, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg);
/**
 * ho_on_config_changed() - take over a change of the configuration
 * @h: host
 * @shards_changed: the workers may be others; the shard is reloaded
 */
void ho_on_config_changed(struct shard_host *h, bool shards_changed);
/** ho_on_store_lease_lost() - the daemon's lease in the store has expired */
void ho_on_store_lease_lost(struct shard_host *h);
/** ho_begin_release() - give up ownership for good, before a shutdown */
void ho_begin_release(struct shard_host *h);
/** ho_is_idle() - whether this daemon does not own the shard */
bool ho_is_idle(const struct shard_host *h);

#endif
