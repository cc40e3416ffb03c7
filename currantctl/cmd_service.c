#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantctl/ctl.h"

#define SERVICE_LINE_BYTES 256

int
cmd_service_list(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"SERVICE", "service"},
	    {"ENDPOINTS", "endpoints"},
	    {"FREE SLOTS", "free_slots"},
	    {"QUEUED", "queued"},
	};

	(void)argc;
	(void)argv;
	return ctl_print_list(ctl, "/v1/status", "services", columns, 4);
}

static const struct argp_option request_options[] = {
    {"body", 'b', "TEXT", 0, "body of the request", 0},
    {"key", 'k', "KEY", 0, "idempotency key: runs at most once", 0},
    {"class", 'C', "CLASS", 0, "urgent, normal or heavy", 0},
    {"deadline", 'd', "MS", 0, "milliseconds until it is worthless", 0},
    {"idempotent", 'i', NULL, 0, "may be sent again", 0},
    {0},
};

/** struct request_args - options of "service request" */
struct request_args {
	const char *service;
	const char *body;
	const char *headers[5];
	size_t header_count;
	char lines[4][SERVICE_LINE_BYTES];
	long deadline_ms;
};

static void
request_header(struct request_args *a, const char *name, const char *value)
{
	char *line = a->lines[a->header_count];

	snprintf(line, SERVICE_LINE_BYTES, "%s: %s", name, value);
	a->headers[a->header_count++] = line;
}

static error_t
request_parse(int key, char *arg, struct argp_state *state)
{
	struct request_args *a = state->input;

	if (a->header_count == 4 && key != ARGP_KEY_END &&
	    key != ARGP_KEY_ARG && key != 'b')
		argp_error(state, "too many options");
	switch (key) {
	case 'b':
		a->body = arg;
		break;
	case 'k':
		request_header(a, "Idempotency-Key", arg);
		break;
	case 'C':
		request_header(a, "X-Class", arg);
		break;
	case 'd':
		a->deadline_ms = strtol(arg, NULL, 10);
		request_header(a, "X-Deadline-Ms", arg);
		break;
	case 'i':
		request_header(a, "X-Idempotent", "true");
		break;
	case ARGP_KEY_ARG:
		if (a->service != NULL)
			argp_error(state, "unexpected argument '%s'", arg);
		a->service = arg;
		break;
	case ARGP_KEY_END:
		if (a->service == NULL)
			argp_error(state, "a service name is required");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp request_argp = {request_options, request_parse,
    "SERVICE", "Send a request to a service and print its answer.", NULL, NULL,
    NULL};

int
cmd_service_request(struct ctl *ctl, int argc, char **argv)
{
	struct request_args a = {.body = "", .deadline_ms = 10000};
	struct ctl_request call = {.method = "POST"};
	struct ctl_response resp;
	char path[SERVICE_LINE_BYTES];
	int code;

	argp_parse(&request_argp, argc, argv, 0, NULL, &a);
	if (ctl->callers_address == NULL) {
		fprintf(stderr,
		    "currantctl: give --callers IP:PORT or set "
		    "CURRANT_CALLERS\n");
		return CTL_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/services/%s/requests", a.service);
	call.address = ctl->callers_address;
	call.path = path;
	call.body = a.body;
	call.body_bytes = strlen(a.body);
	call.headers = a.headers;
	call.timeout_ms = a.deadline_ms + 5000;
	ctl_send(ctl, &call, &resp);
	if (resp.status != 0 && strcmp(resp.outcome, "done") == 0) {
		fwrite(resp.text, 1, resp.text_bytes, stdout);
		putchar('\n');
		code = CTL_OK;
	} else {
		code = ctl_check_response(ctl, &resp);
	}
	ctl_response_free(&resp);
	return code;
}
