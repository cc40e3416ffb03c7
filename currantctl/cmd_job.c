#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/toml.h"
#include "currantctl/ctl.h"

#define JOB_PATH_BYTES 256
#define JOB_POLL_WAIT_MS 2000

static const struct argp_option submit_options[] = {
    {"file", 'f', "FILE", 0, "job description in TOML", 0},
    {"key", 'k', "KEY", 0, "idempotency key", 0},
    {"team", 't', "TEAM", 0, "team that the job is charged to", 0},
    {"name", 'n', "NAME", 0, "name of the kind of work, for learned sizes", 0},
    {"kind", 'K', "KIND", 0, "service, batch or gang", 0},
    {"class", 'C', "CLASS", 0, "urgent, normal or heavy", 0},
    {"count", 'N', "N", 0, "number of tasks", 0},
    {"cpu", 'p', "CORES", 0, "cores per task", 0},
    {"memory", 'm', "SIZE", 0, "memory per task, such as 4GB", 0},
    {"accelerators", 'a', "N", 0, "accelerators per task", 0},
    {"run", 'r', "TIME", 0, "expected run time, such as 90s", 0},
    {"idempotent", 'i', NULL, 0,
	"a task may be run again if its outcome is lost", 0},
    {0},
};

static void
job_set(json_t *job, const char *field, json_t *value)
{
	json_object_set_new(job, field, value);
}

static void
job_load_file(json_t *job, const char *path, struct argp_state *state)
{
	char error[TOML_ERROR_BYTES];
	struct toml_doc doc;

	if (toml_read_file(path, &doc, error) == -1)
		argp_error(state, "%s", error);
	else
		json_object_update_missing(job, doc.root);
	toml_free(&doc);
}

static error_t
submit_parse(int key, char *arg, struct argp_state *state)
{
	json_t *job = state->input;

	switch (key) {
	case 'f':
		job_load_file(job, arg, state);
		break;
	case 'k':
		job_set(job, "key", json_string(arg));
		break;
	case 't':
		job_set(job, "team", json_string(arg));
		break;
	case 'n':
		job_set(job, "name", json_string(arg));
		break;
	case 'K':
		job_set(job, "kind", json_string(arg));
		break;
	case 'C':
		job_set(job, "class", json_string(arg));
		break;
	case 'N':
		job_set(job, "count", json_integer(strtoll(arg, NULL, 10)));
		break;
	case 'p':
		job_set(job, "cpu", json_real(strtod(arg, NULL)));
		break;
	case 'm':
		job_set(job, "memory", json_string(arg));
		break;
	case 'a':
		job_set(
		    job, "accelerators", json_integer(strtoll(arg, NULL, 10)));
		break;
	case 'r':
		job_set(job, "run", json_string(arg));
		break;
	case 'i':
		job_set(job, "idempotent", json_true());
		break;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp submit_argp = {submit_options, submit_parse, NULL,
    "Submit a job and print its id.", NULL, NULL, NULL};

int
cmd_job_submit(struct ctl *ctl, int argc, char **argv)
{
	json_t *job = json_object();
	struct ctl_request req = {.method = "POST", .path = "/v1/jobs"};
	struct ctl_response resp;
	char *text;
	int code;

	argp_parse(&submit_argp, argc, argv, 0, NULL, job);
	text = json_dumps(job, JSON_COMPACT);
	req.address = ctl->operators_address;
	req.body = text;
	req.body_bytes = strlen(text);
	ctl_send(ctl, &req, &resp);
	code = ctl_check_response(ctl, &resp);
	if (code == CTL_OK && ctl->json)
		ctl_print_json(resp.body);
	else if (code == CTL_OK)
		puts(json_string_value(json_object_get(resp.body, "job")));
	free(text);
	json_decref(job);
	ctl_response_free(&resp);
	return code;
}

static const char *
job_id_argument(int argc, char **argv)
{
	if (argc == 2)
		return argv[1];
	fprintf(stderr, "currantctl: %s takes one job id\n", argv[0]);
	exit(CTL_USAGE);
}

static void
job_print(const struct ctl *ctl, json_t *job)
{
	static const struct ctl_column columns[] = {
	    {"TASK", "index"},
	    {"STATE", "state"},
	    {"RESULT", "result"},
	    {"WORKER", "worker"},
	};

	if (ctl->json) {
		ctl_print_json(job);
		return;
	}
	printf("%s  %s  %s  %s  %s\n",
	    json_string_value(json_object_get(job, "job")),
	    json_string_value(json_object_get(job, "state")),
	    json_string_value(json_object_get(job, "kind")),
	    json_string_value(json_object_get(job, "class")),
	    json_string_value(json_object_get(job, "team")));
	ctl_print_table(json_object_get(job, "tasks"), columns, 4);
}

int
cmd_job_show(struct ctl *ctl, int argc, char **argv)
{
	char path[JOB_PATH_BYTES];
	struct ctl_response resp;
	int code;

	snprintf(
	    path, sizeof(path), "/v1/jobs/%s", job_id_argument(argc, argv));
	code = ctl_fetch(ctl, path, &resp);
	if (code == CTL_OK)
		job_print(ctl, resp.body);
	ctl_response_free(&resp);
	return code;
}

int
cmd_job_list(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"JOB", "job"},
	    {"STATE", "state"},
	    {"KIND", "kind"},
	    {"CLASS", "class"},
	    {"TEAM", "team"},
	    {"COUNT", "count"},
	    {"RUNNING", "running"},
	    {"WAITING", "waiting"},
	};

	(void)argc;
	(void)argv;
	return ctl_print_list(ctl, "/v1/jobs", "jobs", columns, 8);
}

