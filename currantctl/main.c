#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantctl/ctl.h"

const char *argp_program_version = "currantctl 0.1.0";

/**
 * struct command - a command of currantctl
 * @group: first word
 * @verb: second word, or NULL for a command of one word
 * @run: function that runs it
 * @help: line for --help
 */
struct command {
	const char *group;
	const char *verb;
	ctl_command_fn run;
	const char *help;
};

static const struct command main_commands[] = {
    {"job", "submit", cmd_job_submit, "submit a job"},
    {"job", "show", cmd_job_show, "show a job and its tasks"},
    {"job", "list", cmd_job_list, "list jobs"},
    {"job", "wait", cmd_job_wait, "wait until a job has ended"},
    {"job", "cancel", cmd_job_cancel, "cancel a job"},
    {"service", "list", cmd_service_list, "list services"},
    {"service", "request", cmd_service_request, "send a request"},
    {"preset", "show", cmd_preset_show, "show the current preset"},
    {"preset", "set", cmd_preset_set, "switch the preset"},
    {"config", "get", cmd_config_get, "show an area of the configuration"},
    {"config", "put", cmd_config_put, "replace an area of the configuration"},
    {"config", "history", cmd_config_history,
	"show earlier versions of an area"},
    {"status", NULL, cmd_status,
	"show shards and owners as a daemon sees them"},
    {"members", NULL, cmd_members, "list daemons"},
    {"workers", NULL, cmd_workers, "list workers"},
    {"placements", NULL, cmd_placements, "list tasks and their workers"},
    {"why", NULL, cmd_why, "explain what a job waits for"},
    {"trace", NULL, cmd_trace, "merge the log lines of one job"},
    {"report", "burn", cmd_report_burn, "error-budget burn"},
};

#define MAIN_COMMAND_COUNT (sizeof(main_commands) / sizeof(main_commands[0]))

static const struct argp_option main_options[] = {
    {"server", 's', "IP:PORT", 0,
	"operators' address of a daemon (or $CURRANT_SERVER)", 0},
    {"callers", 'c', "IP:PORT", 0,
	"callers' address of a daemon (or $CURRANT_CALLERS)", 0},
    {"json", 'j', NULL, 0, "print JSON", 0},
    {0},
};

/**
 * struct main_args - parsed options
 * @ctl: options common to all commands
 * @command_index: index of the command in argv
 */
struct main_args {
	struct ctl ctl;
	int command_index;
};

static error_t
main_parse(int key, char *arg, struct argp_state *state)
{
	struct main_args *args = state->input;

	switch (key) {
	case 's':
		args->ctl.operators_address = arg;
		break;
	case 'c':
		args->ctl.callers_address = arg;
		break;
	case 'j':
		args->ctl.json = true;
		break;
	case ARGP_KEY_ARG:
		/* Further arguments are parsed by the command. */
		args->command_index = state->next - 1;
		state->next = state->argc;
		break;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static char *
main_help_filter(int key, const char *text, void *input)
{
	char *out = NULL;
	size_t len = 0;
	FILE *f;
	size_t i;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	f = open_memstream(&out, &len);
	fprintf(f, "Commands:\n");
	for (i = 0; i < MAIN_COMMAND_COUNT; i++)
		fprintf(f, "  %-8s %-8s  %s\n", main_commands[i].group,
		    main_commands[i].verb != NULL ? main_commands[i].verb : "",
		    main_commands[i].help);
	fclose(f);
	return out;
}

static const struct argp main_argp = {main_options, main_parse,
    "COMMAND [ARG...]",
    "currantctl -- operate the curranttack cluster scheduler\v", NULL,
    main_help_filter, NULL};

static int
main_run_command(struct ctl *ctl, int argc, char **argv)
{
	size_t i;

	for (i = 0; i < MAIN_COMMAND_COUNT; i++) {
		const struct command *c = &main_commands[i];

		if (strcmp(c->group, argv[0]) != 0)
			continue;
		if (c->verb == NULL)
			return c->run(ctl, argc, argv);
		if (argc > 1 && strcmp(c->verb, argv[1]) == 0)
			return c->run(ctl, argc - 1, argv + 1);
	}
	fprintf(stderr, "currantctl: no such command: %s %s\n", argv[0],
	    argc > 1 ? argv[1] : "");
	return CTL_USAGE;
}

int
main(int argc, char **argv)
{
	struct main_args args = {0};
	int code;

	argp_err_exit_status = CTL_USAGE;
	args.ctl.operators_address = getenv("CURRANT_SERVER");
	args.ctl.callers_address = getenv("CURRANT_CALLERS");
	args.ctl.token = getenv("CURRANT_TOKEN");
	argp_parse(&main_argp, argc, argv, ARGP_IN_ORDER, NULL, &args);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = main_run_command(
	    &args.ctl, argc - args.command_index, argv + args.command_index);
	curl_global_cleanup();
	return code;
}
