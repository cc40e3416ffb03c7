#ifndef COORDINATION_OWNERSHIP_H
#define COORDINATION_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Ownership of a shard, fenced in the platform's store.
 *
 * Pure state machine: ow_next_op() names the next store operation,
 * ow_on_response() takes its result. At most one operation is in flight. A
 * candidate takes
 * the lease key, raises the epoch in the head by compare-and-swap, reads
 * snapshot and log, and seals the log by creating the next entry itself, so
 * that a late append of the earlier owner fails. The driver keeps the values;
 * the machine sees only what identifies them.
 */

#define OW_NAME_BYTES 64

enum ow_key {
	OW_KEY_LEASE,
	OW_KEY_HEAD,
	OW_KEY_LOG,
	OW_KEY_SNAPSHOT,
};

enum ow_op_kind {
	OW_GET,
	OW_CREATE,
	OW_CAS,
	OW_DELETE,
};

/**
 * struct ow_head - value of a shard's head
 * @owner: VM of the owner
 * @epoch: grows with each takeover
 * @writer: random id of the owning process
 * @nonce: random id of this write
 * @snapshot_seq: log entries up to here are in the snapshot; 0 for none
 * @snapshot_epoch: epoch that wrote the snapshot
 * @snapshot_parts: number of its values
 * @trimmed_seq: log entries up to here are deleted
 */
struct ow_head {
	char owner[OW_NAME_BYTES];
	uint64_t epoch;
	uint64_t writer;
	uint64_t nonce;
	uint64_t snapshot_seq;
	uint64_t snapshot_epoch;
	uint32_t snapshot_parts;
	uint64_t trimmed_seq;
};

/**
 * struct ow_op - one store operation
 * @kind: what to do
 * @key: which value
 * @seq: log entry, or the entry a snapshot covers
 * @epoch: epoch of a snapshot
 * @part: part of a snapshot
 * @if_revision: for OW_CAS and OW_DELETE
 * @head: value for OW_KEY_HEAD
 * @nonce: identifies the log entry to create
 * @seal: the log entry to create is the seal
 */
struct ow_op {
	enum ow_op_kind kind;
	enum ow_key key;
	uint64_t seq;
	uint64_t epoch;
	uint32_t part;
	uint64_t if_revision;
	struct ow_head head;
	uint64_t nonce;
	bool seal;
};

enum ow_result {
	OW_OK,
	OW_ABSENT,
	OW_CONFLICT,
	OW_UNAVAILABLE, /* no answer; a write may have taken effect */
};

/**
 * struct ow_response - result of the operation in flight
 * @result: how it went
 * @revision: revision of the value read or written
 * @head: value read from OW_KEY_HEAD
 * @writer: writer of the lease or log entry read
 * @nonce: nonce of the log entry read
 */
struct ow_response {
	enum ow_result result;
	uint64_t revision;
	struct ow_head head;
	uint64_t writer;
	uint64_t nonce;
};

enum ow_state {
	OW_IDLE,
	OW_READ_LEASE,
	OW_READ_HEAD,
	OW_ACQUIRE_LEASE,
	OW_WRITE_HEAD,
	OW_CHECK_HEAD,
	OW_READ_SNAPSHOT,
	OW_READ_LOG,
	OW_WRITE_SEAL,
	OW_CHECK_SEAL,
	OW_READY, /* active, no operation */
	OW_APPEND,
	OW_CHECK_APPEND,
	OW_VERIFY_APPEND,
	OW_VERIFY,
	OW_RECREATE_LEASE_KEY,
	OW_WRITE_SNAPSHOT_PARTS,
	OW_WRITE_SNAPSHOT_HEAD,
	OW_CHECK_SNAPSHOT_HEAD,
	OW_TRIM_LOG,
	OW_TRIM_SNAPSHOT,
	OW_RELEASE,
};

enum ow_event {
	OW_EV_NONE,
	OW_EV_RESET,	 /* forget what was replayed */
	OW_EV_REPLAY,	 /* replay the value just read */
	OW_EV_ACTIVE,	 /* sealed: the shard is ours */
	OW_EV_COMMITTED, /* the append is durable */
	OW_EV_SNAPSHOT,	 /* the snapshot is in force */
	OW_EV_FENCED,	 /* somebody else owns the shard */
	OW_EV_RELEASED,	 /* handed over */
};

struct ow_fsm {
	char vm[OW_NAME_BYTES];
	uint64_t writer;
	enum ow_state state;
	bool in_flight;
	struct ow_head head;
	uint64_t head_revision;
	bool head_exists;
	char previous_owner[OW_NAME_BYTES];
	uint64_t previous_writer;
	bool lease_held;
	uint64_t lease_revision;
	uint64_t epoch;
	uint64_t next_nonce;
	uint64_t nonce;
	uint64_t next_seq;
	uint32_t part;
	uint64_t seal_seq;
	int64_t sealed_at_us;
	int64_t append_sent_us;
	int64_t sent_us;
	int64_t verified_us;
	int64_t retry_at_us;
	int64_t poll_at_us;
	uint32_t failures;
	bool lease_lost;
	bool verify_requested;
	bool release_requested;
	uint32_t snapshot_parts;
	uint64_t old_snapshot_seq;
	uint64_t old_snapshot_epoch;
	uint32_t old_snapshot_parts;
	uint64_t trim_seq;
};

/**
 * ow_init() - a machine that owns nothing
 * @m: machine
 * @vm: this VM
 * @writer: random id of this process
 */
void ow_init(struct ow_fsm *m, const char *vm, uint64_t writer);

/**
 * ow_next_op() - the store operation to start now
 * @m: machine
 * @now_us: time
 * @eligible: this daemon may take the shard
 * @trim: there is budget for deletions
 * @op: result
 *
 * Return: false when there is nothing to do now.
 */
bool ow_next_op(struct ow_fsm *m, int64_t now_us, bool eligible, bool trim,
    struct ow_op *op);

/**
 * ow_on_response() - take the result of the operation in flight
 * @m: machine
 * @a: result
 * @now_us: time
 *
 * Return: what the driver has to do.
 */
enum ow_event ow_on_response(
    struct ow_fsm *m, const struct ow_response *a, int64_t now_us);

/** ow_is_active() - whether the shard is ours */
bool ow_is_active(const struct ow_fsm *m);

/**
 * ow_begin_append() - begin to append the driver's batch as the next log entry
 * @m: machine in OW_READY
 *
 * Return: the nonce to put into the batch, or 0 when not ready.
 */
uint64_t ow_begin_append(struct ow_fsm *m, int64_t now_us);

/**
 * ow_begin_snapshot() - begin to write the driver's snapshot
 * @m: machine in OW_READY
 * @parts: number of its values
 *
 * Return: false when not ready.
 */
bool ow_begin_snapshot(struct ow_fsm *m, uint32_t parts);

/** ow_on_lease_lost() - the store lease has lapsed; take the key again */
void ow_on_lease_lost(struct ow_fsm *m);
/** ow_request_verify() - somebody claims a higher epoch; look into the store */
void ow_request_verify(struct ow_fsm *m);
/** ow_request_release() - hand the shard over when idle */
void ow_request_release(struct ow_fsm *m);

#endif
