#ifndef CURRANTTACKD_SHARD_HOST_H
#define CURRANTTACKD_SHARD_HOST_H

#include "coordination/ownership.h"
#include "curranttackd/calls.h"
#include "curranttackd/daemon.h"

/** ho_create() - drives one configured shard; owns nothing yet */
struct shard_host *ho_create(struct daemon *d, const char *shard);
/** ho_tick() - step everything; control loop */
void ho_tick(struct shard_host *h, int64_t now_us);
/** ho_owns() - whether the shard is ours */
bool ho_owns(const struct shard_host *h, uint64_t *epoch);
/** ho_load() - load of a shard that we own, as heartbeats carry it */
uint32_t ho_load(const struct shard_host *h);
/** ho_shard_id() - shard id */
const char *ho_shard_id(const struct shard_host *h);
/** ho_call() - handle a call on the shard that we own */
void ho_call(struct shard_host *h, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg);
/** ho_config_changed() - the configuration has changed */
void ho_config_changed(struct shard_host *h, bool shards_changed);
/** ho_lease_lost() - the daemon's store lease has lapsed */
void ho_lease_lost(struct shard_host *h);
/** ho_release() - hand the shard over; planned exit */
void ho_release(struct shard_host *h);
/** ho_idle() - nothing is owned or under way any more */
bool ho_idle(const struct shard_host *h);

#endif
