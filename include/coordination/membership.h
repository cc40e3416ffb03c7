#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Who is alive, who owns which shard, and who has room.
 *
 * Pure: fed with heartbeats, summaries and the platform's VM list. A member
 * is alive while its deadline has not passed. Incarnations order reports of
 * one VM: a lower one is stale, a higher one means that the process of the
 * lower one is gone.
 */

#define MB_NAME_BYTES 64
#define MB_MAX_OWNED 16
#define MB_MAX_SERVICES 8

enum mb_listing {
	MB_UNLISTED,
	MB_LISTED,
	MB_LISTED_LEAVING,
};

/**
 * struct mb_owned - a shard that a daemon owns
 * @shard: shard id
 * @epoch: epoch
 * @load: thousandths of the fullest resource, plus waiting tasks
 */
struct mb_owned {
	char shard[MB_NAME_BYTES];
	uint64_t epoch;
	uint32_t load;
};

struct mb_service_slots {
	char service[MB_NAME_BYTES];
	int32_t free_slots;
};

/**
 * struct mb_report - what a daemon says of itself
 * @vm: VM id
 * @domain: failure domain
 * @address: "IP:PORT" for frames
 * @incarnation: grows with each start of the daemon on a VM
 * @config_revision: revision in force there
 * @preset: preset in force there
 * @leaving: it accepts nothing new
 * @age_us: age of the report when it arrived
 */
struct mb_report {
	char vm[MB_NAME_BYTES];
	char domain[MB_NAME_BYTES];
	char address[MB_NAME_BYTES];
	char preset[MB_NAME_BYTES];
	uint64_t incarnation;
	uint64_t config_revision;
	bool leaving;
	int64_t age_us;
	struct mb_owned owned[MB_MAX_OWNED];
	uint32_t owned_count;
	struct mb_service_slots service_slots[MB_MAX_SERVICES];
	uint32_t service_slots_count;
};

/**
 * struct mb_member - one daemon
 * @report: newest report; vm, domain and address also from the VM list
 * @last_heard_us: when its newest report was made
 * @dead_at_us: dead from here on unless heard again
 * @listed: what the platform's list says
 * @listed_address: address in the platform's list, or empty
 * @relayed_digest: digest of the report that was last passed on in our domain
 * @gone_at_us: since when its VM is surely gone; 0 while it may live
 */
struct mb_member {
	struct mb_report report;
	int64_t last_heard_us;
	int64_t dead_at_us;
	enum mb_listing listed;
	char listed_address[MB_NAME_BYTES];
	uint64_t relayed_digest;
	int64_t gone_at_us;
};

struct mb_view {
	struct mb_member *member;
	uint32_t count;
	int64_t timeout_us;
	int64_t remote_timeout_us;
	char self[MB_NAME_BYTES];
	char domain[MB_NAME_BYTES];
};

enum mb_error {
	MB_OK,
	MB_STALE,	 /* of an earlier incarnation */
	MB_WRONG_DOMAIN, /* a VM does not change its failure domain */
};

/**
 * mb_create() - a view that knows only this daemon
 * @ctx: talloc parent
 * @self: this daemon's report
 * @timeout_us: silence after which a member of our domain counts as dead
 * @remote_timeout_us: likewise for other domains, heard through summaries
 */
struct mb_view *mb_create(TALLOC_CTX *ctx, const struct mb_report *self,
    int64_t timeout_us, int64_t remote_timeout_us);

/**
 * mb_report_digest() - changes when a report must be passed on at once
 * @r: report
 *
 * Free room changes all the time and may wait.
 */
uint64_t mb_report_digest(const struct mb_report *r);

/** mb_find() - a member by VM id, or NULL */
struct mb_member *mb_find(struct mb_view *v, const char *vm);

/**
 * mb_on_report() - take a heartbeat or a line of a summary
 * @v: view
 * @r: report
 * @now_us: time
 */
enum mb_error mb_on_report(
    struct mb_view *v, const struct mb_report *r, int64_t now_us);

/** struct mb_vm_entry - a daemon's VM in the platform's list */
struct mb_vm_entry {
	const char *vm;
	const char *domain;
	const char *address;
	bool leaving;
};

/**
 * mb_on_vm_list() - take the platform's list of daemons' VMs
 * @v: view
 * @entry: entries
 * @count: number of them
 * @now_us: time
 *
 * A VM that was listed and no longer is, is gone.
 */
void mb_on_vm_list(struct mb_view *v, const struct mb_vm_entry *entry,
    uint32_t count, int64_t now_us);

/**
 * mb_on_connection_refused() - a member's VM refused a connection: nothing listens there
 * @v: view
 * @vm: VM id
 * @now_us: time
 *
 * It counts as silent until heard again. Its shards are safe all the same,
 * since ownership is fenced in the store.
 */
void mb_on_connection_refused(
    struct mb_view *v, const char *vm, int64_t now_us);

/** mb_alive() - whether a member is heard and not gone */
bool mb_alive(const struct mb_member *m, int64_t now_us);
/** mb_accepts_work() - alive and not leaving */
bool mb_accepts_work(const struct mb_member *m, int64_t now_us);

/**
 * mb_rank() - this daemon's place among those of its domain that take work
 * @v: view
 * @now_us: time
 * @count: how many there are; at least 1
 */
uint32_t mb_rank(const struct mb_view *v, int64_t now_us, uint32_t *count);

/** mb_is_domain_leader() - whether this daemon speaks for its domain */
bool mb_is_domain_leader(const struct mb_view *v, int64_t now_us);
/** mb_domain_leader() - who speaks for another domain, or NULL */
struct mb_member *mb_domain_leader(
    struct mb_view *v, const char *domain, int64_t now_us);

/**
 * mb_shard_owner() - the living owner of a shard
 * @v: view
 * @shard: shard id
 * @now_us: time
 * @epoch: its epoch; may be NULL
 *
 * Return: member with the highest epoch, or NULL.
 */
struct mb_member *mb_shard_owner(
    struct mb_view *v, const char *shard, int64_t now_us, uint64_t *epoch);

/** mb_shard_load() - a shard's load, or UINT32_MAX without a living owner */
uint32_t mb_shard_load(struct mb_view *v, const char *shard, int64_t now_us);

/** mb_domain_may_be_alive() - whether some daemon of a domain may live */
bool mb_domain_may_be_alive(
    const struct mb_view *v, const char *domain, int64_t now_us);

/**
 * mb_most_free_slots() - the member with most free slots for a service
 * @v: view
 * @service: service name
 * @now_us: time
 *
 * Prefers this daemon's domain. Return: member or NULL.
 */
struct mb_member *mb_most_free_slots(
    struct mb_view *v, const char *service, int64_t now_us);

/**
 * mb_process_gone_at() - since when a daemon process is surely gone
 * @v: view
 * @vm: its VM
 * @incarnation: its incarnation
 *
 * Return: time, or 0 while it may live.
 */
int64_t mb_process_gone_at(
    struct mb_view *v, const char *vm, uint64_t incarnation);

#endif
