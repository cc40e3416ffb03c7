#ifndef COORDINATION_OWNERSHIP_H
#define COORDINATION_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Ownership of a shard, fenced in the platform's store.
 *
 * A state machine without I/O: ow_next_op() returns the store operation to
 * start, ow_on_response() takes its result. At most one operation is in
 * flight. A candidate acquires the lease key, raises the epoch in the shard's
 * head by compare-and-swap, replays snapshot and log, and seals the log by
 * creating the next entry itself, so that a late append of the earlier owner
 * fails. The driver keeps the values that are read and written; the state
 * machine sees only what identifies them.
 */

#define OW_NAME_BYTES 64

/** enum ow_key - kinds of a shard's values in the store */
enum ow_key {
	OW_KEY_LEASE,
	OW_KEY_HEAD,
	OW_KEY_LOG,
	OW_KEY_SNAPSHOT,
};

/** enum ow_op_kind - kinds of store operations */
enum ow_op_kind {
	OW_GET,
	OW_CREATE, /* fails when the key exists */
	OW_CAS,	   /* writes only over the expected revision */
	OW_DELETE,
};

/**
 * struct ow_head - value of a shard's head
 * @owner: VM id of the owner
 * @epoch: increases with each takeover
 * @writer: random id of the owning process
 * @nonce: identifies this write among those of @writer
 * @snapshot_seq: last log entry that the snapshot contains; 0 for none
 * @snapshot_epoch: epoch that wrote the snapshot
 * @snapshot_parts: number of values that make up the snapshot
 * @trimmed_seq: last log entry that has been deleted
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
 * @key: which kind of value
 * @seq: number of the log entry, or of the last entry in the snapshot
 * @epoch: epoch that wrote the snapshot
 * @part: part of the snapshot, from 0
 * @if_revision: expected revision, for OW_CAS and OW_DELETE
 * @head: value to write to OW_KEY_HEAD
 * @nonce: nonce of the log entry to create
 * @seal: the log entry to create is the seal, not the driver's batch
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

/** enum ow_result - result of a store operation */
enum ow_result {
	OW_OK,
	OW_ABSENT,	/* there is no such key */
	OW_CONFLICT,	/* the condition of a write does not hold */
	OW_UNAVAILABLE, /* no response; a write may have taken effect */
};

/**
 * struct ow_response - response to the operation in flight
 * @result: result
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

/** enum ow_state - operation that is in flight or to be started next */
enum ow_state {
	OW_IDLE, /* not the owner, no operation */
	OW_READ_LEASE,
	OW_READ_HEAD,
	OW_ACQUIRE_LEASE,
	OW_WRITE_HEAD,
	OW_CHECK_HEAD, /* did the unanswered write take effect? */
	OW_READ_SNAPSHOT,
	OW_READ_LOG,
	OW_WRITE_SEAL,
	OW_CHECK_SEAL,
	OW_READY, /* the owner, no operation; only owners have later states */
	OW_APPEND,
	OW_CHECK_APPEND,
	OW_VERIFY_APPEND, /* read the head before an append is reported */
	OW_VERIFY,	  /* read the head */
	OW_RECREATE_LEASE_KEY,
	OW_WRITE_SNAPSHOT_PARTS,
	OW_WRITE_SNAPSHOT_HEAD,
	OW_CHECK_SNAPSHOT_HEAD,
	OW_TRIM_LOG,
	OW_TRIM_SNAPSHOT,
	OW_RELEASE,
};

/** enum ow_event - what the driver has to do after a response */
enum ow_event {
	OW_EV_NONE,
	OW_EV_RESET,	 /* discard the replayed state */
	OW_EV_REPLAY,	 /* replay the value just read */
	OW_EV_ACTIVE,	 /* the log is sealed: this process owns the shard */
	OW_EV_COMMITTED, /* the append is durable */
	OW_EV_SNAPSHOT,	 /* the head refers to the new snapshot */
	OW_EV_FENCED,	 /* another process owns the shard */
	OW_EV_RELEASED,	 /* the lease key is deleted: others may take over */
};

