#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/loop.h"

struct http_client;

enum hc_error {
	HC_OK,		  /* the complete response arrived */
	HC_NOT_CONNECTED, /* nothing was sent */
	HC_CUT_OFF,	  /* sent, but the response is incomplete */
	HC_TIMEOUT,	  /* sent, and the deadline passed */
};

struct hc_header {
	const char *name;
	const char *value;
};

/**
 * typedef hc_overdue_fn - called once when a request's response is overdue
 * @arg: the argument given to hc_send()
 */
typedef void (*hc_overdue_fn)(void *arg);

/**
 * struct hc_request - one request; all strings are copied
 * @method: GET, PUT, POST or DELETE
 * @url: absolute URL with a numeric IP address
 * @headers: extra headers, @header_count of them
 * @body: body, @body_bytes long; may be NULL
 * @deadline_us: deadline, on the clock of clk_now_us()
 * @arriving_until_us: as long as parts of the body arrive, the deadline is put
 *	off, to this time at most; 0 for never
 * @overdue_us: when to report that the response is overdue; 0 for never. The
 *	request goes on until @deadline_us
 * @overdue: called then; NULL if nobody has to know. Idle connections to the
 *	host that may be silent are not used any more in any case
 * @repeatable: the request may be sent again when its connection ends before
 *	the response begins; the response is then to the last copy, and tells
 *	nothing of the others. Set it for reads, and for writes of which
 *	neither a second copy nor its refusal matters. Without it, the request
 *	is handed to at most one connection and then ends with HC_CUT_OFF
 * @waits: the server answers once there is news, and another request for them
 *	does no harm. It ends with HC_TIMEOUT before its deadline when a later
 *	request to the host shows that open connections may be silent
 */
struct hc_request {
	const char *method;
	const char *url;
	const struct hc_header *headers;
	size_t header_count;
	const void *body;
	size_t body_bytes;
	int64_t deadline_us;
	int64_t arriving_until_us;
	int64_t overdue_us;
	hc_overdue_fn overdue;
	bool repeatable;
	bool waits;
};

/**
 * struct hc_response - response, or the reason why there is none
 * @error: HC_OK or why there is no complete response
 * @status: HTTP status; 0 unless HC_OK
 * @body: body, @body_bytes long, NUL-terminated
 * @sent_bytes: size of the request on the wire
 * @received_bytes: size of the response on the wire
 * @headers: response headers; read them with hc_header_value()
 * @sends: how many copies of the request may have been sent; above 1 only if it
 *	is repeatable, as the client library then sends it again by itself
 * @connects: how many of these connections were new
 */
struct hc_response {
	enum hc_error error;
	int status;
	const char *body;
	size_t body_bytes;
	size_t sent_bytes;
	size_t received_bytes;
	const char *headers;
	uint32_t sends;
	uint32_t connects;
};

/**
 * typedef hc_done_fn - called on the client's loop when a request ends
 * @resp: response, valid during the call
 * @arg: the argument given to hc_send()
 */
typedef void (*hc_done_fn)(const struct hc_response *resp, void *arg);

/**
 * hc_create() - create a client on an event loop
 * @ctx: talloc parent
 * @l: loop; all calls must come from its thread
 * @max_connections_per_host: cap on connections to one address; 0 for none
 *
 * Return: the client or NULL.
 */
struct http_client *hc_create(
    TALLOC_CTX *ctx, struct loop *l, long max_connections_per_host);

/**
 * hc_set_slow_time() - spare connections to slow hosts
 * @hc: client
 * @slow_us: after an overdue answer has come, further overdue ones are no reason
 *	to use other connections for so long; 0, as at first, for not at all
 */
void hc_set_slow_time(struct http_client *hc, int64_t slow_us);

/**
 * hc_send() - start a request
 * @hc: client
 * @req: request
 * @done: called exactly once
 * @arg: its argument
 */
void hc_send(struct http_client *hc, const struct hc_request *req,
    hc_done_fn done, void *arg);

/**
 * hc_header_value() - find a response header
 * @resp: response
 * @name: name without colon, case-insensitive
 * @value: result buffer
 * @value_bytes: its size
 *
 * Return: @value, or NULL when absent.
 */
const char *hc_header_value(const struct hc_response *resp, const char *name,
    char *value, size_t value_bytes);

#endif