static int
job_exit_code(json_t *job)
{
	const char *state = json_string_value(json_object_get(job, "state"));

	if (state != NULL && strcmp(state, "done") == 0)
		return CTL_OK;
	return state != NULL && strcmp(state, "unknown") == 0 ? CTL_UNKNOWN
							      : CTL_NOT_RUN;
}

int
cmd_job_wait(struct ctl *ctl, int argc, char **argv)
{
	const char *id = job_id_argument(argc, argv);
	char path[JOB_PATH_BYTES];
	struct ctl_response resp;
	int code;

	snprintf(
	    path, sizeof(path), "/v1/jobs/%s?wait_ms=%d", id, JOB_POLL_WAIT_MS);
	for (;;) {
		ctl_get(ctl, path, &resp);
		if (resp.status == 503 || resp.status == 504) {
			/* The shard may be changing its owner. */
			ctl_response_free(&resp);
			sleep(1);
			continue;
		}
		code = ctl_check_response(ctl, &resp);
		if (code != CTL_OK ||
		    json_is_true(json_object_get(resp.body, "ended")))
			break;
		if (isatty(STDERR_FILENO))
			fprintf(stderr, "\r%-78.78s",
			    json_string_value(
				json_object_get(resp.body, "why")));
		ctl_response_free(&resp);
	}
	if (isatty(STDERR_FILENO))
		fprintf(stderr, "\r%-78s\r", "");
	if (code == CTL_OK) {
		job_print(ctl, resp.body);
		code = job_exit_code(resp.body);
	}
	ctl_response_free(&resp);
	return code;
}

int
cmd_job_cancel(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_request req = {.method = "DELETE"};
	char path[JOB_PATH_BYTES];
	struct ctl_response resp;
	int code;

	snprintf(
	    path, sizeof(path), "/v1/jobs/%s", job_id_argument(argc, argv));
	req.address = ctl->operators_address;
	req.path = path;
	ctl_send(ctl, &req, &resp);
	code = ctl_check_response(ctl, &resp);
	if (code == CTL_OK)
		puts("cancelled");
	ctl_response_free(&resp);
	return code;
}
