#ifndef TRANSPORT_KV_H
#define TRANSPORT_KV_H

#include <stddef.h>
#include <stdint.h>

#include "transport/http_client.h"

/**
 * DOC: The platform's key-value service.
 *
 * A table of functions, so that tests can supply another implementation.
 * Every call ends with exactly one callback.
 */

#define KV_MAX_VALUE_BYTES ((size_t)1 << 20)

enum kv_result {
	KV_OK,
	KV_ABSENT,
	KV_CONFLICT,
	KV_UNAVAILABLE, /* no response; a write may have taken effect */
};

enum kv_put_mode {
	KV_CREATE, /* only if absent */
	KV_CAS,	   /* only at a revision */
};

/**
 * struct kv_response - result of an operation
 * @result: success, or the kind of failure
 * @revision: revision of the value, or the one a watch has reached
 * @value: value read, @value_bytes long; a watch yields JSON changes
 * @lease: lease granted
 */
struct kv_response {
	enum kv_result result;
	uint64_t revision;
	const uint8_t *value;
	size_t value_bytes;
	uint64_t lease;
};

/**
 * typedef kv_done_fn - called once when an operation ends
 * @resp: response, valid during the call
 * @arg: the caller's argument
 */
typedef void (*kv_done_fn)(const struct kv_response *resp, void *arg);

/**
 * struct kv_put - a write
 * @key: key
 * @value: value
 * @value_bytes: size of @value, at most KV_MAX_VALUE_BYTES
 * @mode: condition
 * @if_revision: revision that the key must have, for KV_CAS
 * @lease: the key is deleted when this lease expires; 0 for none
 */
struct kv_put {
	const char *key;
	const uint8_t *value;
	size_t value_bytes;
	enum kv_put_mode mode;
	uint64_t if_revision;
	uint64_t lease;
};

/**
 * struct kv_ops - operations of a key-value service
 * @get: read a value
 * @put: write a value under a condition
 * @del: delete a key; @if_revision 0 deletes any revision
 * @lease_grant: a new lease of @ttl_us
 * @lease_renew: extend a lease; KV_ABSENT when it has expired
 * @watch: wait up to @wait_us for changes under @prefix after a revision
 */
struct kv_ops {
	void (*get)(void *kv, const char *key, kv_done_fn done, void *arg);
	void (*put)(
	    void *kv, const struct kv_put *put, kv_done_fn done, void *arg);
	void (*del)(void *kv, const char *key, uint64_t if_revision,
	    kv_done_fn done, void *arg);
	void (*lease_grant)(
	    void *kv, int64_t ttl_us, kv_done_fn done, void *arg);
	void (*lease_renew)(
	    void *kv, uint64_t lease, kv_done_fn done, void *arg);
	void (*watch)(void *kv, const char *prefix, uint64_t after,
	    int64_t wait_us, kv_done_fn done, void *arg);
};

extern const struct kv_ops kv_http_ops;

struct kv_http;

/**
 * kv_http_create() - a client of the service's HTTP interface
 * @ctx: talloc parent
 * @hc: HTTP client, which must outlive the result
 * @address: "IP:PORT"
 * @timeout_us: a call without a response after this time is KV_UNAVAILABLE
 *
 * Return: handle for kv_http_ops, or NULL when out of memory.
 */
struct kv_http *kv_http_create(TALLOC_CTX *ctx, struct http_client *hc,
    const char *address, int64_t timeout_us);

#endif
