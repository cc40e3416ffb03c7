#ifndef CURRANTTACKD_SHARD_HOST_INTERNAL_H
#define CURRANTTACKD_SHARD_HOST_INTERNAL_H

#include <jansson.h>

#include "curranttackd/shard_host.h"
#include "common/clock.h"
#include "state/shard.h"

/*
 * Shared by the files of a shard's host. Lowest first: shard_waiters (calls that
 * wait for their reply), shard_state (the shard's state on this daemon),
 * shard_store (what is read from the store and written to it), shard_workers
 * (calls of workers), shard_host (what is due), shard_calls (calls of other
 * daemons).
 */

/*
 * The budget of store writes is a token bucket: each microsecond adds
 * commits_per_s units, and a write costs this many.
 */
#define HO_WRITE_COST CLK_US_PER_S

/** enum waiter_kind - what a call waits for */
enum waiter_kind {
	HO_WAIT_JOB_DURABLE,   /* a job's acceptance or cancellation */
	HO_WAIT_JOB_ENDED,     /* the end of all tasks of a job */
	HO_WAIT_CLAIM_GRANTED, /* a claim on an idempotency key is durable */
	HO_WAIT_CLAIM_ENDED, /* the response of the first request with a key */
	HO_WAIT_RECORD_DURABLE, /* a log record */
};

/**
 * struct waiter - a call whose reply is still to be sent
 * @kind: what it waits for
 * @name: job id or idempotency key
 * @durable_at: number of the log record that must be durable
 * @deadline_us: replied to by then in any case
 * @done: receives the reply
 * @arg: its argument
 */
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

/**
 * struct worker_poll - long poll for the events of one worker
 * @host: host of the shard
 * @worker: index of the worker in the shard
 * @event_seq: events up to here have been received
 * @poll_in_flight: a poll is in flight
 * @poll_retry_at_us: no poll before this time
 */
struct worker_poll {
	struct shard_host *host;
	uint32_t worker;
	uint64_t event_seq;
	bool poll_in_flight;
	int64_t poll_retry_at_us;
};

/**
 * struct shard_host - one shard on this daemon
 * @d: daemon
 * @id: shard id
 * @lock: held while the shard changes
 * @ownership: state machine of the ownership
 * @shard: state of the shard, or NULL while it is not loaded
 * @generation: changes when @shard is freed or replaced; a response of a
 *	worker to a request of another generation is ignored
 * @worker_poll: one per worker
 * @waiters: calls that wait for their reply
 * @batch: log entry that is being appended, @batch_bytes long
 * @batch_last_record: number of the last record in @batch
 * @commit_budget: budget of store writes, in units of 1 / HO_WRITE_COST
 * @commit_budget_updated_us: when it was computed
 * @log_entries_since_snapshot: log entries that a recovery must replay
 * @snapshot_part: values of the snapshot that is being written
 * @snapshot_part_bytes: their sizes
 * @store_op: store operation in flight
 * @store_failures: store operations without a response, in a row
 * @invariants_check_at_us: when to check the invariants next
 * @reload_wanted: release the shard and recover it with the new workers
 * @release_wanted: release the shard for good
 */
struct shard_host {
	struct daemon *d;
	char id[MB_NAME_BYTES];
	pthread_mutex_t lock;
	struct ow_fsm ownership;
	struct sh_shard *shard;
	uint64_t generation;
	struct worker_poll *worker_poll;
	struct waiter *waiters;
	uint8_t *batch;
	size_t batch_bytes;
	uint64_t batch_last_record;
	int64_t commit_budget;
	int64_t commit_budget_updated_us;
	uint32_t log_entries_since_snapshot;
	uint8_t **snapshot_part;
	size_t *snapshot_part_bytes;
	struct ow_op store_op;
	uint32_t store_failures;
	int64_t invariants_check_at_us;
	bool reload_wanted;
	bool release_wanted;
};

/* shard_waiters.c */

/**
 * ho_add_waiter() - reply to a call later
 * @h: host
 * @kind: what the call waits for
 * @name: job id or idempotency key; copied
 * @durable_at: number of the log record that must be durable, if any
 * @deadline_us: reply by then in any case
 * @done: receives the reply
 * @arg: its argument
 */
void ho_add_waiter(struct shard_host *h, enum waiter_kind kind,
    const char *name, uint64_t durable_at, int64_t deadline_us,
    call_done_fn done, void *arg);
/** ho_init_json_reply() - a reply with an allocated body; consumes @value */
void ho_init_json_reply(Currant__Reply *reply, enum st_outcome outcome,
    uint32_t status, json_t *value);
/** ho_answer_waiters() - reply to calls that are complete or timed out */
void ho_answer_waiters(struct shard_host *h, int64_t now_us);
/** ho_fail_waiters() - reply to all waiting calls that the owner has changed */
void ho_fail_waiters(struct shard_host *h);

/* shard_state.c */

/** ho_find_config() - the shard's configuration, or NULL without any */
const struct cf_shard *ho_find_config(const struct shard_host *h);
/** ho_apply_quotas() - pass quotas and policy of the configuration on */
void ho_apply_quotas(struct shard_host *h);
/** ho_reset() - replace the shard's state by an empty one, before a replay */
void ho_reset(struct shard_host *h);
/**
 * ho_replay() - replay one value of the log or the snapshot
 * @h: host
 * @a: value read from the store
 *
 * Aborts the process when the value cannot be decoded.
 */
void ho_replay(struct shard_host *h, const struct kv_response *a);
/** ho_activate() - become active, once the log has been sealed */
void ho_activate(struct shard_host *h, int64_t now_us);
/** ho_on_fenced() - another daemon has taken the shard; discard its state */
void ho_on_fenced(struct shard_host *h);

/* shard_store.c */

/**
 * ho_start_store_op() - start the next store operation, if any is due
 * @h: host
 * @on_response: called with the response and @h, without the host's lock; it
 *	passes the response to ho_on_store_result()
 * @now_us: time
 */
void ho_start_store_op(
    struct shard_host *h, kv_done_fn on_response, int64_t now_us);
/** ho_on_store_result() - take over the response to the store operation */
void ho_on_store_result(
    struct shard_host *h, const struct kv_response *a, int64_t now_us);

/* shard_workers.c */

/** ho_send_sync() - send a worker its orders and the renewal of its lease */
void ho_send_sync(struct shard_host *h, uint32_t w, int64_t now_us);
/** ho_poll_worker_events() - start a long poll for outcomes on a worker */
void ho_poll_worker_events(struct shard_host *h, uint32_t w, int64_t now_us);

#endif
