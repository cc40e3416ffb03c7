#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "transport/kv.h"

#define KV_URL_BYTES 512
/* Part of its time after which a call is overdue. */
#define KV_OVERDUE_PART 4

struct kv_http {
	struct http_client *hc;
	char *address;
	int64_t timeout_us;
};

struct kv_call {
	kv_done_fn done;
	void *arg;
};

static enum kv_result
kv_map_status(const struct hc_response *resp)
{
	if (resp->error != HC_OK)
		return KV_UNAVAILABLE;
	switch (resp->status) {
	case 200:
		return KV_OK;
	case 404:
		return KV_ABSENT;
	case 409:
		return KV_CONFLICT;
	default:
		return KV_UNAVAILABLE;
	}
}

static void
kv_on_response(const struct hc_response *resp, void *arg)
{
	struct kv_call *call = arg;
	struct kv_response r = {0};
	char text[32];

	r.result = kv_map_status(resp);
	r.value = (const uint8_t *)resp->body;
	r.value_bytes = resp->body_bytes;
	if (hc_header_value(resp, "X-Revision", text, sizeof(text)) != NULL)
		r.revision = strtoull(text, NULL, 10);
	if (hc_header_value(resp, "X-Lease", text, sizeof(text)) != NULL)
		r.lease = strtoull(text, NULL, 10);
	if (r.result == KV_UNAVAILABLE)
		ct_add(CT_STORE_ERRORS, 1);
	call->done(&r, call->arg);
	talloc_free(call);
}

static void
kv_send(struct kv_http *kv, const char *method, const char *path,
    const void *body, size_t body_bytes, int64_t wait_us, kv_done_fn done,
    void *arg)
{
	struct hc_request req = {0};
	struct kv_call *call;
	char url[KV_URL_BYTES];

	snprintf(url, sizeof(url), "http://%s%s", kv->address, path);
	call = talloc_zero(kv, struct kv_call);
	if (call == NULL)
		abort();
	call->done = done;
	call->arg = arg;
	req.method = method;
	req.url = url;
	req.body = body;
	req.body_bytes = body_bytes;
	req.deadline_us = clk_now_us() + kv->timeout_us + wait_us;
	/* The refusal of a second copy of a write would hide the first one. */
	req.repeatable = strcmp(method, "GET") == 0;
	req.waits = wait_us > 0;
	if (!req.waits)
		req.overdue_us =
		    clk_now_us() + kv->timeout_us / KV_OVERDUE_PART;
	hc_send(kv->hc, &req, kv_on_response, call);
}

static void
kv_http_get(void *kv, const char *key, kv_done_fn done, void *arg)
{
	char path[KV_URL_BYTES];

	ct_add(CT_STORE_READS, 1);
	snprintf(path, sizeof(path), "/v1/kv/%s", key);
	kv_send(kv, "GET", path, NULL, 0, 0, done, arg);
}

static void
kv_http_put(void *kv, const struct kv_put *put, kv_done_fn done, void *arg)
{
	char path[KV_URL_BYTES];
	int n;

	ct_add(CT_STORE_WRITES, 1);
	if (put->mode == KV_CREATE)
		n = snprintf(
		    path, sizeof(path), "/v1/kv/%s?create=1", put->key);
	else
		n = snprintf(path, sizeof(path),
		    "/v1/kv/%s?if_revision=%" PRIu64, put->key,
		    put->if_revision);
	if (put->lease != 0)
		snprintf(path + n, sizeof(path) - (size_t)n, "&lease=%" PRIu64,
		    put->lease);
	kv_send(kv, "PUT", path, put->value, put->value_bytes, 0, done, arg);
}

static void
kv_http_del(
    void *kv, const char *key, uint64_t if_revision, kv_done_fn done, void *arg)
{
	char path[KV_URL_BYTES];

	ct_add(CT_STORE_WRITES, 1);
	if (if_revision != 0)
		snprintf(path, sizeof(path), "/v1/kv/%s?if_revision=%" PRIu64,
		    key, if_revision);
	else
		snprintf(path, sizeof(path), "/v1/kv/%s", key);
	kv_send(kv, "DELETE", path, NULL, 0, 0, done, arg);
}

static void
kv_http_lease_grant(void *kv, int64_t ttl_us, kv_done_fn done, void *arg)
{
	char path[KV_URL_BYTES];

	ct_add(CT_STORE_WRITES, 1);
	snprintf(path, sizeof(path), "/v1/leases?ttl_ms=%" PRId64,
	    ttl_us / CLK_US_PER_MS);
	kv_send(kv, "POST", path, NULL, 0, 0, done, arg);
}

static void
kv_http_lease_renew(void *kv, uint64_t lease, kv_done_fn done, void *arg)
{
	char path[KV_URL_BYTES];

	ct_add(CT_STORE_WRITES, 1);
	snprintf(path, sizeof(path), "/v1/leases/%" PRIu64, lease);
	kv_send(kv, "POST", path, NULL, 0, 0, done, arg);
}

static void
kv_http_watch(void *kv, const char *prefix, uint64_t after, int64_t wait_us,
    kv_done_fn done, void *arg)
{
	char path[KV_URL_BYTES];

	ct_add(CT_STORE_READS, 1);
	snprintf(path, sizeof(path),
	    "/v1/watch?prefix=%s&after=%" PRIu64 "&wait_ms=%" PRId64, prefix,
	    after, wait_us / CLK_US_PER_MS);
	kv_send(kv, "GET", path, NULL, 0, wait_us, done, arg);
}

const struct kv_ops kv_http_ops = {
    .get = kv_http_get,
    .put = kv_http_put,
    .del = kv_http_del,
    .lease_grant = kv_http_lease_grant,
    .lease_renew = kv_http_lease_renew,
    .watch = kv_http_watch,
};

struct kv_http *
kv_http_create(TALLOC_CTX *ctx, struct http_client *hc, const char *address,
    int64_t timeout_us)
{
	struct kv_http *kv;

	kv = talloc_zero(ctx, struct kv_http);
	if (kv == NULL)
		return NULL;
	kv->hc = hc;
	kv->address = talloc_strdup(kv, address);
	kv->timeout_us = timeout_us;
	return kv;
}
