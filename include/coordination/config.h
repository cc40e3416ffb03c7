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
 * One document per area. A document is applied only if its revision is
 * higher than the one in force, so nothing ever reverts.
 */

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
 * @capacity: what it holds
 */
struct cf_worker {
	char *id;
	char *address;
	char *rack;
	struct st_res capacity;
};

/** struct cf_shard - whole racks of one failure domain */
struct cf_shard {
	char *id;
	char *domain;
	struct cf_worker *worker;
	uint32_t worker_count;
	struct st_res capacity;
};

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
 * @slots: requests it runs at once
 * @connections: connections it takes
 */
struct cf_endpoint {
	char *id;
	char *address;
	char *domain;
	uint32_t slots;
	uint32_t connections;
};

struct cf_service {
	char *name;
	struct cf_endpoint *endpoint;
	uint32_t endpoint_count;
};

struct cf_services {
	struct cf_service *service;
	uint32_t count;
};

struct cf_team {
	char *name;
	struct st_res quota;
};

struct cf_teams {
	struct cf_team *team;
	uint32_t count;
};

/**
 * struct cf_objective - a service-level objective
 * @name: name in reports
 * @service: service name
 * @request_class: class of the requests
 * @target_us: answers count as good up to here
 * @good_ppm: share of good answers that is promised, in millionths
 */
struct cf_objective {
	char *name;
	char *service;
	enum st_class request_class;
	int64_t target_us;
	uint32_t good_ppm;
};

struct cf_objectives {
	struct cf_objective *objective;
	uint32_t count;
};

/**
 * struct cf_doc - the document in force in one area
 * @revision: store revision; 0 before the first
 * @body: JSON text as stored
 * @body_bytes: its size
 */
struct cf_doc {
	uint64_t revision;
	uint8_t *body;
	size_t body_bytes;
};

/**
 * struct cf_config - what is in force; read-only once published
 * @doc: documents by area
 * @revision: highest revision of any document
 * @preset: preset in force
 * @shards: shards, or an empty list
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

enum cf_error {
	CF_OK,
	CF_STALE,   /* not newer than what is in force */
	CF_INVALID, /* refused as a whole; the old one stays */
};

/** cf_area_name() - "preset", "teams", "services", "shards", "objectives" */
const char *cf_area_name(enum cf_area area);

/**
 * cf_area_parse() - read an area name
 * @name: name
 * @area: result
 *
 * Return: false when unknown.
 */
bool cf_area_parse(const char *name, enum cf_area *area);

/**
 * typedef cf_parse_fn - turns a document's text into its typed form
 * @c: configuration that gets the result
 * @area: area
 * @body: text
 * @body_bytes: its size
 * @error: field and reason; CF_ERROR_BYTES long
 *
 * Return: false when invalid; @c is unchanged then.
 */
typedef bool (*cf_parse_fn)(struct cf_config *c, enum cf_area area,
    const uint8_t *body, size_t body_bytes, char *error);

/** cf_create() - an empty configuration */
struct cf_config *cf_create(TALLOC_CTX *ctx);

/**
 * cf_apply() - put a document in force if it is newer
 * @c: configuration
 * @parse: how to read it
 * @area: area
 * @revision: its revision
 * @body: text
 * @body_bytes: its size
 * @error: reason for CF_INVALID; CF_ERROR_BYTES long
 */
enum cf_error cf_apply(struct cf_config *c, cf_parse_fn parse,
    enum cf_area area, uint64_t revision, const uint8_t *body,
    size_t body_bytes, char *error);

/**
 * cf_home_shard() - the shard that a key belongs to
 * @shards: configured shards
 * @key: key
 * @fits: says whether a shard can hold the work; NULL for any
 * @arg: its argument
 *
 * Rendezvous hash over the configured shards, so it does not depend on who
 * is alive. Return: shard, or NULL when none fits.
 */
const struct cf_shard *cf_home_shard(const struct cf_shards *shards,
    const char *key, bool (*fits)(const struct cf_shard *s, const void *arg),
    const void *arg);

/**
 * cf_shard_task_capacity() - how many tasks a shard holds when empty
 * @s: shard
 * @need: one task
 */
uint64_t cf_shard_task_capacity(
    const struct cf_shard *s, const struct st_res *need);

/**
 * cf_quota_share() - a shard's part of a team's quota, by capacity
 * @shards: configured shards
 * @s: shard
 * @quota: whole quota
 *
 * The parts add up to at most the whole, so the quota holds without a call.
 */
struct st_res cf_quota_share(const struct cf_shards *shards,
    const struct cf_shard *s, const struct st_res *quota);

#endif
