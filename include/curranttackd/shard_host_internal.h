#ifndef CURRANTTACKD_SHARD_HOST_INTERNAL_H
#define CURRANTTACKD_SHARD_HOST_INTERNAL_H

#include "curranttackd/shard_host.h"
#include "common/clock.h"
#include "state/shard.h"

/* A token of the commit budget, as time that one token a second needs. */
#define HO_TOKEN_US CLK_US_PER_S

/** enum waiter_kind - what a call waits for */
enum waiter_kind {
	HO_WAIT_ACCEPTED,
	HO_WAIT_ENDED,
	HO_WAIT_CLAIM_GRANTED,
	HO_WAIT_CLAIM_ENDED,
	HO_WAIT_DURABLE,
};

/** struct waiter - a call that is answered later */
struct waiter {
	enum waiter_kind kind;
	char *name;
	uint64_t durable_at;
	int64_t deadline_us;
	call_done_fn done;
	void *arg;
	struct waiter *prev;
	struct waiter *next;
};

/** struct worker_link - what the driver keeps per worker */
struct worker_link {
	struct shard_host *host;
	uint32_t row;
	uint64_t news;
	bool polling;
	int64_t poll_at_us;
};

struct shard_host {
	struct daemon *d;
	char id[MB_NAME_BYTES];
	pthread_mutex_t lock;
	struct ow_fsm ow;
	struct sh_shard *sh;
	uint64_t generation;
	struct worker_link *link;
	struct waiter *waiters;
	uint8_t *batch;
	size_t batch_bytes;
	uint64_t batch_number;
	int64_t tokens_us;
	int64_t tokens_at_us;
	uint32_t entries;
	uint8_t **part;
	size_t *part_bytes;
	struct ow_op op;
	uint32_t store_failures;
	int64_t check_at_us;
	bool restart;
	bool releasing;
};

/** ho_config() - the shard as configured, or NULL */
const struct cf_shard *ho_config(const struct shard_host *h);

/* shard_calls.c */

/** ho_serve_waiters() - answer calls that can be answered or are late */
void ho_serve_waiters(struct shard_host *h, int64_t now_us);
/** ho_drop_waiters() - answer all calls: the shard is no longer ours */
void ho_drop_waiters(struct shard_host *h);

/* shard_store.c */

/** ho_store_step() - start the next store operation, if any */
void ho_store_step(struct shard_host *h, int64_t now_us);

/* shard_workers.c */

/** ho_send_sync() - send the message that is due to a worker */
void ho_send_sync(struct shard_host *h, uint32_t w, int64_t now_us);
/** ho_poll_worker() - wait for news of a worker */
void ho_poll_worker(struct shard_host *h, uint32_t w, int64_t now_us);

/* shard_host.c */

/** ho_apply_quotas() - take quotas and policy from the configuration */
void ho_apply_quotas(struct shard_host *h);
/** ho_reset() - forget what was replayed and begin with an empty shard */
void ho_reset(struct shard_host *h);
/** ho_replay() - replay a value of the log or snapshot */
void ho_replay(struct shard_host *h, const struct kv_answer *a);
/** ho_activate() - the log is sealed: begin to decide */
void ho_activate(struct shard_host *h, int64_t now_us);
/** ho_fenced() - somebody else owns the shard */
void ho_fenced(struct shard_host *h);

#endif
