#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/log.h"
#include "curranttackd/cell_run.h"
#include "curranttackd/daemon_run.h"

#define MAIN_SETTINGS_ENV "CURRANTTACK_SETTINGS"
#define MAIN_EXIT_USAGE 64
#define MAIN_EXIT_CONFIG 78

const char *argp_program_version = "curranttackd 0.1.0";

static const struct argp_option main_options[] = {
    {"config", 'c', "FILE", 0, "settings file (TOML); required", 0},
    {"check", 'k', NULL, 0, "check the settings file and exit", 0},
    {0},
};

/**
 * struct main_args - parsed command line
 * @settings_path: settings file
 * @check: only check the settings file
 */
struct main_args {
	const char *settings_path;
	bool check;
};

static const char *main_settings_path;

static error_t
main_parse(int key, char *arg, struct argp_state *state)
{
	struct main_args *args = state->input;

	switch (key) {
	case 'c':
		args->settings_path = arg;
		break;
	case 'k':
		args->check = true;
		break;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		break;
	case ARGP_KEY_END:
		if (args->settings_path == NULL)
			args->settings_path = getenv(MAIN_SETTINGS_ENV);
		if (args->settings_path == NULL)
			argp_error(state, "--config is required");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp main_argp = {main_options, main_parse, NULL,
    "curranttackd -- the daemon of the curranttack cluster scheduler", NULL,
    NULL, NULL};

/* Runs the daemon of a cell; the settings file selects it. */
static int
main_run_cell(const struct main_args *args)
{
	char error[SE_ERROR_BYTES];
	struct cell_settings *s;

	s = cell_settings_load(NULL, args->settings_path, error);
	if (s == NULL) {
		fprintf(stderr, "curranttackd: %s\n", error);
		return MAIN_EXIT_CONFIG;
	}
	if (args->check) {
		printf("%s: ok\n", args->settings_path);
		return EXIT_SUCCESS;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	lg_use_stdout();
	if (lg_init(s->vm, s->domain, s->log_level) == -1) {
		fprintf(stderr, "curranttackd: cannot set up logging\n");
		return EXIT_FAILURE;
	}
	return cell_run(s) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
main_init_log(const struct settings *s)
{
	uint32_t i;

	if (lg_init(s->vm, s->domain, s->log_level) == -1)
		return -1;
	for (i = 0; i < s->module_level_count; i++)
		lg_set_module_level(
		    s->module_level[i].module, s->module_level[i].level);
	return 0;
}

/* Applies those settings that can change while the daemon runs. */
static void
main_reload(struct daemon *d)
{
	char error[SE_ERROR_BYTES];
	struct settings *s;

	s = se_load(d, main_settings_path, error);
	if (s == NULL) {
		lg_event(LG_ERROR, "daemon", "reload_refused", "reason", error,
		    NULL);
		return;
	}
	main_init_log(s);
	d->settings->drain_timeout_us = s->drain_timeout_us;
	d->settings->commits_per_s = s->commits_per_s;
	d->settings->commit_burst = s->commit_burst;
	d->settings->snapshot_interval_entries = s->snapshot_interval_entries;
	d->settings->ended_job_retention_us = s->ended_job_retention_us;
	lg_event(LG_INFO, "daemon", "reloaded", NULL);
	talloc_free(s);
}

int
main(int argc, char **argv)
{
	struct main_args args = {0};
	char error[SE_ERROR_BYTES];
	struct settings *s;
	struct daemon *d;

	argp_err_exit_status = MAIN_EXIT_USAGE;
	argp_parse(&main_argp, argc, argv, 0, NULL, &args);
	if (cell_settings_present(args.settings_path))
		return main_run_cell(&args);
	s = se_load(NULL, args.settings_path, error);
	if (s == NULL) {
		fprintf(stderr, "curranttackd: %s\n", error);
		return MAIN_EXIT_CONFIG;
	}
	if (args.check) {
		printf("%s: ok\n", args.settings_path);
		return EXIT_SUCCESS;
	}
	main_settings_path = args.settings_path;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (main_init_log(s) == -1) {
		fprintf(stderr, "curranttackd: cannot set up logging\n");
		return EXIT_FAILURE;
	}
	d = dm_create(NULL, s);
	if (d == NULL) {
		lg_event(LG_ERROR, "daemon", "cannot_start", NULL);
		fprintf(
		    stderr, "curranttackd: cannot bind the listen addresses\n");
		return EXIT_FAILURE;
	}
	d->reload_settings = main_reload;
	if (dm_run(d) == -1)
		return EXIT_FAILURE;
	/* Frontend threads still run, so nothing that they use is freed. */
	_exit(EXIT_SUCCESS);
}
