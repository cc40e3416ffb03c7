#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Liveness, shard ownership and free service slots of the daemons.
 *
 * Does no I/O: callers pass in heartbeats, summaries and the platform's VM
 * list. A member is alive until its deadline passes. Incarnations order the
 * reports of one VM: a report with a lower incarnation is stale, and one with
 * a higher incarnation proves that the earlier process has ended.
 */

#define MB_NAME_BYTES 64
#define MB_MAX_OWNED 16
#define MB_MAX_SERVICES 8

/** enum mb_listing - how the platform's VM list names a VM */
enum mb_listing {
	MB_UNLISTED,
	MB_LISTED,
	MB_LISTED_LEAVING, /* the platform is about to remove the VM */
};

/**
 * struct mb_owned - a shard that a daemon owns
 * @shard: shard id
 * @epoch: epoch of its ownership
 * @load: use of the fullest resource in thousandths, plus the number of
 *	waiting tasks
 */
struct mb_owned {
	char shard[MB_NAME_BYTES];
	uint64_t epoch;
	uint32_t load;
};

/**
 * struct mb_service_slots - free request slots that a daemon has for a service
 * @service: service name
 * @free_slots: further requests that its endpoints can process at once
 */
struct mb_service_slots {
	char service[MB_NAME_BYTES];
	int32_t free_slots;
};

/**
 * struct mb_report - a daemon's report of its own state
 * @vm: VM id
 * @domain: failure domain
 * @address: "IP:PORT" where it accepts frames of other daemons
 * @preset: preset in effect there
 * @incarnation: increases with each start of the daemon on this VM
 * @config_revision: highest applied configuration revision
 * @leaving: it accepts no new work
 * @age_us: age of the report when it arrived
 * @owned: shards that it owns, @owned_count of them
 * @service_slots: free slots by service, @service_slots_count of them
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
 * @report: newest report; before the first one, only the VM id and the domain
 *	are set, from the VM list
 * @last_heard_us: when its newest report was made; 0 before the first
 * @dead_at_us: considered dead from this time on unless a report arrives
 * @listed: how the platform's list names its VM
 * @listed_address: address in the platform's list, or empty
 * @relayed_digest: digest of its report as last forwarded in our domain
 * @gone_at_us: when its VM disappeared from the platform's list; 0 while it
 *	may be running
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

/**
 * struct mb_view - the daemons as seen by one of them
 * @member: members, @count of them, in the order in which they became known
 * @timeout_us: see mb_create()
 * @remote_timeout_us: see mb_create()
 * @self: VM id of this daemon
 * @domain: its failure domain
 */
struct mb_view {
	struct mb_member *member;
	uint32_t count;
	int64_t timeout_us;
	int64_t remote_timeout_us;
	char self[MB_NAME_BYTES];
	char domain[MB_NAME_BYTES];
};

/** enum mb_error - result of taking a report */
enum mb_error {
	MB_OK,
	MB_STALE,	 /* ignored: from an earlier incarnation */
	MB_WRONG_DOMAIN, /* ignored: a VM never changes its failure domain */
};

/**
 * mb_create() - create a view that contains only this daemon
 * @ctx: talloc parent
 * @self: this daemon's report
 * @timeout_us: a member of our domain is considered dead when its newest
 *	report is older than this
 * @remote_timeout_us: likewise for members of other domains, whose reports
 *	arrive later, in summaries
 *
 * Return: view, or NULL when out of memory.
 */
struct mb_view *mb_create(TALLOC_CTX *ctx, const struct mb_report *self,
    int64_t timeout_us, int64_t remote_timeout_us);

/**
 * mb_report_digest() - hash of what must be forwarded without delay
 * @r: report
 *
 * Covers incarnation, configuration revision, leaving and owned shards. Loads
 * and free slots change all the time and are left out.
 */
uint64_t mb_report_digest(const struct mb_report *r);

/** mb_find() - find a member by VM id; NULL when unknown */
struct mb_member *mb_find(struct mb_view *v, const char *vm);

/**
 * mb_on_report() - process a heartbeat or an entry of a summary
 * @v: view
 * @r: report; copied
 * @now_us: current time
 */
enum mb_error mb_on_report(
    struct mb_view *v, const struct mb_report *r, int64_t now_us);

