#ifndef CURRANTCTL_CTL_H
#define CURRANTCTL_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* Exit codes; also in currantctl(1). */
#define CTL_OK 0
#define CTL_NOT_RUN 1
#define CTL_UNKNOWN 2
#define CTL_UNREACHABLE 3
#define CTL_LAGGING 4
#define CTL_USAGE 64

/**
 * struct ctl - the command line's common part
 * @operators: "IP:PORT" of a daemon's operators' side
 * @callers: "IP:PORT" of a daemon's callers' side
 * @token: bearer token or NULL
 * @json: print JSON instead of tables
 */
struct ctl {
	const char *operators;
	const char *callers;
	const char *token;
	bool json;
};

/**
 * struct ctl_response - a daemon's answer
 * @status: HTTP status; 0 when the daemon cannot be reached
 * @outcome: the X-Outcome header, or empty
 * @text: body, @text_bytes long
 * @body: body as JSON, or NULL
 */
struct ctl_response {
	long status;
	char outcome[32];
	char *text;
	size_t text_bytes;
	json_t *body;
};

/**
 * struct ctl_call - a request to a daemon
 * @address: "IP:PORT"
 * @method: HTTP method
 * @path: path and query
 * @body: body or NULL, @body_bytes long
 * @headers: "Name: value" lines, ended by NULL; may be NULL
 * @timeout_ms: when to give up
 */
struct ctl_call {
	const char *address;
	const char *method;
	const char *path;
	const char *body;
	size_t body_bytes;
	const char *const *headers;
	long timeout_ms;
};

/** ctl_call() - send a request and wait for its answer */
void ctl_call(const struct ctl *ctl, const struct ctl_call *call,
    struct ctl_response *resp);
/** ctl_get() - GET from the operators' side */
void ctl_get(
    const struct ctl *ctl, const char *path, struct ctl_response *resp);
/** ctl_free() - release an answer */
void ctl_free(struct ctl_response *resp);
/** ctl_exit_code() - prints why a call failed; CTL_OK when it did not */
int ctl_exit_code(const struct ctl *ctl, const struct ctl_response *resp);

/**
 * struct ctl_column - a column of a table
 * @title: heading
 * @field: key in the row, with dots for inner objects
 */
struct ctl_column {
	const char *title;
	const char *field;
};

/** ctl_print_table() - rows of a JSON list as an aligned table */
void ctl_print_table(
    json_t *rows, const struct ctl_column *columns, size_t count);
/**
 * ctl_show_list() - print a list from the operators' side
 * @ctl: common part
 * @path: path of the list
 * @field: its field in the answer
 * @columns: columns of the table
 * @count: number of columns
 *
 * Names on standard error who did not answer. Return: exit code.
 */
int ctl_show_list(struct ctl *ctl, const char *path, const char *field,
    const struct ctl_column *columns, size_t count);

/** ctl_print_json() - a JSON value, indented */
void ctl_print_json(json_t *value);

/** typedef ctl_command_fn - runs a command; argv[0] is its name */
typedef int (*ctl_command_fn)(struct ctl *ctl, int argc, char **argv);

int cmd_job_submit(struct ctl *ctl, int argc, char **argv);
int cmd_job_show(struct ctl *ctl, int argc, char **argv);
int cmd_job_list(struct ctl *ctl, int argc, char **argv);
int cmd_job_wait(struct ctl *ctl, int argc, char **argv);
int cmd_job_cancel(struct ctl *ctl, int argc, char **argv);
int cmd_service_list(struct ctl *ctl, int argc, char **argv);
int cmd_service_request(struct ctl *ctl, int argc, char **argv);
int cmd_preset_show(struct ctl *ctl, int argc, char **argv);
int cmd_preset_set(struct ctl *ctl, int argc, char **argv);
int cmd_config_get(struct ctl *ctl, int argc, char **argv);
int cmd_config_put(struct ctl *ctl, int argc, char **argv);
int cmd_config_history(struct ctl *ctl, int argc, char **argv);
int cmd_status(struct ctl *ctl, int argc, char **argv);
int cmd_members(struct ctl *ctl, int argc, char **argv);
int cmd_workers(struct ctl *ctl, int argc, char **argv);
int cmd_placements(struct ctl *ctl, int argc, char **argv);
int cmd_why(struct ctl *ctl, int argc, char **argv);
int cmd_trace(struct ctl *ctl, int argc, char **argv);
int cmd_report_burn(struct ctl *ctl, int argc, char **argv);

/** ctl_wait_in_force() - wait until all live daemons have a revision */
int ctl_wait_in_force(struct ctl *ctl, json_int_t revision, long timeout_ms);

#endif
