#ifndef CURRANTCTL_CTL_H
#define CURRANTCTL_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* Exit codes; also in currantctl(1). */
#define CTL_OK 0
#define CTL_NOT_RUN 1	  /* refused, failed or cancelled */
#define CTL_UNKNOWN 2	  /* may have run */
#define CTL_UNREACHABLE 3 /* no response */
#define CTL_LAGGING 4	  /* applied, but not yet by all live daemons */
#define CTL_USAGE 64

/**
 * struct ctl - options common to all commands
 * @operators_address: "IP:PORT" on which a daemon serves operators; or NULL
 * @callers_address: "IP:PORT" on which a daemon serves callers; or NULL
 * @token: bearer token or NULL
 * @json: print JSON instead of tables
 */
struct ctl {
	const char *operators_address;
	const char *callers_address;
	const char *token;
	bool json;
};

/**
 * struct ctl_response - a daemon's response; freed with ctl_response_free()
 * @status: HTTP status; 0 when the daemon cannot be reached
 * @outcome: value of the X-Outcome header, or empty
 * @text: body, @text_bytes long
 * @body: body parsed as JSON, or NULL
 */
struct ctl_response {
	long status;
	char outcome[32];
	char *text;
	size_t text_bytes;
	json_t *body;
};

/**
 * struct ctl_request - a request to a daemon
 * @address: "IP:PORT"
 * @method: HTTP method
 * @path: path and query
 * @body: body or NULL, @body_bytes long
 * @headers: "Name: value" lines, ended by NULL; may be NULL
 * @timeout_ms: how long to wait for the response; 0 for the default
 */
struct ctl_request {
	const char *address;
	const char *method;
	const char *path;
	const char *body;
	size_t body_bytes;
	const char *const *headers;
	long timeout_ms;
};

/**
 * ctl_send() - send a request and wait for the response
 * @ctl: common options
 * @req: request
 * @resp: response; status 0 when there is none, which is also printed
 *
 * Exits with CTL_USAGE when no address is given.
 */
void ctl_send(const struct ctl *ctl, const struct ctl_request *req,
    struct ctl_response *resp);
/** ctl_get() - send a GET request to the operators' address */
void ctl_get(
    const struct ctl *ctl, const char *path, struct ctl_response *resp);
/**
 * ctl_fetch() - send a GET request and print the reason if it failed
 * @ctl: common options
 * @path: path at the operators' address
 * @resp: response; to be freed whatever the result is
 *
 * Return: exit code, as of ctl_check_response().
 */
int ctl_fetch(
    const struct ctl *ctl, const char *path, struct ctl_response *resp);
/** ctl_response_free() - free what a response holds */
void ctl_response_free(struct ctl_response *resp);
/**
 * ctl_check_response() - print the reason if a request failed
 * @ctl: common options
 * @resp: response
 *
 * Return: exit code; CTL_OK for a status of 200 to 299.
 */
int ctl_check_response(const struct ctl *ctl, const struct ctl_response *resp);

/**
 * struct ctl_column - a column of a table
 * @title: heading
 * @field: key in the row, with dots for inner objects
 */
struct ctl_column {
	const char *title;
	const char *field;
};

/** ctl_print_table() - print the rows of a JSON array as an aligned table */
void ctl_print_table(
    json_t *rows, const struct ctl_column *columns, size_t count);
/**
 * ctl_print_list() - get a list from the operators' address and print it
 * @ctl: common options
 * @path: path of the list
 * @field: its field in the response
 * @columns: columns of the table
 * @count: number of columns
 *
 * Names on standard error the daemons or shards that did not respond.
 * Return: exit code.
 */
int ctl_print_list(struct ctl *ctl, const char *path, const char *field,
    const struct ctl_column *columns, size_t count);

/**
 * ctl_print_text() - get an object from the operators' address and print one
 *	of its texts
 * @ctl: common options
 * @path: path of the object
 * @field: field of the text
 *
 * Return: exit code.
 */
int ctl_print_text(const struct ctl *ctl, const char *path, const char *field);

/** ctl_print_json() - print a JSON value, indented */
void ctl_print_json(json_t *value);

/**
 * typedef ctl_command_fn - runs a command
 * @ctl: common options
 * @argc: number of arguments, with the command's name
 * @argv: arguments; argv[0] is the command's name
 *
 * Return: exit code.
 */
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

/**
 * ctl_wait_applied() - wait until all live daemons have applied a revision
 * @ctl: common options
 * @revision: revision of the configuration
 * @timeout_ms: how long to wait
 *
 * Return: CTL_OK, or CTL_LAGGING after printing the daemons that have not.
 */
int ctl_wait_applied(struct ctl *ctl, json_int_t revision, long timeout_ms);

#endif
