#ifndef TRANSPORT_KEY_SPACE_H
#define TRANSPORT_KEY_SPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: An ordered key space with transactions, leases and watches.
 *
 * A table of functions, implemented by the platform's store and by test doubles.
 * Every call ends with exactly one callback, on the loop that made it.
 */

/* Puts that fit into a transaction with one condition. */
#define KS_MAX_PUTS 31

enum ks_result {
	KS_OK,
	KS_CONFLICT,  /* a condition failed; items show the current state */
	KS_NO_LEASE,  /* the lease has expired or was ended */
	KS_COMPACTED, /* the revision has been compacted */
	KS_REFUSED,   /* rejected; nothing was or will be written */
	KS_UNKNOWN,   /* no response; a write may still take effect */
};

/**
 * struct ks_item - a key and its value, or a change of it
 * @value: NULL when @deleted
 * @revision: revision of the last change
 * @created: revision at which the key was created
 * @lease: the key is removed when this lease ends; 0 for none
 */
struct ks_item {
	const char *key;
	const uint8_t *value;
	size_t value_bytes;
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
	bool deleted;
};

/**
 * struct ks_response - result of an operation
 * @revision: revision of the write, or at which a read or watch was served
 * @item: items of a range, a watch or a conflict, @item_count of them
 * @more: whether further pages follow
 * @lease: the lease that was granted
 * @sends: how often the request was sent; above 1, again by the layer below
 */
struct ks_response {
	enum ks_result result;
	uint64_t revision;
	const struct ks_item *item;
	size_t item_count;
	bool more;
	uint64_t lease;
	uint32_t sends;
};

/**
 * typedef ks_done_fn - called once when an operation ends
 * @resp: response, valid during the call
 * @arg: the caller's argument
 */
typedef void (*ks_done_fn)(const struct ks_response *resp, void *arg);

/** struct ks_expect - a condition; revision 0 requires the key to be absent */
struct ks_expect {
	const char *key;
	uint64_t revision;
};

/** struct ks_put - a key to write; it is removed with @lease unless that is 0 */
struct ks_put {
	const char *key;
	const uint8_t *value;
	size_t value_bytes;
	uint64_t lease;
};

/**
 * struct ks_txn - an atomic transaction: applied as a whole, or not at all
 * @expect: conditions, all of which must hold
 * @put: keys to write
 * @remove: keys to remove
 */
struct ks_txn {
	const struct ks_expect *expect;
	size_t expect_count;
	const struct ks_put *put;
	size_t put_count;
	const char *const *remove;
	size_t remove_count;
};

/**
 * struct ks_ops - operations of a key space
 * @range: a page of items under @prefix, after key @after unless NULL
 * @watch: changes under @prefix after @revision, waiting up to @wait_ms
 * @txn: an atomic write under conditions
 * @lease_grant: a new lease of @ttl_ms
 * @lease_renew: extend a lease
 * @lease_end: end a lease and remove its keys
 */
struct ks_ops {
	void (*range)(void *ks, const char *prefix, const char *after,
	    ks_done_fn done, void *arg);
	void (*watch)(void *ks, const char *prefix, uint64_t revision,
	    uint32_t wait_ms, ks_done_fn done, void *arg);
	void (*txn)(
	    void *ks, const struct ks_txn *txn, ks_done_fn done, void *arg);
	void (*lease_grant)(
	    void *ks, uint32_t ttl_ms, ks_done_fn done, void *arg);
	void (*lease_renew)(
	    void *ks, uint64_t lease, ks_done_fn done, void *arg);
	void (*lease_end)(void *ks, uint64_t lease, ks_done_fn done, void *arg);
};

#endif
