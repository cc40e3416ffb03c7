#include <stdio.h>
#include <stdlib.h>

#include "currantctl/ctl.h"

#define SHOW_PATH_BYTES 256

int
cmd_members(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"VM", "vm"},
	    {"DOMAIN", "domain"},
	    {"STATE", "state"},
	    {"REVISION", "revision"},
	    {"PRESET", "preset"},
	    {"ADDRESS", "address"},
	};

	(void)argc;
	(void)argv;
	return ctl_print_list(ctl, "/v1/members", "members", columns, 6);
}

int
cmd_workers(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"WORKER", "worker"},
	    {"SHARD", "shard"},
	    {"RACK", "rack"},
	    {"STATE", "state"},
	    {"TASKS", "tasks"},
	    {"FREE CPU", "free.cpu"},
	    {"FREE ACCELERATORS", "free.accelerators"},
	};

	(void)argc;
	(void)argv;
	return ctl_print_list(ctl, "/v1/workers", "workers", columns, 7);
}

int
cmd_placements(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"JOB", "job"},
	    {"TASK", "index"},
	    {"STATE", "state"},
	    {"WORKER", "worker"},
	    {"SHARD", "shard"},
	};

	(void)argc;
	(void)argv;
	return ctl_print_list(ctl, "/v1/placements", "placements", columns, 5);
}

int
cmd_status(struct ctl *ctl, int argc, char **argv)
{
	static const struct ctl_column columns[] = {
	    {"SHARD", "shard"},
	    {"OWNER", "owner"},
	    {"EPOCH", "epoch"},
	};
	struct ctl_response resp;
	int code;

	(void)argc;
	(void)argv;
	code = ctl_fetch(ctl, "/v1/status", &resp);
	if (code == CTL_OK && ctl->json) {
		ctl_print_json(resp.body);
	} else if (code == CTL_OK) {
		printf("vm %s  domain %s  preset %s  revision "
		       "%" JSON_INTEGER_FORMAT "\n",
		    json_string_value(json_object_get(resp.body, "vm")),
		    json_string_value(json_object_get(resp.body, "domain")),
		    json_string_value(json_object_get(resp.body, "preset")),
		    json_integer_value(json_object_get(resp.body, "revision")));
		ctl_print_table(
		    json_object_get(resp.body, "shards"), columns, 3);
	}
	ctl_response_free(&resp);
	return code;
}

int
cmd_why(struct ctl *ctl, int argc, char **argv)
{
	char path[SHOW_PATH_BYTES];

	if (argc != 2) {
		fprintf(stderr, "currantctl: usage: why JOB\n");
		return CTL_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/why/%s", argv[1]);
	return ctl_print_text(ctl, path, "why");
}
