#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <signal.h>

#include "standin.h"

#define STANDIN_MAX_BODY_BYTES ((size_t)4 << 20)
#define STANDIN_MAX_CONNECTIONS 4000

void
standin_serve(struct loop *l, char *address, hs_handler_fn handler, void *arg)
{
	struct hs_limits limits = {
	    STANDIN_MAX_BODY_BYTES, STANDIN_MAX_CONNECTIONS, 0};
	int fd;

	fd = hs_listen("127.0.0.1:0", address, 64);
	if (fd == -1 || hs_create(l, l, fd, &limits, handler, arg) == NULL) {
		fprintf(stderr, "stand-in: cannot listen\n");
		exit(1);
	}
}

void
standin_reply(struct hs_request *req, int status, const char *text)
{
	if (req == NULL)
		return;
	hs_respond(req, status, "text/plain", text, strlen(text), NULL, 0);
}

void
standin_reply_json(struct hs_request *req, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	if (req != NULL)
		hs_respond(req, status, "application/json", text, strlen(text),
		    NULL, 0);
	free(text);
	json_decref(value);
}

json_t *
standin_body(struct hs_request *req)
{
	json_t *value = json_loadb(req->body, req->body_bytes, 0, NULL);

	if (value == NULL)
		standin_reply(req, 400, "not JSON");
	return value;
}

int64_t
standin_query_i64(struct hs_request *req, const char *name, int64_t fallback)
{
	const char *text = hs_query(req, name);

	return text != NULL ? strtoll(text, NULL, 10) : fallback;
}

void
standin_run(struct loop *l, const char *addresses)
{
	/* A stand-in must not outlive the test that started it. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGPIPE, SIG_IGN);
	printf("ready %s\n", addresses);
	fflush(stdout);
	loop_run(l);
}