/**
 * struct ow_fsm - ownership of one shard, as one process sees it
 * @vm: VM id of this process
 * @writer: random id of this process
 * @state: current state
 * @in_flight: the operation of @state has been started
 * @head: head as last read; its snapshot fields are kept up to date
 * @head_revision: its revision
 * @head_exists: the store has a head
 * @previous_owner: owner before this process; empty for none
 * @previous_writer: id of that process
 * @lease_held: the lease key is ours
 * @lease_revision: its revision
 * @epoch: epoch of this process's ownership
 * @next_nonce: nonce for the next write
 * @nonce: nonce of the write in progress
 * @next_seq: log entry to read or create next
 * @part: snapshot part to read or write next
 * @seal_seq: log entry that is our seal
 * @sealed_at_us: when it was written
 * @append_sent_us: when the append in progress began
 * @sent_us: when the operation in flight was started
 * @verified_us: ownership is proven up to this time
 * @retry_at_us: no operation before this time, after failures
 * @poll_at_us: no attempt to create the lease key before this time
 * @failures: operations in a row without a response
 * @lease_lost: the store lease expired, and the lease key with it
 * @verify_requested: see ow_request_verify()
 * @release_requested: see ow_request_release()
 * @snapshot_parts: number of parts of the snapshot being written
 * @old_snapshot_seq: last entry of the replaced snapshot, still to be deleted
 * @old_snapshot_epoch: epoch that wrote it
 * @old_snapshot_parts: number of its parts that are left
 * @trim_seq: log entry to delete next
 */
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
 * ow_init() - initialize a state machine that owns nothing
 * @m: state machine
 * @vm: VM id of this process
 * @writer: random id of this process
 */
void ow_init(struct ow_fsm *m, const char *vm, uint64_t writer);

/**
 * ow_next_op() - get the store operation to start now
 * @m: state machine
 * @now_us: current time
 * @eligible: this process may take over the shard
 * @trim: old log entries and snapshots may be deleted now
 * @op: receives the operation
 *
 * Return: true when @op is to be started; its result must be passed to
 * ow_on_response().
 */
bool ow_next_op(struct ow_fsm *m, int64_t now_us, bool eligible, bool trim,
    struct ow_op *op);

/**
 * ow_on_response() - process the result of the operation in flight
 * @m: state machine
 * @r: response
 * @now_us: current time
 *
 * Return: what the driver has to do.
 */
enum ow_event ow_on_response(
    struct ow_fsm *m, const struct ow_response *r, int64_t now_us);

/** ow_is_active() - whether this process owns the shard, as far as it knows */
bool ow_is_active(const struct ow_fsm *m);

/**
 * ow_begin_append() - begin to append the driver's batch as the next log entry
 * @m: state machine
 * @now_us: current time
 *
 * OW_EV_COMMITTED tells when the batch is durable.
 *
 * Return: nonce to put into the batch; 0 when an append can't begin now.
 */
uint64_t ow_begin_append(struct ow_fsm *m, int64_t now_us);

/**
 * ow_begin_snapshot() - begin to write the driver's snapshot
 * @m: state machine
 * @parts: number of its values
 *
 * OW_EV_SNAPSHOT tells when it has replaced the earlier one.
 *
 * Return: false when a snapshot can't begin now.
 */
bool ow_begin_snapshot(struct ow_fsm *m, uint32_t parts);

/** ow_on_lease_lost() - the store lease expired: create its key again */
void ow_on_lease_lost(struct ow_fsm *m);
/** ow_request_verify() - a higher epoch was seen: read the head to check it */
void ow_request_verify(struct ow_fsm *m);
/** ow_request_release() - release the shard once no operation is in progress */
void ow_request_release(struct ow_fsm *m);

#endif
