#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_calls_internal.h"

#define CC_RETRY_AFTER "1"
/* A store that has been silent for this long is taken to be away. */
#define CC_STORE_AWAY_US (3 * CLK_US_PER_S)

void
cc_respond(
    struct cc_frontend *f, struct hs_request *req, int status, const char *body)
{
	struct hs_header retry = {"Retry-After",
	    status == 503 || status == 429 ? CC_RETRY_AFTER : NULL};

	f->pending_count--;
	hs_respond(
	    req, status, "application/json", body, strlen(body), &retry, 1);
}

void
cc_respond_error(struct cc_frontend *f, struct hs_request *req, int status,
    const char *reason)
{
	char *body = talloc_asprintf(f, "{\"error\":\"%s\"}", reason);

	cc_respond(f, req, status, body);
	talloc_free(body);
}

/* One line for a request that is decided without a write. */
void
cc_log_unwritten(
    const char *event, const char *id, int status, const char *reason)
{
	lg_event(status >= 500 ? LG_WARN : LG_INFO, "callers", event, "job", id,
	    "status", lg_i64(status), "attempts", "0", "reason", reason, NULL);
}

/* The store has been silent for so long that a write would not succeed. */
bool
cc_store_is_unreachable(const struct cell *c)
{
	return clk_now_us() - c->store_answered_us > CC_STORE_AWAY_US;
}

/* What would have to wait for the store is refused from now on. */
bool
cc_is_ending(const struct cell *c)
{
	return c->draining && dr_is_overdue(&c->drain, clk_now_us());
}

/* Not ready without the store, so that new connections go to other daemons. */
bool
cc_is_ready(const struct cell *c)
{
	return !c->draining && c->replica->synced &&
	    c->replica->config != NULL &&
	    clk_now_us() - c->store_answered_us < CC_STORE_AWAY_US;
}
