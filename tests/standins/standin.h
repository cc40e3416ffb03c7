#ifndef TESTS_STANDIN_H
#define TESTS_STANDIN_H

#include <jansson.h>

#include "transport/http_server.h"

/**
 * standin_serve() - listen on a free loopback port
 * @l: loop
 * @address: bound "IP:PORT", 64 bytes
 * @handler: request handler
 * @arg: its argument
 */
void standin_serve(
    struct loop *l, char *address, hs_handler_fn handler, void *arg);

/** standin_reply() - answer with text; NULL is a request without an answer */
void standin_reply(struct hs_request *req, int status, const char *text);

/** standin_reply_json() - the same with a JSON value, which it releases */
void standin_reply_json(struct hs_request *req, int status, json_t *value);

/** standin_body() - the request's body as JSON; NULL answers 400 */
json_t *standin_body(struct hs_request *req);

/** standin_query_i64() - an integer query argument */
int64_t standin_query_i64(
    struct hs_request *req, const char *name, int64_t fallback);

/**
 * standin_run() - print "ready ADDRESS..." and run until the parent is gone
 * @l: loop
 * @addresses: space-separated addresses
 */
void standin_run(struct loop *l, const char *addresses);

#endif