/**
 * struct mb_vm_entry - VM of a daemon in the platform's list
 * @vm: VM id
 * @domain: failure domain
 * @address: "IP:PORT", or NULL
 * @leaving: the platform is about to remove it
 */
struct mb_vm_entry {
	const char *vm;
	const char *domain;
	const char *address;
	bool leaving;
};

/**
 * mb_on_vm_list() - process the platform's list of the daemons' VMs
 * @v: view
 * @entry: entries, @count of them
 * @count: number of entries
 * @now_us: current time
 *
 * A VM that was listed before and is missing now no longer exists.
 */
void mb_on_vm_list(struct mb_view *v, const struct mb_vm_entry *entry,
    uint32_t count, int64_t now_us);

/**
 * mb_on_connection_refused() - a member's VM refused a connection
 * @v: view
 * @vm: VM id
 * @now_us: current time
 *
 * Nothing listens there, so the member is considered dead until its next
 * report. Should it be alive after all, its shards are still safe, because
 * ownership is fenced in the store.
 */
void mb_on_connection_refused(
    struct mb_view *v, const char *vm, int64_t now_us);

/** mb_alive() - whether reports arrive in time and the VM still exists */
bool mb_alive(const struct mb_member *m, int64_t now_us);
/** mb_accepts_work() - whether a member is alive and not leaving */
bool mb_accepts_work(const struct mb_member *m, int64_t now_us);

/**
 * mb_rank() - this daemon's position among its domain's daemons by VM id
 * @v: view
 * @now_us: current time
 * @count: receives the number of daemons counted; at least 1
 *
 * Counts this daemon and the others that accept work.
 *
 * Return: position, from 0.
 */
uint32_t mb_rank(const struct mb_view *v, int64_t now_us, uint32_t *count);

/**
 * mb_is_domain_leader() - whether this daemon is the leader of its domain
 * @v: view
 * @now_us: current time
 *
 * The leader exchanges summaries with the leaders of other domains and
 * watches the configuration in the store.
 */
bool mb_is_domain_leader(const struct mb_view *v, int64_t now_us);
/**
 * mb_domain_leader() - the live member of a domain with the lowest VM id
 * @v: view
 * @domain: failure domain
 * @now_us: current time
 *
 * Return: member, or NULL when none is alive.
 */
struct mb_member *mb_domain_leader(
    struct mb_view *v, const char *domain, int64_t now_us);

/**
 * mb_shard_owner() - the live member that owns a shard
 * @v: view
 * @shard: shard id
 * @now_us: current time
 * @epoch: receives the epoch of its ownership, or 0; may be NULL
 *
 * Return: of the live members that report the shard, the one with the highest
 * epoch; NULL when there is none.
 */
struct mb_member *mb_shard_owner(
    struct mb_view *v, const char *shard, int64_t now_us, uint64_t *epoch);

/** mb_shard_load() - a shard's load; UINT32_MAX when no live member owns it */
uint32_t mb_shard_load(struct mb_view *v, const char *shard, int64_t now_us);

/**
 * mb_domain_may_be_alive() - whether some daemon of a domain may be running
 * @v: view
 * @domain: failure domain
 * @now_us: current time
 *
 * A VM that is listed but silent counts too: it may be partitioned from us
 * and still serve.
 */
bool mb_domain_may_be_alive(
    const struct mb_view *v, const char *domain, int64_t now_us);

/**
 * mb_most_free_slots() - the other daemon with most free slots for a service
 * @v: view
 * @service: service name
 * @now_us: current time
 *
 * Prefers members of this daemon's domain, however few slots they have.
 *
 * Return: member, or NULL when no other daemon has a free slot.
 */
struct mb_member *mb_most_free_slots(
    struct mb_view *v, const char *service, int64_t now_us);

/**
 * mb_process_gone_at() - time by which a daemon process had certainly ended
 * @v: view
 * @vm: VM that it ran on
 * @incarnation: its incarnation
 *
 * Return: time; 1 when the VM has reported a higher incarnation; 0 while the
 * process may be running.
 */
int64_t mb_process_gone_at(
    struct mb_view *v, const char *vm, uint64_t incarnation);

#endif
