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
    {"deadline", 'd', "MS", 0, "milliseconds until the response is worthless",
	0},
    {"idempotent", 'i', NULL, 0, "the request may be run more than once", 0},
    {0},
};

/**
 * struct request_args - arguments of "service request"
 * @service: service name
 * @body: body of the request
 * @headers: header lines, ended by NULL
 * @header_count: number of header lines
 * @lines: texts of the header lines
 * @deadline_ms: time limit, also sent as a header if it was given
 */
struct request_args {
	const char *service;
	const char *body;
	const char *headers[5];
	size_t header_count;
	char lines[4][SERVICE_LINE_BYTES];
	long deadline_ms;
};

static void
request_add_header(
    struct request_args *args, const char *name, const char *value)
{
	char *line = args->lines[args->header_count];

	snprintf(line, SERVICE_LINE_BYTES, "%s: %s", name, value);
	args->headers[args->header_count++] = line;
}

static error_t
request_parse(int key, char *arg, struct argp_state *state)
{
	struct request_args *args = state->input;

	if (args->header_count == 4 && key != ARGP_KEY_END &&
	    key != ARGP_KEY_ARG && key != 'b')
		argp_error(state, "too many options");
	switch (key) {
	case 'b':
		args->body = arg;
		break;
	case 'k':
		request_add_header(args, "Idempotency-Key", arg);
		break;
	case 'C':
		request_add_header(args, "X-Class", arg);
		break;
	case 'd':
		args->deadline_ms = strtol(arg, NULL, 10);
		request_add_header(args, "X-Deadline-Ms", arg);
		break;
	case 'i':
		request_add_header(args, "X-Idempotent", "true");
		break;
	case ARGP_KEY_ARG:
		if (args->service != NULL)
			argp_error(state, "unexpected argument '%s'", arg);
		args->service = arg;
		break;
	case ARGP_KEY_END:
		if (args->service == NULL)
			argp_error(state, "a service name is required");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp request_argp = {request_options, request_parse,
    "SERVICE", "Send a request to a service and print the response.", NULL,
    NULL, NULL};

int
cmd_service_request(struct ctl *ctl, int argc, char **argv)
{
	struct request_args args = {.body = "", .deadline_ms = 10000};
	struct ctl_request req = {.method = "POST"};
	struct ctl_response resp;
	char path[SERVICE_LINE_BYTES];
	int code;

	argp_parse(&request_argp, argc, argv, 0, NULL, &args);
	if (ctl->callers_address == NULL) {
		fprintf(stderr,
		    "currantctl: give --callers IP:PORT or set "
		    "CURRANT_CALLERS\n");
		return CTL_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/services/%s/requests", args.service);
	req.address = ctl->callers_address;
	req.path = path;
	req.body = args.body;
	req.body_bytes = strlen(args.body);
	req.headers = args.headers;
	req.timeout_ms = args.deadline_ms + 5000;
	ctl_send(ctl, &req, &resp);
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
