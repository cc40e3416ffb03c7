#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/toml.h"
#include "currantctl/ctl.h"

#define CONFIG_PATH_BYTES 256
#define CONFIG_POLL_INTERVAL_US 100000
#define CONFIG_APPLY_TIMEOUT_MS 3000

static int
config_usage(const char *text)
{
	fprintf(stderr, "currantctl: usage: %s\n", text);
	return CTL_USAGE;
}

static int
config_fetch(struct ctl *ctl, const char *area, struct ctl_response *resp)
{
	char path[CONFIG_PATH_BYTES];

	snprintf(path, sizeof(path), "/v1/config/%s", area);
	return ctl_fetch(ctl, path, resp);
}

int
cmd_preset_show(struct ctl *ctl, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return ctl_print_text(ctl, "/v1/status", "preset");
}

int
cmd_config_get(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_response resp;
	int code;

	if (argc != 2)
		return config_usage("config get AREA");
	code = config_fetch(ctl, argv[1], &resp);
	if (code == CTL_OK)
		ctl_print_json(resp.body);
	ctl_response_free(&resp);
	return code;
}

int
cmd_config_history(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"REVISION", "revision"},
	    {"WRITTEN (us)", "written_wall_us"},
	    {"THROUGH", "vm"},
	};
	char path[CONFIG_PATH_BYTES];
	struct ctl_response resp;
	int code;

	if (argc != 2)
		return config_usage("config history AREA");
	snprintf(path, sizeof(path), "/v1/history/%s", argv[1]);
	code = ctl_fetch(ctl, path, &resp);
	if (code == CTL_OK && ctl->json)
		ctl_print_json(resp.body);
	else if (code == CTL_OK)
		ctl_print_table(resp.body, columns, 3);
	ctl_response_free(&resp);
	return code;
}

static json_t *
config_find_lagging(json_t *members, json_int_t revision)
{
	json_t *lagging = json_array();
	json_t *m;
	size_t i;

	json_array_foreach(members, i, m) {
		const char *state =
		    json_string_value(json_object_get(m, "state"));

		if (state == NULL || strcmp(state, "alive") != 0)
			continue;
		if (json_integer_value(json_object_get(m, "revision")) <
		    revision)
			json_array_append(lagging, json_object_get(m, "vm"));
	}
	return lagging;
}

int
ctl_wait_applied(struct ctl *ctl, json_int_t revision, long timeout_ms)
{
	json_t *lagging = NULL;
	struct ctl_response resp;
	struct timespec start;
	struct timespec now;
	json_t *vm;
	long elapsed_ms;
	size_t i;

	clock_gettime(CLOCK_MONOTONIC, &start);
	do {
		json_decref(lagging);
		ctl_get(ctl, "/v1/members", &resp);
		lagging = config_find_lagging(
		    json_object_get(resp.body, "members"), revision);
		if (resp.status == 200 && json_array_size(lagging) == 0) {
			json_decref(lagging);
			ctl_response_free(&resp);
			return CTL_OK;
		}
		ctl_response_free(&resp);
		usleep(CONFIG_POLL_INTERVAL_US);
		clock_gettime(CLOCK_MONOTONIC, &now);
		elapsed_ms = (now.tv_sec - start.tv_sec) * 1000 +
		    (now.tv_nsec - start.tv_nsec) / 1000000;
	} while (elapsed_ms < timeout_ms);
	fprintf(stderr, "currantctl: not yet in force on:");
	json_array_foreach(lagging, i, vm)
		fprintf(stderr, " %s", json_string_value(vm));
	fprintf(stderr, "\n");
	json_decref(lagging);
	return CTL_LAGGING;
}

static int
config_put(
    struct ctl *ctl, const char *area, json_t *document, json_int_t if_revision)
{
	struct ctl_request req = {.method = "PUT"};
	char path[CONFIG_PATH_BYTES];
	char *text = json_dumps(document, JSON_COMPACT);
	struct ctl_response resp;
	json_int_t revision;
	int code;

	snprintf(path, sizeof(path),
	    "/v1/config/%s?if_revision=%" JSON_INTEGER_FORMAT, area,
	    if_revision);
	req.address = ctl->operators_address;
	req.path = path;
	req.body = text;
	req.body_bytes = strlen(text);
	ctl_send(ctl, &req, &resp);
	code = ctl_check_response(ctl, &resp);
	revision = json_integer_value(json_object_get(resp.body, "revision"));
	ctl_response_free(&resp);
	free(text);
	if (code != CTL_OK)
		return code;
	code = ctl_wait_applied(ctl, revision, CONFIG_APPLY_TIMEOUT_MS);
	if (code == CTL_OK)
		printf("%s revision %" JSON_INTEGER_FORMAT " is in force\n",
		    area, revision);
	return code;
}

static int
config_put_current(struct ctl *ctl, const char *area, json_t *document)
{
	struct ctl_response resp;
	json_int_t revision;
	int code;

	code = config_fetch(ctl, area, &resp);
	revision = json_integer_value(json_object_get(resp.body, "revision"));
	ctl_response_free(&resp);
	if (code != CTL_OK)
		return code;
	return config_put(ctl, area, document, revision);
}

int
cmd_preset_set(struct ctl *ctl, int argc, char **argv)
{
	json_t *document;
	int code;

	if (argc != 2)
		return config_usage("preset set ordinary|peaks|maintenance");
	document = json_pack("{s:s}", "preset", argv[1]);
	code = config_put_current(ctl, "preset", document);
	json_decref(document);
	return code;
}

static json_t *
config_load(const char *path)
{
	char error[TOML_ERROR_BYTES];
	const char *dot = strrchr(path, '.');
	json_error_t json_error;
	struct toml_doc doc;
	json_t *root;

	if (dot != NULL && strcmp(dot, ".json") == 0) {
		root =
		    json_load_file(path, JSON_REJECT_DUPLICATES, &json_error);
		if (root == NULL)
			fprintf(stderr, "currantctl: %s:%d: %s\n", path,
			    json_error.line, json_error.text);
		return root;
	}
	if (toml_read_file(path, &doc, error) == -1) {
		fprintf(stderr, "currantctl: %s\n", error);
		return NULL;
	}
	root = json_incref(doc.root);
	toml_free(&doc);
	return root;
}

int
cmd_config_put(struct ctl *ctl, int argc, char **argv)
{
	json_t *document;
	int code;

	if (argc != 3 && argc != 4)
		return config_usage("config put AREA FILE [REVISION]");
	document = config_load(argv[2]);
	if (document == NULL)
		return CTL_USAGE;
	if (argc == 4)
		code = config_put(
		    ctl, argv[1], document, strtoll(argv[3], NULL, 10));
	else
		code = config_put_current(ctl, argv[1], document);
	json_decref(document);
	return code;
}
