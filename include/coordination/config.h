#ifndef COORDINATION_CONFIG_H
#define COORDINATION_CONFIG_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "state/policy.h"
#include "state/types.h"

/**
 * DOC: The operators' configuration as typed documents.
 *
 * One document per area. A document is applied only if its revision is higher
 * than that of the applied one, so a late delivery never reverts a newer
 * document.
 */

/** enum cf_area - areas of the configuration */
enum cf_area {
	CF_PRESET,
	CF_TEAMS,
	CF_SERVICES,
	CF_SHARDS,
	CF_OBJECTIVES,
	CF_AREA_COUNT,
};

#define CF_ERROR_BYTES 256

/**
 * struct cf_worker - a worker VM
 * @id: VM id
 * @address: "IP:PORT"
 * @rack: rack name
 * @capacity: resources that it offers to tasks
 */
struct cf_worker {
	char *id;
	char *address;
	char *rack;
	struct st_res capacity;
};

/**
 * struct cf_shard - workers that one daemon schedules at a time
 * @id: shard id
 * @domain: failure domain of all its workers
 * @worker: workers of whole racks, @worker_count of them
 * @capacity: sum over its workers
 */
struct cf_shard {
	char *id;
	char *domain;
	struct cf_worker *worker;
	uint32_t worker_count;
	struct st_res capacity;
};

/**
 * struct cf_shards - document of area CF_SHARDS
 * @goal: what placement optimizes
 * @shard: shards, @count of them
 */
struct cf_shards {
	enum po_goal goal;
	struct cf_shard *shard;
	uint32_t count;
};

/**
 * struct cf_endpoint - an instance of a service
 * @id: VM id
 * @address: "IP:PORT"
 * @domain: failure domain
 * @slots: requests that it processes at a time
 * @connections: connections that it accepts
 */
struct cf_endpoint {
	char *id;
	char *address;
	char *domain;
	uint32_t slots;
	uint32_t connections;
};

/**
 * struct cf_service - a service that requests are routed to
 * @name: service name
 * @endpoint: its instances, @endpoint_count of them
 */
struct cf_service {
	char *name;
	struct cf_endpoint *endpoint;
	uint32_t endpoint_count;
};

/** struct cf_services - document of area CF_SERVICES */
struct cf_services {
	struct cf_service *service;
	uint32_t count;
};

/**
 * struct cf_team - a team that submits jobs
 * @name: name in submissions
 * @quota: resources that its running tasks may take in all shards together
 */
struct cf_team {
	char *name;
	struct st_res quota;
};

/** struct cf_teams - document of area CF_TEAMS */
struct cf_teams {
	struct cf_team *team;
	uint32_t count;
};

/**
 * struct cf_objective - a service-level objective
 * @name: name in reports
 * @service: service name
 * @request_class: class of the requests
 * @target_us: a response counts as good up to this latency
 * @good_ppm: promised share of good responses, in parts per million
 */
struct cf_objective {
	char *name;
	char *service;
	enum st_class request_class;
	int64_t target_us;
	uint32_t good_ppm;
};

/** struct cf_objectives - document of area CF_OBJECTIVES */
struct cf_objectives {
	struct cf_objective *objective;
	uint32_t count;
};

/**
 * struct cf_doc - the applied document of one area
 * @revision: its revision in the store; 0 before the first document
 * @body: JSON text as stored
 * @body_bytes: size of @body
 */
struct cf_doc {
	uint64_t revision;
	uint8_t *body;
	size_t body_bytes;
};

/**
 * struct cf_config - the applied configuration; read-only once published
 * @doc: applied documents by area
 * @revision: highest revision of any applied document
 * @preset: preset in effect
 * @shards: never NULL; empty before the first document
 * @services: likewise
 * @teams: likewise
 * @objectives: likewise
 */
struct cf_config {
	struct cf_doc doc[CF_AREA_COUNT];
	uint64_t revision;
	enum po_preset preset;
	struct cf_shards *shards;
	struct cf_services *services;
	struct cf_teams *teams;
	struct cf_objectives *objectives;
};

/** enum cf_error - result of applying a document */
enum cf_error {
	CF_OK,
	CF_STALE,   /* not newer than the applied document */
	CF_INVALID, /* rejected as a whole; the applied document stays */
};

/**
 * cf_area_name() - an area's name in keys and paths
 * @area: area
 *
 * Return: "preset", "teams", "services", "shards" or "objectives".
 */
const char *cf_area_name(enum cf_area area);

/**
 * cf_area_parse() - look up an area by name
 * @name: name, as cf_area_name() returns it
 * @area: result
 *
 * Return: false when there is no such area; @area is unchanged then.
 */
bool cf_area_parse(const char *name, enum cf_area *area);

/**
 * typedef cf_parse_fn - parses and checks a document
 * @c: configuration that receives the typed document
 * @area: area of the document
 * @body: its text
 * @body_bytes: size of @body
 * @error: field and reason on failure; CF_ERROR_BYTES long
 *
 * Return: false when invalid; @c is unchanged then.
 */
typedef bool (*cf_parse_fn)(struct cf_config *c, enum cf_area area,
    const uint8_t *body, size_t body_bytes, char *error);

/**
 * cf_create() - create an empty configuration
 * @ctx: talloc parent
 *
 * Return: configuration, or NULL when out of memory.
 */
struct cf_config *cf_create(TALLOC_CTX *ctx);

/**
 * cf_apply() - apply a document if it is newer than the applied one
 * @c: configuration
 * @parse: parser of the document's format
 * @area: area of the document
 * @revision: its revision in the store
 * @body: its text; copied
 * @body_bytes: size of @body
 * @error: field and reason for CF_INVALID; CF_ERROR_BYTES long
 */
enum cf_error cf_apply(struct cf_config *c, cf_parse_fn parse,
    enum cf_area area, uint64_t revision, const uint8_t *body,
    size_t body_bytes, char *error);

/**
 * cf_home_shard() - the shard that a key is assigned to
 * @shards: configured shards
 * @key: key
 * @fits: whether a shard can run the work; NULL accepts every shard
 * @arg: argument of @fits
 *
 * Rendezvous hashing over the configured shards: the result does not depend
 * on which daemons are alive.
 *
 * Return: shard, or NULL when none fits.
 */
const struct cf_shard *cf_home_shard(const struct cf_shards *shards,
    const char *key, bool (*fits)(const struct cf_shard *s, const void *arg),
    const void *arg);

/**
 * cf_shard_task_capacity() - number of tasks that an empty shard can run
 * @s: shard
 * @need: resources of one task
 */
uint64_t cf_shard_task_capacity(
    const struct cf_shard *s, const struct st_res *need);

/**
 * cf_quota_share() - a shard's share of a team's quota
 * @shards: configured shards
 * @s: shard
 * @quota: quota of the team in all shards together
 *
 * Shares are proportional to the shards' capacity and rounded down. They add
 * up to at most the quota, so each shard can enforce its share without asking
 * the others.
 */
struct st_res cf_quota_share(const struct cf_shards *shards,
    const struct cf_shard *s, const struct st_res *quota);

#endif
