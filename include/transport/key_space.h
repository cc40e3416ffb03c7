#ifndef TRANSPORT_KEY_SPACE_H
#define TRANSPORT_KEY_SPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: An ordered key space with transactions, leases and watches.
 *
 * A table of functions, so that the platform's store and stand-ins can be put
 * behind the same contract. Every call ends with exactly one callback, on the
 * loop that made it.
 */

/* Puts beside one condition. */
#define KS_MAX_PUTS 31

enum ks_result {
	KS_OK,
	KS_CONFLICT,  /* a condition does not hold; items show what is there */
	KS_NO_LEASE,  /* the lease has ended */
	KS_COMPACTED, /* that history is no longer kept */
	KS_REFUSED,   /* nothing was done, and nothing will be */
	KS_UNKNOWN, /* no answer; a write may have been, or may yet be, done */
};

/**
 * struct ks_item - a key, or the news of one
 * @value: NULL when @deleted
 * @revision: its last change
 * @created: its creation
 * @lease: lease that it ends with, or 0
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
 * struct ks_answer - result of a call; valid during the callback
 * @revision: of a write, or what a read or watch is as of
 * @item: items of a range, a watch or a conflict, @item_count of them
 * @more: further pages follow
 * @lease: lease granted
 */
struct ks_answer {
	enum ks_result result;
	uint64_t revision;
	const struct ks_item *item;
	size_t item_count;
	bool more;
	uint64_t lease;
};

typedef void (*ks_done_fn)(const struct ks_answer *a, void *arg);

/** struct ks_expect - a condition; revision 0 means that the key is absent */
struct ks_expect {
	const char *key;
	uint64_t revision;
};

struct ks_put {
	const char *key;
	const uint8_t *value;
	size_t value_bytes;
	uint64_t lease;
};

/** struct ks_txn - all of it is done, or nothing */
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
 * @txn: a write under conditions
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
